package routes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the selection of a shorter prefix or of another host's route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/1", "short"},
		{"a.example", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/", "other"},
	} {
		require.Equal(t, c.want, table.Match(c.host, c.path).Name, "%s%s", c.host, c.path)
	}
	require.Nil(t, table.Match("a.example", "/z/"))
	require.Nil(t, table.Match("c.example", "/x/"))
}

// Guards against shares that drift, and against requests to a target of weight 0.
func TestSplitterKeepsShares(t *testing.T) {
	r := &Route{Name: "r", Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	splitter, requests := NewSplitter(), map[string]int{}
	for range 200 {
		requests[splitter.Pick(r)]++
	}
	require.Equal(t, map[string]int{"a": 180, "b": 20}, requests)
}

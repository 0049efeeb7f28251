package routes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a shorter prefix or another host's route being selected.
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

// Guards against a split whose shares drift, or that sends to a weight of 0.
func TestSplitKeepsShares(t *testing.T) {
	r := &Route{Name: "r", Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	s, count := NewSplitter(), map[string]int{}
	for range 200 {
		count[s.Pick(r)]++
	}
	require.Equal(t, map[string]int{"a": 180, "b": 20}, count)
}

package routes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func manyRoutes(n int) Config {
	c := Config{Version: 1, Services: map[string]Service{"a": {Name: "a"}}, Limits: Limits{HeaderBytes: 1}}
	for i := range n {
		c.Routes = append(c.Routes, Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Timeout: time.Second, Targets: []Target{{Service: "a", Weight: 1}}})
	}
	return c
}

// Guards against a change that makes another configuration than the one it was made from, or that
// is as large as a whole one.
func TestChangeMakesTheSameConfiguration(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 3))
	base := manyRoutes(300)
	for step := range 200 {
		next := base
		next.Version++
		next.Routes = slices.Clone(base.Routes)
		n := len(next.Routes)
		switch i := random.IntN(max(1, n)); random.IntN(7) {
		case 0:
			next.Routes = slices.Insert(next.Routes, i, Route{Name: fmt.Sprint("new", step), Targets: []Target{{Service: "a"}}})
		case 1:
			next.Routes = slices.Delete(next.Routes, i, i+1)
		case 2:
			next.Routes[i].Targets = []Target{{Service: "b", Weight: step}}
		case 3:
			next.Routes[i], next.Routes[n-1] = next.Routes[n-1], next.Routes[i]
		case 4:
			next.Routes = append(next.Routes, next.Routes[i]) // a name that occurs twice
		case 5:
			next.Services = map[string]Service{"a": {Name: "a", MaxConns: step}}
		case 6:
			next.Limits.BodyBytes = int64(step)
		}
		encoded, err := json.Marshal(Diff(base, next))
		require.NoError(t, err)
		require.Less(t, len(encoded), 1500, "step %d", step)
		var change Change
		require.NoError(t, json.Unmarshal(encoded, &change))
		got, err := change.Apply(base)
		require.NoError(t, err)
		require.Equal(t, next, got, "step %d", step)
		require.Equal(t, next.Digest(), got.Digest())
		require.NotEqual(t, base.Digest(), got.Digest())
		base = next
	}
	whole, err := Diff(Config{}, base).Apply(Config{})
	require.NoError(t, err)
	require.Equal(t, base, whole)
}

// Guards against a change for another base, or a damaged one, that ends the process or its memory.
func TestChangeThatDoesNotFitIsAnError(t *testing.T) {
	for _, s := range []Segment{{From: -1}, {Count: -1}, {From: 4}, {From: 2, Count: 2}, {From: 1, Count: 1 << 62}} {
		_, err := Change{Version: 2, Routes: []Segment{s}}.Apply(manyRoutes(3))
		var invalid *InvalidChangeError
		require.ErrorAs(t, err, &invalid, "%+v", s)
	}
	_, err := Change{Routes: slices.Repeat([]Segment{{Count: 1000}}, 2000)}.Apply(manyRoutes(1000))
	require.Error(t, err)
}

// Guards against a field that the digest leaves out: a configuration that differs in it would be
// taken for the right one.
func TestDigestCoversAllFields(t *testing.T) {
	c := manyRoutes(1)
	digest := c.Digest()
	check := func(v reflect.Value) {
		for i := range v.NumField() {
			field := v.Field(i)
			former := reflect.New(field.Type()).Elem()
			former.Set(field)
			switch field.Kind() {
			case reflect.String:
				field.SetString("other")
			case reflect.Bool:
				field.SetBool(!field.Bool())
			case reflect.Int, reflect.Int64:
				field.SetInt(field.Int() + 1)
			case reflect.Uint64:
				field.SetUint(field.Uint() + 1)
			case reflect.Float64:
				field.SetFloat(field.Float() + 1)
			case reflect.Slice:
				field.Set(reflect.MakeSlice(field.Type(), 0, 0))
			default:
				continue // checked by its own fields
			}
			require.NotEqual(t, digest, c.Digest(), "%s of %s", v.Type().Field(i).Name, v.Type())
			field.Set(former)
			require.Equal(t, digest, c.Digest())
		}
	}
	check(reflect.ValueOf(&c).Elem())
	check(reflect.ValueOf(&c.Routes[0]).Elem())
	check(reflect.ValueOf(&c.Routes[0].Targets[0]).Elem())
	check(reflect.ValueOf(&c.Limits).Elem())
	s := c.Services["a"]
	for i := range reflect.TypeOf(s).NumField() {
		changed := s
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("other")
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Float64:
			field.SetFloat(2)
		default:
			field.SetInt(2)
		}
		c.Services = map[string]Service{"a": changed}
		require.NotEqual(t, digest, c.Digest(), reflect.TypeOf(s).Field(i).Name)
	}
}

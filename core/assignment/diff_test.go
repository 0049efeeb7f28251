package assignment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that follow by differences and end up with another map.
func TestAppliedDifferenceIsTheNewerMap(t *testing.T) {
	w := newWorld(t, "1", "2", "3")
	l := w.placed("a")
	base := w.stored.clone()
	w.add("4")
	l.SetServers(w.listed("1"))
	for range 40 {
		w.step(l)
		require.Equal(t, w.stored, ApplyUpdates(base, *w.stored, w.stored.Diff(base)))
	}
	split := w.stored.clone()
	r := &split.Services["stock"][3]
	whole := *r
	r.To = r.From + 9
	rest := whole
	rest.From = r.To + 1
	split.Services["stock"] = append(split.Services["stock"][:4], append([]Range{rest}, split.Services["stock"][4:]...)...)
	require.Equal(t, split, ApplyUpdates(w.stored, *split, split.Diff(w.stored)))
	require.Equal(t, w.stored, ApplyUpdates(split, *w.stored, w.stored.Diff(split)))
}

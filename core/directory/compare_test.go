package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log that does not show that a host began or stopped to use a server:
// an incident of requests at leaving servers could not be traced at followers.
func TestCompareNamesTheServersThatLeave(t *testing.T) {
	before := map[string]Server{"kept": {Slots: 1}, "leaving": {}, "gone": {}, "back": {Draining: true}}
	after := map[string]Server{"kept": {Slots: 2}, "leaving": {Draining: true}, "back": {}, "new": {}}
	d := Compare(before, after)
	require.Equal(t, Difference{Usable: 2, Leaving: 1, Gone: 1, Examples: []string{"gone", "leaving"}}, d)
	require.False(t, d.Empty())
	require.True(t, Compare(after, after).Empty())
}

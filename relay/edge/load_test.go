package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/dispatch"
)

// Guards against services without any load report because their servers add numbers to
// the header: a report with four numbers was dropped whole.
func TestLoadHeaderWithFurtherNumbers(t *testing.T) {
	for text, want := range map[string]*dispatch.Load{
		"2,1,6":           {Running: 2, Waiting: 1, Slots: 6},
		"2, 1, 6, 300":    {Running: 2, Waiting: 1, Slots: 6, Slowdown: 300},
		"2,1,6,100,7,x":   {Running: 2, Waiting: 1, Slots: 6, Slowdown: 100},
		"2,1,6,":          {Running: 2, Waiting: 1, Slots: 6},
		"2,1,6,-5":        {Running: 2, Waiting: 1, Slots: 6},
		"2,1":             nil,
		"2,-1,6,100":      nil,
		"2,x,6,100":       nil,
		"":                nil,
		"0,0,3,133,0,0,0": {Slots: 3, Slowdown: 133},
	} {
		require.Equal(t, want, parseLoad(text), "%q", text)
	}
}

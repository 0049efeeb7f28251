package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/resource"
)

// Guards against a start that never reaches serving: joining, witnesses, homes,
// placement and first grants must follow from empty state.
func TestReachesServing(t *testing.T) {
	for _, scope := range []resource.Scope{resource.ScopeZone, resource.ScopeAll} {
		t.Run(string(scope), func(t *testing.T) {
			w := newWorld(t)
			w.start("d1", "z")
			w.start("d2", "z")
			w.start("d3", "z")
			w.service(scope, 16, "check1", "check2", "plain1")
			t.Log("serving after", w.until(6*time.Second, w.allServing(16)))
			w.run(3 * time.Second)
			require.Equal(t, 16, w.serving(16))
		})
	}
}

package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/warmup"
)

// Guards against requests above the limit that were sent between the restart of a server at
// its address and its registration: they have reached its new life.
func TestRequestsBeforeTheRegistrationOfARestartAreCharged(t *testing.T) {
	const now = time.Minute
	b := warmup.NewBorrower()
	b.RecordSend(now-1100*time.Millisecond, "s", 1)
	b.RecordSend(now-200*time.Millisecond, "s", 1)
	b.RecordSend(now-100*time.Millisecond, "s", 1)
	b.SetCold(now, []directory.Life{{ID: "s", Born: 2}})
	require.Equal(t, []warmup.Demand{{ID: "s", Born: 2, Count: 2}}, b.StartCall(now))
}

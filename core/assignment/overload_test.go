package assignment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busyKey is a key that gets more requests than its server can serve. The hosts refuse
// the requests that the leader does not admit, and the server those that do not fit
// into its queue.
type busyKey struct {
	sim      *simulation
	leader   *Leader
	perSec   float64 // requests for the key
	queue    int
	rejected int
	arrivals int
	served   int
	inTime   int
}

const (
	busyKeyNumber    = 40000
	busySlots        = 6
	busyQueueLimit   = 24
	busyServiceTime  = 300 * time.Millisecond
	busyServedPerSec = float64(busySlots) / 0.3
)

func newBusyKey(t *testing.T) *busyKey {
	sim := newSimulation(t, "1", "2", "3", "4")
	b := &busyKey{sim: sim, leader: sim.leaderAfterPlacement("a")}
	b.leader.SetHostCount(300)
	for id := range sim.servers {
		b.leader.RecordServiceTimes(id, 20, 20*busyServiceTime)
	}
	return b
}

// run plays the load. The server serves at a constant rate; a request is in time if it
// waits no longer than two service times.
func (b *busyKey) run(d time.Duration) {
	random := rand.New(rand.NewPCG(5, 5))
	owed, admitted := 0.0, 0.0
	for end := b.sim.now + d; b.sim.now < end; {
		holder := b.sim.appendedMap.FindRange("stock", busyKeyNumber).Owner.ID
		share, limited := b.leader.AdmittedShares()[holder]
		arrivals := 0
		for p := b.perSec * 0.05; p > 0; p-- {
			if p >= 1 || random.Float64() < p {
				arrivals++
			}
		}
		for range arrivals {
			b.leader.RecordArrivals("stock", []uint16{busyKeyNumber})
			if limited {
				if admitted += share; admitted < 1 {
					continue
				}
				admitted--
			}
			b.arrivals++
			if b.queue >= busyQueueLimit {
				b.rejected++
				b.leader.RecordQueue(holder, 1, b.queue)
				continue
			}
			b.queue++
		}
		for owed += busyServedPerSec * 0.05; owed >= 1; owed-- {
			if b.queue == 0 {
				continue
			}
			b.queue--
			b.served++
			if float64(b.queue) <= 2*busySlots {
				b.inTime++
			}
			b.leader.RecordQueue(holder, 1, b.queue)
		}
		b.sim.step(b.leader)
	}
}

// Pattern: one key gets ten times what its server can serve ("hot_key", one key). Guards
// against a server whose queue stays full, so that each response is late and most
// arrivals are rejected, although the leader knows the load of all hosts. Also guards
// against a limit that leaves the server idle, and against one that stays after the load.
func TestSingleBusyKeyIsLimited(t *testing.T) {
	b := newBusyKey(t)
	b.perSec = 10 * busyServedPerSec
	b.run(3 * time.Second)
	b.arrivals, b.rejected, b.served, b.inTime = 0, 0, 0, 0
	b.run(5 * time.Second)
	t.Logf("%d arrivals, %d rejected, %d served, %d in time", b.arrivals, b.rejected, b.served, b.inTime)
	require.LessOrEqual(t, float64(b.rejected), 0.05*float64(b.arrivals))
	require.GreaterOrEqual(t, float64(b.inTime), 0.7*5*busyServedPerSec)
	b.perSec = 0.5 * busyServedPerSec
	b.run(3 * time.Second)
	require.Empty(t, b.leader.AdmittedShares())
}

// Guards against a limit for servers that can serve their requests.
func TestServersWithShortQueuesAreNotLimited(t *testing.T) {
	b := newBusyKey(t)
	b.perSec = 0.9 * busyServedPerSec
	for range 50 {
		b.run(100 * time.Millisecond)
		require.Empty(t, b.leader.AdmittedShares())
	}
}

// Guards against limits in a small deployment: its hosts keep the queues short by
// themselves, and two controls of the same queue refuse too much.
func TestFewHostsAreNotLimited(t *testing.T) {
	b := newBusyKey(t)
	b.leader.SetHostCount(minLimitingHosts - 1)
	b.perSec = 10 * busyServedPerSec
	b.run(2 * time.Second)
	require.Empty(t, b.leader.AdmittedShares())
}

package event

import (
	"sync"
	"time"
)

// MaxClockSkew is how far a peer's reading may be ahead of the local wall clock.
// Readings beyond it are ignored, so that one host with a wrong clock does not
// advance the clocks of all hosts.
const MaxClockSkew = 10 * time.Second

// counterBits is the width of the logical counter in the low bits of a reading;
// the bits above it hold Unix milliseconds.
const counterBits = 16

// HybridClock is a hybrid logical clock: its readings increase, follow wall-clock time
// and order an event after those that were observed before it. It is safe for
// concurrent use.
type HybridClock struct {
	wallClock func() time.Time

	mu          sync.Mutex
	lastReading uint64
}

// NewHybridClock returns a clock that reads the time from wallClock.
func NewHybridClock(wall func() time.Time) *HybridClock { return &HybridClock{wallClock: wall} }

// Now returns a reading greater than all earlier ones and all observed ones.
func (c *HybridClock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReading = max(c.lastReading+1, readingAt(c.wallClock()))
	return c.lastReading
}

// Observe advances the clock to a reading of another process, so that later
// readings are greater. It ignores a reading more than MaxClockSkew ahead and
// reports whether the reading was accepted.
func (c *HybridClock) Observe(remote uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote > readingAt(c.wallClock().Add(MaxClockSkew)) {
		return false
	}
	c.lastReading = max(c.lastReading, remote)
	return true
}

// WallTime returns the wall-clock time of a reading.
func WallTime(hlc uint64) time.Time { return time.UnixMilli(int64(hlc >> counterBits)) }

// readingAt returns the smallest reading at wall-clock time t.
func readingAt(t time.Time) uint64 { return uint64(t.UnixMilli()) << counterBits }

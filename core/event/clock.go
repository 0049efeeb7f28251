package event

import (
	"sync"
	"time"
)

// MaxClockSkew bounds how far a peer's reading may push a clock past its own wall
// clock; one host with a wrong clock must not move the timelines of all.
const MaxClockSkew = 10 * time.Second

// counterBits is the width of the counter in a reading.
const counterBits = 16

// HybridClock is a hybrid logical clock: its readings increase, follow wall-clock time
// and order an event after those that were observed before it. It is safe for
// concurrent use.
type HybridClock struct {
	wall func() time.Time

	mu   sync.Mutex
	last uint64
}

// NewHybridClock returns a clock over a wall clock.
func NewHybridClock(wall func() time.Time) *HybridClock { return &HybridClock{wall: wall} }

// Now returns the next reading.
func (c *HybridClock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, reading(c.wall()))
	return c.last
}

// Observe takes note of a reading of another process. It ignores one that is
// more than MaxClockSkew ahead and reports whether it was accepted.
func (c *HybridClock) Observe(remote uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote > reading(c.wall().Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, remote)
	return true
}

// WallTime returns the wall-clock time of a reading.
func WallTime(hlc uint64) time.Time { return time.UnixMilli(int64(hlc >> counterBits)) }

func reading(t time.Time) uint64 { return uint64(t.UnixMilli()) << counterBits }

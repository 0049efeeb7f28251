package event

import (
	"testing"
	"time"
)

// Guards against readings that go back when the wall clock does, or that order
// an event before one that was observed.
func TestClockNeverGoesBack(t *testing.T) {
	now := time.UnixMilli(5000)
	c := NewHybridClock(func() time.Time { return now })
	first := c.Now()
	now = now.Add(-time.Second)
	if second := c.Now(); second <= first {
		t.Fatalf("%d after %d", second, first)
	}
	ahead := reading(now.Add(MaxClockSkew))
	if !c.Observe(ahead) || c.Now() != ahead+1 {
		t.Fatal("an observed reading must come before the next one")
	}
	if c.Observe(ahead + 1<<counterBits) {
		t.Fatal("a reading beyond MaxClockSkew was accepted")
	}
	if got := WallTime(first); !got.Equal(time.UnixMilli(5000)) {
		t.Fatal(got)
	}
}

// Guards against two events with one number, of which the log shows the name of
// the other one.
func TestEventNumbersAreUnique(t *testing.T) {
	names := map[Code]string{}
	for _, d := range Definitions {
		if other, ok := names[d.Code]; ok {
			t.Errorf("%s and %s have number %d", other, d.Name, d.Code)
		}
		names[d.Code] = d.Name
	}
}

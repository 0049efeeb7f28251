package event

import (
	"testing"
	"time"
)

// Guards against readings that decrease when the wall clock is set back, or that
// order an event before one that was observed.
func TestClockNeverGoesBack(t *testing.T) {
	now := time.UnixMilli(5000)
	c := NewHybridClock(func() time.Time { return now })
	firstReading := c.Now()
	now = now.Add(-time.Second)
	if second := c.Now(); second <= firstReading {
		t.Fatalf("reading %d is not greater than the earlier reading %d", second, firstReading)
	}
	ahead := readingAt(now.Add(MaxClockSkew))
	if !c.Observe(ahead) || c.Now() != ahead+1 {
		t.Fatal("the reading after an observed one is not the next greater one")
	}
	if c.Observe(ahead + 1<<counterBits) {
		t.Fatal("a reading more than MaxClockSkew ahead was accepted")
	}
	if got := WallTime(firstReading); !got.Equal(time.UnixMilli(5000)) {
		t.Fatal(got)
	}
}

// Guards against two events with the same code, for which the log would show the
// name of the wrong event.
func TestEventCodesAreUnique(t *testing.T) {
	names := map[Code]string{}
	for _, d := range Definitions {
		if other, ok := names[d.Code]; ok {
			t.Errorf("%s and %s have the same code %d", other, d.Name, d.Code)
		}
		names[d.Code] = d.Name
	}
}

package telemetry

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/event"
)

// brokenOutput refuses every line.
type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against lines without a date, which cannot be sorted into one time line
// of several days.
func TestJournalLinesCarryTheDate(t *testing.T) {
	var out bytes.Buffer
	j := NewJournal(&out, "h", "z")
	j.LogEvent(event.RequestRefused, "request_id", "a1")
	j.Close()
	fields := strings.Fields(out.String())
	at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(fields[0], "ts="))
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), at, time.Minute)
	require.Contains(t, out.String(), "name=request_refused request_id=a1")
}

// Guards against refusals and failures that a flood of lines on successes keeps
// out of the log.
func TestJournalKeepsFailuresBeforeSuccesses(t *testing.T) {
	var out bytes.Buffer
	j := NewJournal(&out, "h", "z")
	for range 40 * routinePerSecond {
		j.LogRoutineEvent(event.RequestCompleted)
	}
	j.LogEvent(event.RequestRefused, "request_id", "a1")
	j.Close()
	require.Contains(t, out.String(), "request_id=a1")
	require.LessOrEqual(t, strings.Count(out.String(), "name=request_completed"), 2*routinePerSecond)
}

// Guards against lines that are lost without a count.
func TestJournalCountsRefusedLines(t *testing.T) {
	j := NewJournal(brokenOutput{}, "h", "z")
	j.LogEvent(event.RequestRefused)
	j.Close()
	require.Equal(t, uint64(1), j.dropped.Load())
}

// BenchmarkJournalRefusal writes the line of a refused request.
func BenchmarkJournalRefusal(b *testing.B) {
	j := NewJournal(io.Discard, "h", "z")
	defer j.Close()
	for b.Loop() {
		j.LogEvent(event.RequestRefused, "request_id", "9c41d07be2a35f68", "route", "r-1", "service", "almacen", "reason", "wait_too_long",
			"rank", 1, "key", 37228, "sends", 0, "last_server", "", "waited_ms", 484, "left_ms", 1015, "retry_after_ms", 100, "config", 8, "map", 107)
	}
	b.ReportMetric(float64(j.dropped.Load())/float64(b.N), "dropped/op")
}

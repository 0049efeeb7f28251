package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/event"
)

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against timestamps without a date, by which lines of several days cannot
// be sorted.
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

// Guards against lines on refusals and failures that are dropped because lines on
// completed requests fill the ring.
func TestJournalKeepsFailuresBeforeSuccesses(t *testing.T) {
	var out bytes.Buffer
	j := NewJournal(&out, "h", "z")
	for range 40 * routineLinesPerSecond {
		j.LogRoutineEvent(event.RequestCompleted)
	}
	j.LogEvent(event.RequestRefused, "request_id", "a1")
	j.Close()
	require.Contains(t, out.String(), "request_id=a1")
	require.LessOrEqual(t, strings.Count(out.String(), "name=request_completed"), 2*routineLinesPerSecond)
}

// Guards against lines that the output fails to write and that are not counted.
func TestJournalCountsFailedWrites(t *testing.T) {
	j := NewJournal(failingWriter{}, "h", "z")
	j.LogEvent(event.RequestRefused)
	j.Close()
	require.Equal(t, uint64(1), j.droppedLines.Load())
}

// BenchmarkJournalRefusal logs the line of a refused request.
func BenchmarkJournalRefusal(b *testing.B) {
	j := NewJournal(io.Discard, "h", "z")
	defer j.Close()
	for b.Loop() {
		j.LogEvent(event.RequestRefused, "request_id", "9c41d07be2a35f68", "route", "r-1", "service", "almacen", "reason", "wait_too_long",
			"rank", 1, "key", 37228, "sends", 0, "last_server", "", "waited_ms", 484, "left_ms", 1015, "retry_after_ms", 100, "config", 8, "map", 107)
	}
	b.ReportMetric(float64(j.droppedLines.Load())/float64(b.N), "dropped/op")
}

// Guards against lines that keep what another process sent, in a text or quoted in an
// error, and take a process over its memory while they wait to be written.
func TestJournalCutsLongTextsOff(t *testing.T) {
	var out bytes.Buffer
	j := NewJournal(&out, "h", "z")
	long := strings.Repeat("x", 1<<20)
	j.LogEvent(event.ServerPaused, "found", long, "error", fmt.Errorf("malformed response %q", long))
	j.Close()
	require.Less(t, out.Len(), 3*maxValueBytes)
	require.Contains(t, out.String(), "(1048576 bytes)")
	require.Contains(t, out.String(), "malformed response")
}

package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
)

// Bounds of a Journal.
const (
	// journalCapacity bounds the lines that wait to be written.
	journalCapacity = 2048
	// routineLinesPerSecond bounds the lines of LogRoutineEvent, for example on
	// completed requests. Lines of LogEvent, on refusals and changes of state,
	// are bounded by journalCapacity only.
	routineLinesPerSecond  = 25
	omissionReportInterval = time.Second
	// maxValueBytes bounds a text in a line. Some texts come from other processes, such as
	// the bytes that an error of a parser quotes.
	maxValueBytes = 1 << 10
	// timestampFormat has a fixed width and the date, so that sorting the lines of
	// all hosts gives their order in time.
	timestampFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Journal writes events as log lines, in a goroutine of its own. Logging never
// blocks the caller: lines that do not fit into the queue are dropped, and their
// number is logged as event lines_omitted.
type Journal struct {
	queue               chan []any
	eventNames          map[event.Code]string
	routineBudget       atomic.Int64
	droppedLines        atomic.Uint64
	skippedRoutineLines atomic.Uint64
	omittedLines        atomic.Uint64 // dropped and skipped lines, as of the last report
	stop                chan struct{}
	stopOnce            sync.Once
	done                chan struct{}
}

// NewJournal starts a journal that writes logfmt lines to out.
func NewJournal(out io.Writer, host, zone string) *Journal {
	j := &Journal{queue: make(chan []any, journalCapacity), eventNames: map[event.Code]string{}, stop: make(chan struct{}), done: make(chan struct{})}
	for _, d := range event.Definitions {
		j.eventNames[d.Code] = d.Name
	}
	j.routineBudget.Store(routineLinesPerSecond)
	now := func() time.Time { return time.Now().UTC() }
	logger := log.With(log.NewLogfmtLogger(out), "ts", log.TimestampFormat(now, timestampFormat), "host", host, "zone", zone)
	go j.run(logger)
	return j
}

func (j *Journal) run(logger log.Logger) {
	defer close(j.done)
	ticker := time.NewTicker(omissionReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-j.queue:
			j.write(logger, line)
		case <-ticker.C:
			j.routineBudget.Store(routineLinesPerSecond)
			if dropped, skipped := j.droppedLines.Swap(0), j.skippedRoutineLines.Swap(0); dropped+skipped > 0 {
				j.omittedLines.Add(dropped + skipped)
				j.write(logger, []any{"event", int(event.LinesOmitted), "name", j.eventNames[event.LinesOmitted], "dropped", dropped, "routine", skipped})
			}
		case <-j.stop:
			for {
				select {
				case line := <-j.queue:
					j.write(logger, line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line and counts it as dropped if the output fails.
func (j *Journal) write(logger log.Logger, line []any) {
	if err := logger.Log(line...); err != nil {
		j.droppedLines.Add(1)
	}
}

// LogEvent logs an event without a rate limit. The line is dropped only when the
// queue is full.
func (j *Journal) LogEvent(code event.Code, keyvals ...any) {
	line := append([]any{"event", int(code), "name", j.eventNames[code]}, keyvals...)
	for i, v := range line {
		line[i] = clip(v)
	}
	select {
	case j.queue <- line:
	default:
		j.droppedLines.Add(1)
	}
}

// clip cuts a text off at maxValueBytes, so that a line does not keep a long one in memory.
// An error becomes its text.
func clip(value any) any {
	text, ok := value.(string)
	if err, isError := value.(error); isError {
		text, ok = err.Error(), true
	}
	if !ok {
		return value
	}
	if len(text) <= maxValueBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxValueBytes], len(text))
}

// LogRoutineEvent logs an event that can be frequent and may be left out of the
// log: at most routineLinesPerSecond are written.
func (j *Journal) LogRoutineEvent(code event.Code, keyvals ...any) {
	if j.routineBudget.Add(-1) < 0 {
		j.skippedRoutineLines.Add(1)
		return
	}
	j.LogEvent(code, keyvals...)
}

// OmittedLines returns the number of lines left out since the start. It is updated
// every omissionReportInterval.
func (j *Journal) OmittedLines() uint64 { return j.omittedLines.Load() }

// Close writes the queued lines and stops the journal.
func (j *Journal) Close() {
	j.stopOnce.Do(func() { close(j.stop) })
	<-j.done
}

package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
)

// Bounds of a Journal.
const (
	journalLines = 2048
	// routinePerSecond bounds lines on requests that went well; lines on
	// failures and beliefs are bounded by the ring only.
	routinePerSecond = 25
	reportEvery      = time.Second
	// timeFormat lets the lines of all hosts be sorted into one time line.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Journal writes log lines of numbered events from a goroutine of its own. It
// never blocks: lines that do not fit are counted, and the count is logged.
type Journal struct {
	ring    chan []any
	names   map[event.Code]string
	budget  atomic.Int64
	dropped atomic.Uint64
	skipped atomic.Uint64
	omitted atomic.Uint64 // both, since the start
	stop    chan struct{}
	done    chan struct{}
}

// NewJournal starts a journal that writes logfmt lines to out.
func NewJournal(out io.Writer, host, zone string) *Journal {
	j := &Journal{ring: make(chan []any, journalLines), names: map[event.Code]string{}, stop: make(chan struct{}), done: make(chan struct{})}
	for _, d := range event.Definitions {
		j.names[d.Code] = d.Name
	}
	j.budget.Store(routinePerSecond)
	now := func() time.Time { return time.Now().UTC() }
	logger := log.With(log.NewLogfmtLogger(out), "ts", log.TimestampFormat(now, timeFormat), "host", host, "zone", zone)
	go j.run(logger)
	return j
}

func (j *Journal) run(logger log.Logger) {
	defer close(j.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-j.ring:
			j.write(logger, line)
		case <-ticker.C:
			j.budget.Store(routinePerSecond)
			if n, m := j.dropped.Swap(0), j.skipped.Swap(0); n+m > 0 {
				j.omitted.Add(n + m)
				j.write(logger, []any{"event", int(event.LinesOmitted), "name", j.names[event.LinesOmitted], "dropped", n, "routine", m})
			}
		case <-j.stop:
			for {
				select {
				case line := <-j.ring:
					j.write(logger, line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line; one that the output refuses counts as dropped.
func (j *Journal) write(logger log.Logger, line []any) {
	if err := logger.Log(line...); err != nil {
		j.dropped.Add(1)
	}
}

// LogEvent logs an event that must be found later.
func (j *Journal) LogEvent(code event.Code, keyvals ...any) {
	line := append([]any{"event", int(code), "name", j.names[code]}, keyvals...)
	select {
	case j.ring <- line:
	default:
		j.dropped.Add(1)
	}
}

// LogRoutineEvent logs an event of normal operation, up to a bounded rate.
func (j *Journal) LogRoutineEvent(code event.Code, keyvals ...any) {
	if j.budget.Add(-1) < 0 {
		j.skipped.Add(1)
		return
	}
	j.LogEvent(code, keyvals...)
}

// OmittedLines returns the number of lines left out up to the last second.
func (j *Journal) OmittedLines() uint64 { return j.omitted.Load() }

// Close writes the lines that remain.
func (j *Journal) Close() {
	close(j.stop)
	<-j.done
}

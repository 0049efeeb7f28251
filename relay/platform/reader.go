package platform

import (
	"context"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/record"
)

// LogItem is a record that was read from the log.
type LogItem struct {
	Offset uint64
	Data   []byte        // as stored, for relaying it to peers
	Record record.Record // zero when Err is set
	// Err reports a record that cannot be decoded, for example a
	// record.UnknownKindError. The item is delivered nevertheless, since it is for the
	// receiver to stop applying records.
	Err error
}

// Reader reads the log through watermill's router and sends the records to a channel.
type Reader struct {
	Client      *Client
	FirstOffset uint64
	Observer    LogObserver
	// Out receives the records. While the channel is full the reader waits; it drops
	// nothing.
	Out    chan<- LogItem
	Logger log.Logger
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, NewLogger(r.Logger))
	if err != nil {
		return err
	}
	subscriber := NewSubscriber(r.Client, r.FirstOffset, r.Observer)
	// The handler waits on the context of the message: it ends with the subscription,
	// so that a handler waiting for room in the channel returns.
	router.AddConsumerHandler("records", Topic, subscriber, func(m *message.Message) error {
		item, err := decodeLogItem(m)
		if err != nil {
			return err
		}
		select {
		case r.Out <- item:
			return nil
		case <-m.Context().Done():
			return m.Context().Err()
		}
	})
	return router.Run(ctx)
}

func decodeLogItem(m *message.Message) (LogItem, error) {
	offset, err := strconv.ParseUint(m.Metadata.Get(MetadataOffset), 10, 64)
	if err != nil {
		return LogItem{}, err
	}
	item := LogItem{Offset: offset, Data: m.Payload}
	item.Record, item.Err = record.Unmarshal(m.Payload)
	return item, nil
}

// HostObserver receives the results of the host list poller, from one goroutine.
type HostObserver interface {
	HostListRead(list platformapi.HostList)
	HostListUnreachable(err error)
}

// HostPoller reads the host list at an interval.
type HostPoller struct {
	Client   *Client
	Interval time.Duration
	Observer HostObserver
}

// Run polls until ctx ends. A slow response delays the next poll.
func (p *HostPoller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		list, err := p.Client.Hosts(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.Observer.HostListUnreachable(err)
		default:
			p.Observer.HostListRead(list)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Logger passes watermill's log lines to go-kit/log. It discards trace lines, since there
// are several per record.
type Logger struct{ inner log.Logger }

// NewLogger adapts a go-kit logger; nil discards everything.
func NewLogger(inner log.Logger) *Logger {
	if inner == nil {
		inner = log.NewNopLogger()
	}
	return &Logger{inner: log.With(inner, "library", "watermill")}
}

// Error implements watermill.LoggerAdapter.
func (l *Logger) Error(msg string, err error, fields watermill.LogFields) {
	l.write(level.Error(l.inner), fields, "msg", msg, "err", err)
}

// Info implements watermill.LoggerAdapter.
func (l *Logger) Info(msg string, fields watermill.LogFields) {
	l.write(level.Info(l.inner), fields, "msg", msg)
}

// Debug implements watermill.LoggerAdapter.
func (l *Logger) Debug(msg string, fields watermill.LogFields) {
	l.write(level.Debug(l.inner), fields, "msg", msg)
}

// Trace implements watermill.LoggerAdapter.
func (l *Logger) Trace(string, watermill.LogFields) {}

// With implements watermill.LoggerAdapter.
func (l *Logger) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return &Logger{inner: log.With(l.inner, fieldKeyvals(fields)...)}
}

func (l *Logger) write(to log.Logger, fields watermill.LogFields, keyvals ...any) {
	_ = to.Log(append(keyvals, fieldKeyvals(fields)...)...)
}

func fieldKeyvals(fields watermill.LogFields) []any {
	list := make([]any, 0, 2*len(fields))
	for key, value := range fields {
		list = append(list, key, value)
	}
	return list
}

package platform

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cenkalti/backoff/v5"

	"parsleyrelay.example/api/platformapi"
)

// Topic is the only topic: the platform's log.
const Topic = "log"

// MetadataOffset is the metadata key of a message's offset, in decimal.
const MetadataOffset = "offset"

// Delays between failed reads. The maximum is below the time in which a configuration
// change must take effect.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// LogObserver receives the result of every read of the log, before the records of the
// read are delivered. Its methods are called from one goroutine and must not block for
// long.
type LogObserver interface {
	// LogReachable reports a read that succeeded and the oldest retained offset.
	LogReachable(oldest uint64)
	// LogUnreachable reports a read that failed.
	LogUnreachable(err error)
}

// Publisher appends messages to the log. It implements message.Publisher.
type Publisher struct {
	client *Client
	once   sync.Once
	closed chan struct{}
}

// NewPublisher returns a publisher over client.
func NewPublisher(client *Client) *Publisher {
	return &Publisher{client: client, closed: make(chan struct{})}
}

// Publish appends the payloads one after the other and stores the offset of each in the
// metadata of its message. It stops at the first error, which is an
// AppendRefusedError or an AppendOutcomeUnknownError, and does not retry.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	if topic != Topic {
		return &AppendRefusedError{Err: &TopicError{Topic: topic}}
	}
	for _, m := range messages {
		select {
		case <-p.closed:
			return &AppendRefusedError{Err: &ClosedError{}}
		default:
		}
		offset, err := p.client.Append(m.Context(), m.Payload)
		if err != nil {
			return err
		}
		m.Metadata.Set(MetadataOffset, strconv.FormatUint(offset, 10))
	}
	return nil
}

// Close makes later calls of Publish fail.
func (p *Publisher) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Subscriber delivers the records of the log in offset order, one at a time: the
// next message follows the acknowledgement of the one before. It implements
// message.Subscriber.
type Subscriber struct {
	client      *Client
	firstOffset uint64
	observer    LogObserver

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewSubscriber returns a subscriber whose subscriptions start at firstOffset.
func NewSubscriber(client *Client, firstOffset uint64, observer LogObserver) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{client: client, firstOffset: firstOffset, observer: observer, ctx: ctx, cancel: cancel}
}

// Subscribe starts a subscription. The channel is closed when ctx ends or the
// subscriber is closed.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	if topic != Topic {
		return nil, &TopicError{Topic: topic}
	}
	if s.ctx.Err() != nil {
		return nil, &ClosedError{}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ctx, cancel)
	out := make(chan *message.Message)
	s.wg.Go(func() {
		defer close(out)
		defer cancel()
		defer stop()
		s.run(ctx, out)
	})
	return out, nil
}

// Close ends all subscriptions and waits for them.
func (s *Subscriber) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

func (s *Subscriber) run(ctx context.Context, out chan<- *message.Message) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialRetryDelay, maxRetryDelay
	next := s.firstOffset
	for ctx.Err() == nil {
		response, err := s.client.Read(ctx, next)
		if err == nil {
			err = checkOffsets(response, next)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.observer.LogUnreachable(err)
			sleep(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		s.observer.LogReachable(response.Oldest)
		for _, entry := range response.Entries {
			if !deliver(ctx, out, entry) {
				return
			}
			next = entry.Offset + 1
		}
	}
}

// checkOffsets returns an error unless the offsets are consecutive. The first one must be
// next, or the oldest retained offset if retention has dropped the records before it.
func checkOffsets(response platformapi.ReadResponse, next uint64) error {
	expected := max(next, response.Oldest)
	for _, entry := range response.Entries {
		if entry.Offset != expected {
			return &ProtocolError{Problem: "record at offset " + strconv.FormatUint(entry.Offset, 10) +
				" where " + strconv.FormatUint(expected, 10) + " was expected"}
		}
		expected++
	}
	return nil
}

// deliver sends an entry, repeatedly if necessary, until it is acknowledged. It returns
// false when ctx ends first.
func deliver(ctx context.Context, out chan<- *message.Message, entry platformapi.LogEntry) bool {
	offset := strconv.FormatUint(entry.Offset, 10)
	for {
		m := message.NewMessageWithContext(ctx, offset, entry.Data)
		m.Metadata.Set(MetadataOffset, offset)
		select {
		case out <- m:
		case <-ctx.Done():
			return false
		}
		select {
		case <-m.Acked():
			return true
		case <-m.Nacked():
			// This avoids a busy loop when a handler fails immediately.
			sleep(ctx, initialRetryDelay)
		case <-ctx.Done():
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

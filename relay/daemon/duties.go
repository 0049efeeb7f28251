package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/relay/platform"
)

// readRing bounds the records between the log reader and the control loop. When
// it is full the reader waits, and the applied offset lags.
const readRing = 1024

// batchLimit bounds the records in one step of the machine, so that ticks and
// answers of witnesses are not held up by a long backlog.
const batchLimit = 256

// hostListInterval is how often the platform's host list is read.
const hostListInterval = time.Second

// loadInterval is how often measured load goes to the machine.
const loadInterval = time.Second

// logObserver passes the state of the log to the machine.
type logObserver struct {
	d   *Daemon
	ctx context.Context
}

func (o logObserver) LogReachable(oldest uint64) {
	o.d.loop.Submit(o.ctx, ownership.RecordsRead{OldestOffset: oldest})
}

func (o logObserver) LogUnreachable(error) {
	o.d.loop.Submit(o.ctx, ownership.LogUnreachable{})
}

func (d *Daemon) readLog(ctx context.Context) {
	ring := make(chan platform.LogItem, readRing)
	reader := &platform.Reader{
		Client: d.client, FirstOffset: 1, Observer: logObserver{d, ctx}, Out: ring, Logger: libraryLogger(d.opts.Logger),
	}
	d.duties.Go(func() { d.passRecords(ctx, ring) })
	if err := reader.Run(ctx); err != nil && ctx.Err() == nil {
		d.sink.failure("log reader", err)
	}
}

// passRecords moves records in batches to the machine. It stops for good at a
// record that this version cannot decode, since skipping it could break
// agreement between daemons.
func (d *Daemon) passRecords(ctx context.Context, ring <-chan platform.LogItem) {
	for {
		var batch []record.LogEntry
		select {
		case <-ctx.Done():
			return
		case item := <-ring:
			for more := true; more && len(batch) < batchLimit; {
				if item.Err != nil {
					d.sink.failure("log record", item.Err)
					d.loop.Submit(ctx, ownership.RecordsRead{Records: batch})
					return
				}
				batch = append(batch, record.LogEntry{Offset: item.Offset, Record: item.Record})
				select {
				case item = <-ring:
				default:
					more = false
				}
			}
		}
		d.loop.Submit(ctx, ownership.RecordsRead{Records: batch})
	}
}

// HostListRead implements platform.HostObserver.
func (o logObserver) HostListRead(list platformapi.HostList) {
	var in ownership.HostListRead
	for _, h := range list.Hosts {
		if h.State == platformapi.HostLeaving {
			in.Leaving = append(in.Leaving, h.Name)
			continue
		}
		in.Live = append(in.Live, h.Name)
	}
	o.d.loop.Submit(o.ctx, in)
}

// HostListUnreachable implements platform.HostObserver. The list only hints, so
// its absence changes nothing.
func (logObserver) HostListUnreachable(error) {}

func (d *Daemon) pollHosts(ctx context.Context) {
	poller := &platform.HostPoller{Client: d.client, Interval: hostListInterval, Observer: logObserver{d, ctx}}
	poller.Run(ctx)
}

func (d *Daemon) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view, _ := d.loop.Views().Current()
			measured := d.homes.MeasureLoad(view)
			d.loads.note(d.now(), measured.Servers)
			d.loop.Submit(ctx, measured)
		}
	}
}

// logAppender appends records through the watermill publisher.
type logAppender struct {
	publisher message.Publisher
	count     func(bytes int, err error)
}

// Append implements control.LogAppender.
func (a logAppender) Append(ctx context.Context, r record.Record) (uint64, error) {
	data, err := record.Marshal(r)
	if err != nil {
		return 0, err
	}
	m := message.NewMessage(r.ID, data)
	m.SetContext(ctx)
	err = a.publisher.Publish(platform.Topic, m)
	a.count(len(data), err)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(m.Metadata.Get(platform.MetadataOffset), 10, 64)
}

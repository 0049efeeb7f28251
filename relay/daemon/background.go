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

// recordRingSize bounds the records that wait between the log reader and the control
// loop. While the ring is full the reader waits and the applied offset lags behind.
const recordRingSize = 1024

// maxRecordsPerStep bounds the records in one step of the ownership machine, so that a
// long backlog does not delay ticks and the responses of witnesses.
const maxRecordsPerStep = 256

// hostListPollInterval is the interval at which the host list of the platform is read.
const hostListPollInterval = time.Second

// loadReportInterval is the interval at which measured load is passed to the ownership
// machine.
const loadReportInterval = time.Second

// platformObserver implements platform.LogObserver and platform.HostObserver. It passes
// the state of the log and the host list to the ownership machine.
type platformObserver struct {
	d   *Daemon
	ctx context.Context
}

// LogReachable implements platform.LogObserver. RecordsRead without records only reports
// that the log is reachable.
func (o platformObserver) LogReachable(oldest uint64) {
	o.d.loop.Submit(o.ctx, ownership.RecordsRead{OldestOffset: oldest})
}

// LogUnreachable implements platform.LogObserver.
func (o platformObserver) LogUnreachable(error) {
	o.d.loop.Submit(o.ctx, ownership.LogUnreachable{})
}

func (d *Daemon) readLog(ctx context.Context) {
	ring := make(chan platform.LogItem, recordRingSize)
	reader := &platform.Reader{
		Client: d.platformClient, FirstOffset: 1, Observer: platformObserver{d, ctx}, Out: ring, Logger: libraryLogger(d.opts.Logger),
	}
	d.background.Go(func() { d.submitRecords(ctx, ring) })
	if err := reader.Run(ctx); err != nil && ctx.Err() == nil {
		d.sink.emitAdapterFailure("log reader", err)
	}
}

// submitRecords passes records in batches to the ownership machine. It stops permanently
// at a record that this version cannot decode: daemons that skip records could disagree
// on the state.
func (d *Daemon) submitRecords(ctx context.Context, ring <-chan platform.LogItem) {
	for {
		var batch []record.LogEntry
		select {
		case <-ctx.Done():
			return
		case item := <-ring:
			for more := true; more && len(batch) < maxRecordsPerStep; {
				if item.Err != nil {
					d.sink.emitAdapterFailure("log record cannot be decoded, so no later record is applied", item.Err)
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
func (o platformObserver) HostListRead(list platformapi.HostList) {
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

// HostListUnreachable implements platform.HostObserver. The host list is only a hint, so
// nothing happens without it.
func (platformObserver) HostListUnreachable(error) {}

func (d *Daemon) pollHosts(ctx context.Context) {
	poller := &platform.HostPoller{Client: d.platformClient, Interval: hostListPollInterval, Observer: platformObserver{d, ctx}}
	poller.Run(ctx)
}

func (d *Daemon) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view, _ := d.loop.Views().Current()
			measured := d.homes.MeasureLoad(view)
			d.loads.update(d.now(), measured.Servers)
			d.loop.Submit(ctx, measured)
		}
	}
}

// logAppender implements control.LogAppender with a watermill publisher.
type logAppender struct {
	publisher message.Publisher
	onAppend  func(bytes int, err error)
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
	a.onAppend(len(data), err)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(m.Metadata.Get(platform.MetadataOffset), 10, 64)
}

package edge

import (
	"time"

	"parsleyrelay.example/core/dispatch"
)

// LoadReport tells the leader which load the keyed services had at this host since
// the last report.
type LoadReport struct {
	RequestedKeys map[string][]uint16    // key of each request, by service
	ServiceTimes  map[string]ServiceTime // by server id
}

// ServiceTime sums the latencies of the keyed requests whose response reported a
// free slot and an empty queue, so that they include no time in the server's queue. It
// also sums the queue lengths and slowdowns that all responses to keyed requests reported,
// and counts the keyed requests that were sent and answered.
type ServiceTime struct {
	Sent     int
	Answered int // complete responses, refusals included
	Count    int // responses with a free slot and an empty queue
	Sum      time.Duration
	Reports  int // responses that reported a queue length
	Waiting  int // sum of the waiting requests in these reports
	// SlowdownPercent is the sum of the slowdowns in these reports; 0 if the server reports none.
	SlowdownPercent int
}

// maxReportedKeys limits the keys recorded per service in one report.
const maxReportedKeys = 512

// maxRelayedKeys limits the keys recorded per service in the report of a relay, which
// includes those of its followers.
const maxRelayedKeys = 32 * maxReportedKeys

// maxSlowdownPercent bounds a slowdown in a report to the leader.
const maxSlowdownPercent = 10000

// maxReportSpan is the time from which a report that nobody took is dropped. Without a
// leader, reports would grow, and the next one would take them for the load of an instant.
const maxReportSpan = time.Second

// dropOldReportLocked drops a report that was begun too long ago. e.loadReportMu must be
// held.
func (e *Edge) dropOldReportLocked() {
	now := e.now()
	if now-e.loadReportBegun > maxReportSpan {
		e.loadReport, e.loadReportBegun = LoadReport{}, now
	}
}

// recordKeyRequest adds the key of a request to the load report.
func (e *Edge) recordKeyRequest(service string, key uint16) {
	e.loadReportMu.Lock()
	defer e.loadReportMu.Unlock()
	e.dropOldReportLocked()
	if e.loadReport.RequestedKeys == nil {
		e.loadReport.RequestedKeys = map[string][]uint16{}
	}
	if len(e.loadReport.RequestedKeys[service]) < maxReportedKeys {
		e.loadReport.RequestedKeys[service] = append(e.loadReport.RequestedKeys[service], key)
	}
}

// recordServerLoad adds the load that a server reported with the response to a keyed
// request to the load report, and the latency of a request that did not wait in the
// server's queue.
func (e *Edge) recordServerLoad(server string, load dispatch.Load, served bool, latency time.Duration) {
	e.loadReportMu.Lock()
	defer e.loadReportMu.Unlock()
	e.dropOldReportLocked()
	if e.loadReport.ServiceTimes == nil {
		e.loadReport.ServiceTimes = map[string]ServiceTime{}
	}
	t := e.loadReport.ServiceTimes[server]
	t.Reports++
	t.Waiting += load.Waiting
	if e.options.CostRouting != dispatch.CostRoutingOff {
		t.SlowdownPercent += min(load.Slowdown, maxSlowdownPercent)
	}
	if served && load.HasFreeSlot() {
		t.Count++
		t.Sum += latency
	}
	e.loadReport.ServiceTimes[server] = t
}

// recordContact counts keyed requests that are sent to a server, and its responses. A negative
// number takes back requests that were not sent.
func (e *Edge) recordContact(server string, sent, answered int) {
	e.loadReportMu.Lock()
	defer e.loadReportMu.Unlock()
	e.dropOldReportLocked()
	if e.loadReport.ServiceTimes == nil {
		e.loadReport.ServiceTimes = map[string]ServiceTime{}
	}
	t := e.loadReport.ServiceTimes[server]
	t.Sent = max(0, t.Sent+sent)
	t.Answered += answered
	e.loadReport.ServiceTimes[server] = t
}

// AddLoadReport adds the report of another host, which follows this one, to this host's
// next report.
func (e *Edge) AddLoadReport(r LoadReport) {
	e.loadReportMu.Lock()
	defer e.loadReportMu.Unlock()
	e.dropOldReportLocked()
	if e.loadReport.RequestedKeys == nil {
		e.loadReport.RequestedKeys = map[string][]uint16{}
	}
	if e.loadReport.ServiceTimes == nil {
		e.loadReport.ServiceTimes = map[string]ServiceTime{}
	}
	for service, keys := range r.RequestedKeys {
		own := e.loadReport.RequestedKeys[service]
		room := max(0, maxRelayedKeys-len(own))
		e.loadReport.RequestedKeys[service] = append(own, keys[:min(room, len(keys))]...)
	}
	for server, t := range r.ServiceTimes {
		own := e.loadReport.ServiceTimes[server]
		e.loadReport.ServiceTimes[server] = ServiceTime{Sent: own.Sent + t.Sent, Answered: own.Answered + t.Answered, Count: own.Count + t.Count, Sum: own.Sum + t.Sum,
			Reports: own.Reports + t.Reports, Waiting: own.Waiting + t.Waiting, SlowdownPercent: own.SlowdownPercent + t.SlowdownPercent}
	}
}

// TakeLoadReport returns the load since the last call and starts a new report.
func (e *Edge) TakeLoadReport() LoadReport {
	e.loadReportMu.Lock()
	defer e.loadReportMu.Unlock()
	e.dropOldReportLocked()
	taken := e.loadReport
	e.loadReport, e.loadReportBegun = LoadReport{}, e.now()
	return taken
}

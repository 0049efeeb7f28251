package daemon

import (
	"sync"
	"time"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/telemetry"
)

// maxLoadAge is the age beyond which the load of a server is left out of the imbalance.
const maxLoadAge = 5 * time.Second

// serverLoads keeps the latest load of each server, measured by this daemon or reported
// by peers.
type serverLoads struct {
	mu    sync.Mutex
	loads map[string]loadSample // by server
}

type loadSample struct {
	busySlots  float64
	measuredAt time.Duration // time since the daemon was created
}

func (l *serverLoads) update(now time.Duration, loads []ownership.ServerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loads == nil {
		l.loads = map[string]loadSample{}
	}
	for _, load := range loads {
		if at := now - load.Age; at >= l.loads[load.Server].measuredAt {
			l.loads[load.Server] = loadSample{busySlots: load.BusySlots, measuredAt: at}
		}
	}
}

// imbalance returns, by service, the busy slots of the most loaded server divided by
// the mean over all servers.
func (l *serverLoads) imbalance(now time.Duration, view *ownership.View) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	type sum struct {
		maxBusySlots, totalBusySlots float64
		serverCount                  int
	}
	sums := map[string]*sum{}
	for name, load := range l.loads {
		server, ok := view.Servers[name]
		if !ok || now-load.measuredAt > maxLoadAge {
			delete(l.loads, name)
			continue
		}
		s := sums[server.Spec.Service]
		if s == nil {
			s = &sum{}
			sums[server.Spec.Service] = s
		}
		s.maxBusySlots = max(s.maxBusySlots, load.busySlots)
		s.totalBusySlots += load.busySlots
		s.serverCount++
	}
	ratios := map[string]float64{}
	for service, s := range sums {
		if s.totalBusySlots > 0 {
			ratios[service] = s.maxBusySlots / (s.totalBusySlots / float64(s.serverCount))
		}
	}
	return ratios
}

// controlByteCounts holds the byte totals of control calls that were already added to the
// metric.
type controlByteCounts struct {
	byPeerAndDirection map[[2]string]uint64
}

// recordTraffic adds the bytes of control calls since its last call to the metric.
func (d *Daemon) recordTraffic() {
	if d.reportedControlBytes.byPeerAndDirection == nil {
		d.reportedControlBytes.byPeerAndDirection = map[[2]string]uint64{}
	}
	peerSent, peerReceived := d.peerClients.control.Transport().Traffic()
	serverSent, serverReceived := d.serverClients.controlTraffic()
	platformTraffic := d.platformClient.Traffic()
	for key, total := range map[[2]string]uint64{
		{"daemon", "sent"}: peerSent, {"daemon", "received"}: peerReceived,
		{"server", "sent"}: serverSent, {"server", "received"}: serverReceived,
		{"platform", "sent"}: platformTraffic.Sent.Load(), {"platform", "received"}: platformTraffic.Received.Load(),
	} {
		if last := d.reportedControlBytes.byPeerAndDirection[key]; total > last {
			d.sink.recordMetric(telemetry.MetricControlBytes, float64(total-last), key[0], key[1])
			d.reportedControlBytes.byPeerAndDirection[key] = total
		}
	}
}

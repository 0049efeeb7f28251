package daemon

import (
	"sync"
	"time"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/telemetry"
)

// loadMaxAge is how long a server's load counts for the imbalance.
const loadMaxAge = 5 * time.Second

// serverLoads keeps the latest load of each server, measured here or heard from
// peers.
type serverLoads struct {
	mu    sync.Mutex
	loads map[string]notedLoad // by server
}

type notedLoad struct {
	busy float64       // slots
	at   time.Duration // process time of the measurement
}

func (l *serverLoads) note(now time.Duration, loads []ownership.ServerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loads == nil {
		l.loads = map[string]notedLoad{}
	}
	for _, load := range loads {
		if at := now - load.Age; at >= l.loads[load.Server].at {
			l.loads[load.Server] = notedLoad{busy: load.BusySlots, at: at}
		}
	}
}

// imbalance returns the busy slots of the hottest server over the mean, by service.
func (l *serverLoads) imbalance(now time.Duration, view *ownership.View) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	type sum struct {
		hottest, total float64
		servers        int
	}
	sums := map[string]*sum{}
	for name, load := range l.loads {
		server, ok := view.Servers[name]
		if !ok || now-load.at > loadMaxAge {
			delete(l.loads, name)
			continue
		}
		s := sums[server.Spec.Service]
		if s == nil {
			s = &sum{}
			sums[server.Spec.Service] = s
		}
		s.hottest = max(s.hottest, load.busy)
		s.total += load.busy
		s.servers++
	}
	ratios := map[string]float64{}
	for service, s := range sums {
		if s.total > 0 {
			ratios[service] = s.hottest / (s.total / float64(s.servers))
		}
	}
	return ratios
}

// trafficCount remembers what was already added to the control byte counters.
type trafficCount struct {
	reported map[[2]string]uint64
}

// recordTraffic adds the control bytes since the last call to the metric.
func (d *Daemon) recordTraffic() {
	if d.traffic.reported == nil {
		d.traffic.reported = map[[2]string]uint64{}
	}
	peerSent, peerReceived := d.peers.calls.Transport().Traffic()
	serverSent, serverReceived := d.servers.traffic()
	log := d.client.Traffic()
	for key, total := range map[[2]string]uint64{
		{"daemon", "sent"}: peerSent, {"daemon", "received"}: peerReceived,
		{"server", "sent"}: serverSent, {"server", "received"}: serverReceived,
		{"platform", "sent"}: log.Sent.Load(), {"platform", "received"}: log.Received.Load(),
	} {
		if last := d.traffic.reported[key]; total > last {
			d.sink.record(telemetry.MetricControlBytes, float64(total-last), key[0], key[1])
			d.traffic.reported[key] = total
		}
	}
}

package assignment

import (
	"maps"

	"parsleyrelay.example/core/directory"
)

// This file limits the requests for servers that get more than they can serve. Moves
// spread busy ranges over the servers, but a single busy key cannot be split. With
// hundreds of hosts, each sees too few of the requests for it to notice the overload
// in time; the leader sees the reports of all hosts. It tells them which share of the
// requests for a server's keys to queue.

// Parameters of the limits.
const (
	// minLimitingHosts is the least number of hosts with which servers are limited. With
	// fewer, each host sees enough responses to adjust its window in time.
	minLimitingHosts = 50
	// overloadQueue is the mean number of waiting requests, relative to the slots, above
	// which a server's requests are limited.
	overloadQueue = 1.0
	// minOverloadDemand is the least demand at which requests are limited, relative to
	// the capacity. Below it, moves and the hosts' own windows suffice.
	minOverloadDemand = 2.0
	// initialAdmittedLoad is the load that is let through at first, relative to the
	// capacity. It is below 1 so that the queue shrinks.
	initialAdmittedLoad = 0.9
	// The admitted load is adjusted such that a few requests wait, because without any
	// the slots would not stay busy.
	longQueue, longQueueFactor   = 1.0, 0.85
	highQueue, highQueueFactor   = 0.5, 0.93
	shortQueue, shortQueueFactor = 1.0 / 4, 1.25
	// Bounds of the admitted load.
	minAdmittedLoad, maxAdmittedLoad = 0.6, 2.0
	// arrivalRatePerCount converts the decayed count of arrivals of shortTermPolicy, right
	// after a decay, to arrivals per second: the sum of a steady rate's decayed counts is
	// interval*factor/(1-factor) times the rate.
	arrivalRatePerCount = (1 - 0.72) / (0.72 * 0.3)
)

// queueReports sums up the load reports of a server since the last adjustment.
type queueReports struct {
	count, waiting int
}

// RecordQueue records that count responses of a server reported a total of waiting
// requests in its queue.
func (l *Leader) RecordQueue(server string, count, waiting int) {
	if count <= 0 || waiting < 0 || !l.isListed(server) {
		return
	}
	q := l.queueReports[server]
	l.queueReports[server] = queueReports{count: q.count + count, waiting: q.waiting + waiting}
}

// SetHostCount sets the number of hosts that send requests to the servers.
func (l *Leader) SetHostCount(n int) { l.hostCount = n }

// AdmittedShares returns, by server ID, the share of the requests for its keys that
// hosts may queue. Servers without an entry have no limit. The map must not be changed.
func (l *Leader) AdmittedShares() map[string]float64 { return l.admittedShares }

// limitOverload updates the limits of a service's servers by their loads and by the
// queues that they reported since the last call.
func (l *Leader) limitOverload(service string, loads []*serverLoad) {
	if l.hostCount < minLimitingHosts {
		clear(l.contacts)
		l.admittedLoads, l.admittedShares = map[string]map[string]float64{}, nil
		return
	}
	former, current := l.admittedLoads[service], map[string]float64{}
	shares := maps.Clone(l.admittedShares)
	// Servers that may own no ranges, as they are evacuated for instance, have no load. A limit
	// or a silence from before must not last until their return.
	maps.DeleteFunc(shares, func(id string, _ float64) bool { return l.endsWith(service, id) })
	l.dropContacts(service, loads)
	for _, s := range loads {
		id := s.server.ID
		reports := l.queueReports[id]
		delete(l.queueReports, id)
		if l.updateSilence(service, s.server); l.IsSilent(id) {
			if shares == nil {
				shares = map[string]float64{}
			}
			shares[id] = silentShare
			continue
		}
		capacity := l.requestRate(s.server)
		if capacity == 0 {
			continue
		}
		demand := s.actual * arrivalRatePerCount / capacity
		admitted, limited := former[id]
		switch {
		case limited:
			admitted = adjustAdmittedLoad(admitted, reports, s.server)
		case demand >= minOverloadDemand && reports.count > 0 && reports.queue(s.server) > overloadQueue:
			admitted = initialAdmittedLoad
		default:
			continue
		}
		if admitted < demand {
			current[id] = admitted
			if shares == nil {
				shares = map[string]float64{}
			}
			shares[id] = admitted / demand
		}
	}
	l.admittedLoads[service], l.admittedShares = current, shares
}

// endsWith reports whether the limit of a server ends with the next limits of a service.
func (l *Leader) endsWith(service, server string) bool {
	_, ofService := l.servers[service][server]
	return ofService || !l.isListed(server)
}

// isListed reports whether a server of a keyed service has the ID.
func (l *Leader) isListed(server string) bool {
	for _, servers := range l.servers {
		if _, ok := servers[server]; ok {
			return true
		}
	}
	return false
}

// queue returns the mean number of waiting requests, relative to the slots of the
// server.
func (q queueReports) queue(s directory.Server) float64 {
	return float64(q.waiting) / float64(q.count) / float64(max(1, s.Slots))
}

// adjustAdmittedLoad returns the next admitted load of a server. Without any report, too
// few requests were let through.
func adjustAdmittedLoad(admitted float64, reports queueReports, s directory.Server) float64 {
	switch {
	case reports.count == 0 || reports.queue(s) < shortQueue:
		admitted *= shortQueueFactor
	case reports.queue(s) > longQueue:
		admitted *= longQueueFactor
	case reports.queue(s) > highQueue:
		admitted *= highQueueFactor
	}
	return min(max(admitted, minAdmittedLoad), maxAdmittedLoad)
}

// requestRate returns the requests that a server can serve per second, or 0 if no service
// time of its service is known.
func (l *Leader) requestRate(s directory.Server) float64 {
	seconds := 0.0
	if v := l.meanServiceTimes[s.ID]; v != nil && v.samples >= minServiceTimeSamples {
		seconds = v.seconds
	} else {
		seconds = l.meanSecondsOf(s.Service)
	}
	if seconds <= 0 {
		return 0
	}
	return float64(max(1, s.Slots)) / seconds
}

// meanSecondsOf returns the mean service time of the servers of a service for which it
// is known, or 0.
func (l *Leader) meanSecondsOf(service string) float64 {
	sum, known := 0.0, 0
	for id := range l.servers[service] {
		if v := l.meanServiceTimes[id]; v != nil && v.samples >= minServiceTimeSamples {
			sum += v.seconds
			known++
		}
	}
	return sum / float64(max(1, known))
}

package home

import (
	"sync"
	"time"

	"parsleyrelay.example/core/balance"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/frontend"
)

const (
	// hotKeyCapacity is the number of keys tracked per service. The planner can
	// isolate the hot keys of a service with 550 Zipf-distributed keys at this size.
	hotKeyCapacity = 1024
	// hotKeysReported bounds the hot keys per service in one report to the planner.
	hotKeysReported = 256
	// loadRetention is how long the load of a slice is kept after it was last served
	// here, so that the slice keeps its load when it moves to another local server
	// or is split.
	loadRetention = 10 * time.Second
)

// loadMeter measures the busy time per slice and key, and the request rate, of the
// servers whose home is this daemon.
type loadMeter struct {
	mu       sync.Mutex
	services map[string]*serviceLoad
}

type serviceLoad struct {
	sliceLoads     map[ownership.SliceRef]*decayedRate // busy slots (busy seconds per second)
	hotKeys        *balance.HotKeyTracker
	serverRequests map[string]*decayedRate // requests per second, by server
}

// decayedRate is a decaying sum of busy seconds or requests, with the time at which
// its measurement started.
type decayedRate struct {
	balance.DecayingSum
	startedAt  time.Duration
	lastInView time.Duration // time of the last measurement whose view had the slice or server on this host
}

func (m *decayedRate) rate(now time.Duration) float64 { return m.RateSince(now, m.startedAt) }

func newLoadMeter() *loadMeter { return &loadMeter{services: map[string]*serviceLoad{}} }

// addRequest records a request that kept a slot of a server busy for the given time.
func (l *loadMeter) addRequest(now time.Duration, req *frontend.Request, slice ownership.SliceRef, server string, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceFor(req.Service)
	s.sliceFor(now, slice).Add(now, busy.Seconds())
	s.serverFor(now, server).Add(now, 1)
	s.hotKeys.Add(now, req.KeyHash, busy.Seconds())
}

func (l *loadMeter) serviceFor(name string) *serviceLoad {
	s := l.services[name]
	if s == nil {
		s = &serviceLoad{
			sliceLoads: map[ownership.SliceRef]*decayedRate{}, serverRequests: map[string]*decayedRate{},
			hotKeys: balance.NewHotKeyTracker(hotKeyCapacity),
		}
		l.services[name] = s
	}
	return s
}

func (s *serviceLoad) serverFor(now time.Duration, name string) *decayedRate {
	m := s.serverRequests[name]
	if m == nil {
		m = &decayedRate{startedAt: now, lastInView: now}
		s.serverRequests[name] = m
	}
	return m
}

// sliceFor returns the load of a slice. A new slice that came from another local
// server or from a split inherits the load that was measured there.
func (s *serviceLoad) sliceFor(now time.Duration, slice ownership.SliceRef) *decayedRate {
	if m := s.sliceLoads[slice]; m != nil {
		return m
	}
	m := &decayedRate{startedAt: now, lastInView: now}
	if parent, source := s.findParent(slice); source != nil {
		m.startedAt = source.startedAt
		m.DecayingSum = source.Scaled(s.estimateShare(now, slice.Range, parent, source))
	}
	s.sliceLoads[slice] = m
	return m
}

// findParent returns the narrowest known slice that contains the given one; among
// equally narrow slices, the one of the highest generation.
func (s *serviceLoad) findParent(slice ownership.SliceRef) (keyspace.Range, *decayedRate) {
	var best ownership.SliceRef
	var found *decayedRate
	for other, m := range s.sliceLoads {
		if other.Range.First > slice.Range.First || other.Range.Last < slice.Range.Last {
			continue
		}
		narrower := rangeWidth(other.Range) < rangeWidth(best.Range) ||
			rangeWidth(other.Range) == rangeWidth(best.Range) && other.Generation > best.Generation
		if found == nil || narrower {
			best, found = other, m
		}
	}
	return best.Range, found
}

func rangeWidth(r keyspace.Range) float64 { return float64(r.Last-r.First) + 1 }

// estimateShare estimates which fraction of a slice's load belongs to a part of its
// range: the load of the hot keys in that part, plus the remaining load in
// proportion to the part's width.
func (s *serviceLoad) estimateShare(now time.Duration, piece, whole keyspace.Range, source *decayedRate) float64 {
	total := source.Rate(now)
	if piece == whole || total == 0 {
		return 1
	}
	inPiece, inWhole := 0.0, 0.0
	for _, k := range s.hotKeys.Top(now) {
		if load := k.BusySlots - k.MaxError; whole.Contains(k.Hash) {
			inWhole += load
			if piece.Contains(k.Hash) {
				inPiece += load
			}
		}
	}
	rest := max(0, total-inWhole) * rangeWidth(piece) / rangeWidth(whole)
	return min(1, (inPiece+rest)/max(total, inWhole))
}

// measure returns the load of all local servers and of the slices they serve. It also
// removes entries that no view has had for loadRetention.
func (l *loadMeter) measure(now time.Duration, view *ownership.View) ownership.LoadMeasured {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out ownership.LoadMeasured
	for name, server := range view.Servers {
		if !server.Local {
			continue
		}
		s := l.serviceFor(server.Spec.Service)
		requests := s.serverFor(now, name)
		requests.lastInView = now
		load := ownership.ServerLoad{Server: name, RequestsPerSecond: requests.rate(now)}
		server.ServingSet.All(func(slice ownership.SliceRef, _ ownership.Activation) {
			m := s.sliceFor(now, slice)
			m.lastInView = now
			rate := m.rate(now)
			load.BusySlots += rate
			out.Slices = append(out.Slices, ownership.SliceLoad{
				Service: server.Spec.Service, Slice: slice, Server: name, BusySlots: rate,
			})
		})
		out.Servers = append(out.Servers, load)
	}
	for name, s := range l.services {
		out.HotKeys = append(out.HotKeys, s.reportedHotKeys(now, name)...)
		s.removeExpired(now)
		if len(s.serverRequests) == 0 && len(s.sliceLoads) == 0 {
			delete(l.services, name)
		}
	}
	return out
}

// reportedHotKeys returns the hot keys with a lower bound of their load, so that an
// overestimate of the sketch never makes a cold key look hot.
func (s *serviceLoad) reportedHotKeys(now time.Duration, service string) []ownership.HotKey {
	var list []ownership.HotKey
	for _, k := range s.hotKeys.Top(now) {
		if load := k.BusySlots - k.MaxError; load > 0 && len(list) < hotKeysReported {
			list = append(list, ownership.HotKey{Service: service, Hash: k.Hash, BusySlots: load})
		}
	}
	return list
}

func (s *serviceLoad) removeExpired(now time.Duration) {
	for slice, m := range s.sliceLoads {
		if now-m.lastInView > loadRetention {
			delete(s.sliceLoads, slice)
		}
	}
	for name, m := range s.serverRequests {
		if now-m.lastInView > loadRetention {
			delete(s.serverRequests, name)
		}
	}
}

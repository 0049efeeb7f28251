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
	// hotKeyCapacity is the number of keys tracked per service. The planner's
	// tests isolate the hot ones of 550 Zipf keys with it.
	hotKeyCapacity = 1024
	// hotKeysReported bounds the keys that one measurement hands to the planner.
	hotKeysReported = 256
	// loadKept is how long the load of a slice that is not served is kept, so
	// that it goes with the slice to another local server or to its pieces.
	loadKept = 10 * time.Second
)

// loads measures busy time per slice and key of the servers whose home this
// daemon is.
type loads struct {
	mu       sync.Mutex
	services map[string]*serviceLoad
}

type serviceLoad struct {
	slices  map[ownership.SliceRef]*measured
	hot     *balance.HotKeyTracker
	servers map[string]*measured // requests, by server
}

// measured is a decayed sum and the time from which it was collected.
type measured struct {
	balance.DecayingSum
	since  time.Duration
	served time.Duration // last time it was seen in a view
}

func (m *measured) rate(now time.Duration) float64 { return m.RateSince(now, m.since) }

func newLoads() *loads { return &loads{services: map[string]*serviceLoad{}} }

// add counts a request that took busy time at a server.
func (l *loads) add(now time.Duration, req *frontend.Request, slice ownership.SliceRef, server string, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(req.Service)
	s.slice(now, slice).Add(now, busy.Seconds())
	s.server(now, server).Add(now, 1)
	s.hot.Add(now, req.KeyHash, busy.Seconds())
}

func (l *loads) service(name string) *serviceLoad {
	s := l.services[name]
	if s == nil {
		s = &serviceLoad{
			slices: map[ownership.SliceRef]*measured{}, servers: map[string]*measured{},
			hot: balance.NewHotKeyTracker(hotKeyCapacity),
		}
		l.services[name] = s
	}
	return s
}

func (s *serviceLoad) server(now time.Duration, name string) *measured {
	m := s.servers[name]
	if m == nil {
		m = &measured{since: now, served: now}
		s.servers[name] = m
	}
	return m
}

// slice returns the load of a slice. One that came from another local server or
// from a split takes over what was measured there.
func (s *serviceLoad) slice(now time.Duration, slice ownership.SliceRef) *measured {
	if m := s.slices[slice]; m != nil {
		return m
	}
	m := &measured{since: now, served: now}
	if parent, source := s.parent(slice); source != nil {
		m.since = source.since
		m.DecayingSum = source.Scaled(s.share(now, slice.Range, parent, source))
	}
	s.slices[slice] = m
	return m
}

// parent returns the narrowest known slice that contains another one, the newest
// among equals.
func (s *serviceLoad) parent(slice ownership.SliceRef) (keyspace.Range, *measured) {
	var best ownership.SliceRef
	var found *measured
	for other, m := range s.slices {
		if other.Range.First > slice.Range.First || other.Range.Last < slice.Range.Last {
			continue
		}
		narrower := width(other.Range) < width(best.Range) ||
			width(other.Range) == width(best.Range) && other.Generation > best.Generation
		if found == nil || narrower {
			best, found = other, m
		}
	}
	return best.Range, found
}

func width(r keyspace.Range) float64 { return float64(r.Last-r.First) + 1 }

// share estimates which part of a slice's load belongs to a piece of it: that of
// its hot keys, and of the rest a part in proportion to its width.
func (s *serviceLoad) share(now time.Duration, piece, whole keyspace.Range, source *measured) float64 {
	total := source.Rate(now)
	if piece == whole || total == 0 {
		return 1
	}
	inPiece, inWhole := 0.0, 0.0
	for _, k := range s.hot.Top(now) {
		if load := k.BusySlots - k.MaxError; whole.Contains(k.Hash) {
			inWhole += load
			if piece.Contains(k.Hash) {
				inPiece += load
			}
		}
	}
	rest := max(0, total-inWhole) * width(piece) / width(whole)
	return min(1, (inPiece+rest)/max(total, inWhole))
}

// measure returns the load of all local servers and of the slices they serve.
func (l *loads) measure(now time.Duration, view *ownership.View) ownership.LoadMeasured {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out ownership.LoadMeasured
	for name, server := range view.Servers {
		if !server.Local {
			continue
		}
		s := l.service(server.Spec.Service)
		requests := s.server(now, name)
		requests.served = now
		load := ownership.ServerLoad{Server: name, RequestsPerSecond: requests.rate(now)}
		server.ServingSet.All(func(slice ownership.SliceRef, _ ownership.Activation) {
			m := s.slice(now, slice)
			m.served = now
			rate := m.rate(now)
			load.BusySlots += rate
			out.Slices = append(out.Slices, ownership.SliceLoad{
				Service: server.Spec.Service, Slice: slice, Server: name, BusySlots: rate,
			})
		})
		out.Servers = append(out.Servers, load)
	}
	for name, s := range l.services {
		out.HotKeys = append(out.HotKeys, s.hottest(now, name)...)
		s.forget(now)
		if len(s.servers) == 0 && len(s.slices) == 0 {
			delete(l.services, name)
		}
	}
	return out
}

// hottest reports what a key has at least, so that an error of the sketch never
// makes a cold key hot.
func (s *serviceLoad) hottest(now time.Duration, service string) []ownership.HotKey {
	var list []ownership.HotKey
	for _, k := range s.hot.Top(now) {
		if load := k.BusySlots - k.MaxError; load > 0 && len(list) < hotKeysReported {
			list = append(list, ownership.HotKey{Service: service, Hash: k.Hash, BusySlots: load})
		}
	}
	return list
}

func (s *serviceLoad) forget(now time.Duration) {
	for slice, m := range s.slices {
		if now-m.served > loadKept {
			delete(s.slices, slice)
		}
	}
	for name, m := range s.servers {
		if now-m.served > loadKept {
			delete(s.servers, name)
		}
	}
}

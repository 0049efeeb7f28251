// Package routes selects the route and the service of a request from a
// versioned configuration. It does no I/O.
package routes

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets of the route
}

// Route maps requests of a host below a path prefix to services.
type Route struct {
	Name          string
	Host          string        // lower case, without port
	Prefix        string        // begins and ends with a slash
	Idempotent    bool          // requests may run more than once
	Timeout       time.Duration // final response is due after it; 0 for none
	TargetLatency time.Duration // 0 when not stated
	Rank          int           // 0 is the most urgent
	Attempts      int           // servers that one request may be sent to
	Targets       []Target      // at least one
}

// Service is a set of backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int  // connections that a server accepts from all callers together
	Keyed      bool // a server runs a request only while it holds the request's key
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table is an immutable index of a Config. Invariant: the routes of a host are
// ordered by descending prefix length, so the first match is the longest.
type Table struct {
	Config Config
	hosts  map[string][]*Route
}

// NewTable returns the index of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Splitter distributes the requests of a route over its targets by smooth
// weighted round robin, so that shares also hold over short spans. It is safe
// for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string]map[string]int // route, service
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter { return &Splitter{credits: map[string]map[string]int{}} }

// Pick returns the service of the next request of a route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if credits == nil {
		credits = map[string]int{}
		s.credits[r.Name] = credits
	}
	total, best := 0, ""
	for _, t := range r.Targets {
		credits[t.Service] += t.Weight
		total += t.Weight
		if t.Weight > 0 && (best == "" || credits[t.Service] > credits[best]) {
			best = t.Service
		}
	}
	credits[best] -= total
	return best
}

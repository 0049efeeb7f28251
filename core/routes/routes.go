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

// Route maps the requests for a host name and path prefix to services.
type Route struct {
	Name          string
	Host          string        // lower case, without port
	Prefix        string        // begins and ends with a slash
	Idempotent    bool          // requests may run more than once
	Download      bool          // responses are large
	Timeout       time.Duration // time until the final response is due; 0 for no limit
	TargetLatency time.Duration // 0 if not configured
	Rank          int           // 0 is the most urgent
	Attempts      int           // maximum number of servers that one request may be sent to
	Targets       []Target      // at least one
}

// Service is a set of backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int  // connections that one server accepts from all callers together
	Keyed      bool // a server runs a request only while it holds the request's key
	// WarmupTime is the time for which a server stays cold after its start, and WarmupRate
	// the requests per second that it tolerates meanwhile; 0 for no limit.
	WarmupTime time.Duration
	WarmupRate float64
}

// Limits restricts the size and the duration of what a caller sends.
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
	Config       Config
	routesByHost map[string][]*Route
}

// NewTable returns the index of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that path begins
// with, or nil.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Splitter distributes the requests of a route over its targets by smooth
// weighted round robin, so that the shares also hold over short times. It is safe
// for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string]map[string]int // by route name, then service
}

// NewSplitter returns a Splitter that has not distributed any requests yet.
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

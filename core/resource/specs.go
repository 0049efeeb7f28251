package resource

import (
	"net/url"
	"strings"

	"parsleyrelay.example/core/finding"
)

// Scope says from which availability zones the witnesses of a service are taken.
// An entry host may dispatch only while a majority of the witnesses gives it a lease
// (see package ownership).
type Scope string

// The scopes of a service.
const (
	// ScopeZone keeps the home (the entry host that dispatches to a server) and
	// the witnesses in the server's own availability zone. A zone that is
	// partitioned from the others goes on serving its own keys.
	ScopeZone Scope = "zone"
	// ScopeAll takes witnesses from all availability zones. A zone that is
	// partitioned from the majority stops serving, and the others take over its
	// keys.
	ScopeAll Scope = "all"
)

// Service is a set of backend servers that share one key space.
type Service struct {
	Scope  Scope `json:"scope,omitempty"`  // default ScopeZone
	Slices int   `json:"slices,omitempty"` // number of slices when the key space is first placed, default DefaultSlices
	// Ranks names the Rank resources that callers may use.
	Ranks       []string `json:"ranks"`
	DefaultRank string   `json:"defaultRank"`
	// MaxBodyBytes bounds request bodies, default DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
}

// Defaults and bounds of Service fields.
const (
	DefaultSlices       = 256
	MaxSlices           = 65536
	DefaultMaxBodyBytes = 8 << 20 // bytes
)

// Kind returns KindService.
func (*Service) Kind() Kind { return KindService }

// EffectiveScope returns the scope with the default applied.
func (s *Service) EffectiveScope() Scope {
	if s.Scope == "" {
		return ScopeZone
	}
	return s.Scope
}

// EffectiveSlices returns the number of slices with the default applied.
func (s *Service) EffectiveSlices() int {
	if s.Slices == 0 {
		return DefaultSlices
	}
	return s.Slices
}

// EffectiveMaxBodyBytes returns the bound on request bodies in bytes.
func (s *Service) EffectiveMaxBodyBytes() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}

// Validate implements Spec.
func (s *Service) Validate(place string, findings *finding.List) {
	if s.Scope != "" && s.Scope != ScopeZone && s.Scope != ScopeAll {
		findings.Add(place+": spec.scope", "%q is neither %q nor %q", s.Scope, ScopeZone, ScopeAll)
	}
	if s.Slices < 0 || s.Slices > MaxSlices {
		findings.Add(place+": spec.slices", "%d is not between 1 and %d", s.Slices, MaxSlices)
	}
	if s.MaxBodyBytes < 0 {
		findings.Add(place+": spec.maxBodyBytes", "%d is negative", s.MaxBodyBytes)
	}
	if len(s.Ranks) == 0 {
		findings.Add(place+": spec.ranks", "at least one rank is required")
	}
	if !contains(s.Ranks, s.DefaultRank) {
		findings.Add(place+": spec.defaultRank", "%q is not listed in spec.ranks", s.DefaultRank)
	}
}

// Server is one backend server.
type Server struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is the base URL, http or https. Its host should be an IP address, which
	// Validate does not check.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`            // requests that the server runs concurrently
	Connections int    `json:"connections"`      // connections that the server accepts in total
	Weight      int    `json:"weight,omitempty"` // relative share of keys, default 100
	// ChecksGrants says that the server refuses requests that no unexpired grant
	// covers (see package serverapi).
	ChecksGrants bool `json:"checksGrants"`
	// RemembersIDs says that the server itself deduplicates requests by their
	// idempotency key.
	RemembersIDs bool `json:"remembersIds,omitempty"`
	// RequireReleaseConfirmation forbids moving slices off the server unless the
	// server confirmed their release or an operator declared it gone.
	RequireReleaseConfirmation bool `json:"requireReleaseConfirmation,omitempty"`
	// Drain asks the router to move all slices off the server.
	Drain bool `json:"drain,omitempty"`
	// Gone declares that no instance of the server is running any more.
	Gone bool `json:"gone,omitempty"`
}

// DefaultServerWeight is the weight of a server that declares none.
const DefaultServerWeight = 100

// Kind returns KindServer.
func (*Server) Kind() Kind { return KindServer }

// EffectiveWeight returns the weight with the default applied.
func (s *Server) EffectiveWeight() int {
	if s.Weight == 0 {
		return DefaultServerWeight
	}
	return s.Weight
}

// Validate implements Spec.
func (s *Server) Validate(place string, findings *finding.List) {
	if s.Service == "" {
		findings.Add(place+": spec.service", "is required")
	}
	if s.Zone == "" {
		findings.Add(place+": spec.zone", "is required")
	}
	u, err := url.Parse(s.Address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		findings.Add(place+": spec.address", "%q is not an http or https URL", s.Address)
	}
	if s.Slots < 1 {
		findings.Add(place+": spec.slots", "%d is less than 1", s.Slots)
	}
	if s.Connections < s.Slots {
		findings.Add(place+": spec.connections", "%d is less than spec.slots", s.Connections)
	}
	if s.Weight < 0 {
		findings.Add(place+": spec.weight", "%d is negative", s.Weight)
	}
}

// Rank is a priority class of requests.
type Rank struct {
	// Level orders the ranks; 0 is the most urgent.
	Level int `json:"level"`
	// FloorPercent is the percentage of a server's slots that is reserved for
	// the rank when more urgent ranks overload the server. 0 means the default
	// (see DefaultFloorPercent), NoFloor means that none is reserved.
	FloorPercent int `json:"floorPercent,omitempty"`
	// MaxQueueLength bounds the queued requests per server, default DefaultMaxQueueLength.
	MaxQueueLength int `json:"maxQueueLength,omitempty"`
	// MaxQueueMS bounds the time in the queue in milliseconds, default DefaultMaxQueueMS.
	MaxQueueMS int `json:"maxQueueMs,omitempty"`
	// DefaultDeadlineMS is the deadline of requests that set none, in milliseconds after
	// their arrival, default DefaultRankDeadlineMS.
	DefaultDeadlineMS int `json:"defaultDeadlineMs,omitempty"`
}

// Defaults and bounds of Rank fields.
const (
	DefaultMaxQueueLength = 128
	DefaultMaxQueueMS     = 2000
	DefaultRankDeadlineMS = 5000
	MaxRankLevel          = 15
	MaxFloorPercent       = 50
	NoFloor               = -1
)

// DefaultFloorPercent returns the floor of a rank that declares none, by its
// position among the ranks of the service, most urgent first: 0% for the most
// urgent, 5% for the least urgent and 10% for those between.
func DefaultFloorPercent(position, ranks int) int {
	switch {
	case position == 0:
		return 0
	case position == ranks-1:
		return 5
	}
	return 10
}

// Kind returns KindRank.
func (*Rank) Kind() Kind { return KindRank }

// Validate implements Spec.
func (r *Rank) Validate(place string, findings *finding.List) {
	if r.Level < 0 || r.Level > MaxRankLevel {
		findings.Add(place+": spec.level", "%d is not between 0 and %d", r.Level, MaxRankLevel)
	}
	if r.FloorPercent < NoFloor || r.FloorPercent > MaxFloorPercent {
		findings.Add(place+": spec.floorPercent", "%d is not between %d and %d", r.FloorPercent, NoFloor, MaxFloorPercent)
	}
	if r.MaxQueueLength < 0 {
		findings.Add(place+": spec.maxQueueLength", "%d is negative", r.MaxQueueLength)
	}
	if r.MaxQueueMS < 0 {
		findings.Add(place+": spec.maxQueueMs", "%d is negative", r.MaxQueueMS)
	}
	if r.DefaultDeadlineMS < 0 {
		findings.Add(place+": spec.defaultDeadlineMs", "%d is negative", r.DefaultDeadlineMS)
	}
}

// Route maps a path prefix to a service for callers that cannot set headers.
type Route struct {
	PathPrefix string `json:"pathPrefix"` // starts and ends with "/"; the longest match wins
	Service    string `json:"service"`
	// KeyHeader names the request header that holds the key; when empty, the
	// path segment after the prefix is the key.
	KeyHeader string `json:"keyHeader,omitempty"`
	Rank      string `json:"rank,omitempty"` // default: the service's default rank
}

// Kind returns KindRoute.
func (*Route) Kind() Kind { return KindRoute }

// Validate implements Spec.
func (r *Route) Validate(place string, findings *finding.List) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		findings.Add(place+": spec.pathPrefix", "%q does not start and end with \"/\"", r.PathPrefix)
	}
	if strings.HasPrefix(r.PathPrefix, "/v1/") {
		findings.Add(place+": spec.pathPrefix", "%q is under /v1/, which is reserved", r.PathPrefix)
	}
	if r.Service == "" {
		findings.Add(place+": spec.service", "is required")
	}
}

// Zone declares facts about an availability zone.
type Zone struct {
	// Lost declares that nothing in the zone is running any more, so that other
	// zones take over its keys. If that is not true, a key can have two owners.
	Lost bool `json:"lost,omitempty"`
}

// Kind returns KindZone.
func (*Zone) Kind() Kind { return KindZone }

// Validate implements Spec.
func (*Zone) Validate(string, *finding.List) {}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

package dev

import (
	"slices"
	"time"

	"parsleyrelay.example/core/finding"
)

const operatorToken = "dev"

// rankFloorPercents are the percentages of a server's slots that are reserved for a
// rank when more urgent ranks overload the server, by rank level.
var rankFloorPercents = []int{0, 10, 5}

// siteProfile describes the size of a deployment and its ranks.
type siteProfile struct {
	zones        []string
	hostsPerZone int
	services     []service
	slots        int // per server
	connections  int // per server
	serviceTime  time.Duration
	ranks        []string // from the highest to the lowest
}

type service struct {
	name    string
	servers int
}

// siteProfiles are, by name, the small demonstration (empty name) and the sites of
// docs/design.md, section 2.1.
// The service time of 100 ms keeps a flood of 10 times the capacity of a whole
// site within the request rate that one machine can generate and refuse.
var siteProfiles = map[string]siteProfile{
	"": {
		zones: []string{"ate", "callao"}, hostsPerZone: 2, slots: 6, connections: 110,
		services:    []service{{"almacen", 6}},
		serviceTime: 5 * time.Millisecond, ranks: []string{"urgent", "normal", "casual"},
	},
	"huaman": {
		zones: []string{"ate", "callao", "lurin"}, hostsPerZone: 3, slots: 6, connections: 110,
		services:    []service{{"almacen", 15}, {"cotizador", 10}},
		serviceTime: 100 * time.Millisecond, ranks: []string{"orders", "checks", "lookups"},
	},
	"kandyan": {
		zones: []string{"kandy", "matale", "nuwara"}, hostsPerZone: 3, slots: 2, connections: 45,
		services:    []service{{"orders", 25}, {"proofs", 15}},
		serviceTime: 100 * time.Millisecond, ranks: []string{"orders", "checks", "lookups"},
	},
}

// resolveProfile returns the profile that the options name, with the overrides of
// the other options. Its error is a finding.List of invalid options.
func (o Options) resolveProfile() (siteProfile, error) {
	var findings finding.List
	profile, ok := siteProfiles[o.Profile]
	if !ok {
		findings.Add("--profile", "%q is neither huaman nor kandyan", o.Profile)
	}
	if o.ServerDivisor < 0 {
		findings.Add("--server-divisor", "%d is negative", o.ServerDivisor)
	}
	if o.HostsPerZone < 0 {
		findings.Add("--hosts-per-zone", "%d is negative", o.HostsPerZone)
	}
	if o.Duration > 0 && (o.Profile != "" || o.ExternalHosts) {
		findings.Add("--duration", "the built-in load is for the demonstration; use parsleyctl load for --profile and --external-hosts")
	}
	if len(findings) > 0 {
		return siteProfile{}, findings
	}
	if o.HostsPerZone > 0 {
		profile.hostsPerZone = o.HostsPerZone
	}
	if o.ServiceTime > 0 {
		profile.serviceTime = o.ServiceTime
	}
	profile.services = slices.Clone(profile.services)
	for i := range profile.services {
		profile.services[i].servers = max(1, profile.services[i].servers/max(1, o.ServerDivisor))
	}
	return profile, nil
}

// capacity returns the requests per second that the servers of a service can run.
func (s siteProfile) capacity(svc service) float64 {
	return float64(svc.servers*s.slots) / s.serviceTime.Seconds()
}

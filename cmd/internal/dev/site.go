package dev

import (
	"slices"
	"time"

	"parsleyrelay.example/core/finding"
)

const operatorToken = "dev"

// floors are the floor percentages by rank level.
var floors = []int{0, 10, 5}

// site is the shape of a deployment.
type site struct {
	zones        []string
	hostsPerZone int
	services     []service
	slots        int // per server
	connections  int // per server
	serviceTime  time.Duration
	ranks        []string // from the highest on
}

type service struct {
	name    string
	servers int
}

// sites are the small demonstration (empty name) and the sites of design 2.1.
// The service time of 100 ms keeps a flood of 10 times the capacity of a whole
// site within what one machine can generate and refuse.
var sites = map[string]site{
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

// site returns the shape that the options ask for, or findings.
func (o Options) site() (site, error) {
	var findings finding.List
	chosen, ok := sites[o.Profile]
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
		return site{}, findings
	}
	if o.HostsPerZone > 0 {
		chosen.hostsPerZone = o.HostsPerZone
	}
	if o.ServiceTime > 0 {
		chosen.serviceTime = o.ServiceTime
	}
	chosen.services = slices.Clone(chosen.services)
	for i := range chosen.services {
		chosen.services[i].servers = max(1, chosen.services[i].servers/max(1, o.ServerDivisor))
	}
	return chosen, nil
}

// capacity returns the requests per second that a service can run.
func (s site) capacity(of service) float64 {
	return float64(of.servers*s.slots) / s.serviceTime.Seconds()
}

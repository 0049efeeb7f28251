package assignment

import "time"

// This file weighs the load of keys by the estimated cost of the requests, and takes the slow
// spells of machines out of the speeds of servers.

const (
	// costMemory is the number of requests over which the mean cost of a service is averaged.
	costMemory = 2000
	// Bounds of the weight of one request, whose mean is 1. A wrong estimate moves few keys.
	minRequestWeight, maxRequestWeight = 0.1, 5
	// slowdownMemory is the number of reports over which a server's usual slowdown is averaged.
	slowdownMemory = 200
	// steadySampleWeight replaces minSampleWeight for servers that report slowdowns. Spells of
	// 400 ms at a third of the speed for a fifth of the time make a mean over 20 samples vary
	// by 15%; over 100 samples, with the present slowdown taken out, by 5%.
	steadySampleWeight = 0.01
	// Bounds of a mean slowdown; others come from a damaged report.
	leastSlowdown, mostSlowdown = 0.1, 100.0
)

// requestCosts holds the mean cost of the requests of a service.
type requestCosts struct {
	samples, meanMs float64
	square          float64 // mean square of the weights; 0 without costs
}

// weight returns the weight of a request in the load of its key; 1 if its cost is not known.
func (c *requestCosts) weight(costMs uint16) float32 {
	if costMs == 0 {
		return 1
	}
	c.samples = min(c.samples+1, costMemory)
	c.meanMs += (float64(costMs) - c.meanMs) / c.samples
	w := min(max(float64(costMs)/c.meanMs, minRequestWeight), maxRequestWeight)
	c.square += (w*w - c.square) / c.samples
	return float32(w)
}

// variance returns the variance of the load that one request adds; 1 without costs, because
// arrivals are independent.
func (c *requestCosts) variance() float64 { return max(1, c.square) }

// RecordCosts counts one request for each element of keys, weighed by the estimated costs in
// the same order. costsMs is nil, or has an element of 0 for each request without an estimate.
func (l *Leader) RecordCosts(service string, keys, costsMs []uint16) {
	load := l.keyLoadsByService[service]
	if load == nil {
		load = &keyLoads{}
		l.keyLoadsByService[service] = load
	}
	if _, limited := l.warmupLimits[service]; limited && len(costsMs) > 0 && load.requests == nil {
		load.requests = &requestCounts{shortTerm: load.shortTerm, longTerm: load.longTerm}
	}
	for i, k := range keys {
		if load.requests != nil {
			load.requests.shortTerm.counts[k]++
			load.requests.longTerm.counts[k]++
		}
		weight := float32(1)
		if i < len(costsMs) {
			weight = load.costs.weight(costsMs[i])
		}
		load.shortTerm.counts[k] += weight
		load.longTerm.counts[k] += weight
	}
}

// RecordSlowdowns records that reports responses of a server had the given sum of slowdowns in
// percent. It returns what the sum of service times that came with them would have been at
// the server's usual slowdown.
func (l *Leader) RecordSlowdowns(server string, reports, percent int, sum time.Duration) time.Duration {
	if reports <= 0 || percent <= 0 {
		return sum
	}
	s := l.meanServiceTimes[server]
	if s == nil {
		s = &meanServiceTime{}
		l.meanServiceTimes[server] = s
	}
	present := min(max(float64(percent)/float64(reports)/100, leastSlowdown), mostSlowdown)
	for range min(reports, minServiceTimeSamples) {
		s.slowdownSamples = min(s.slowdownSamples+1, slowdownMemory)
		s.slowdown += (present - s.slowdown) / s.slowdownSamples
	}
	return time.Duration(float64(sum) * s.slowdown / present)
}

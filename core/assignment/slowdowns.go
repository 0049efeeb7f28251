package assignment

import "time"

// This file takes the slow spells of machines out of the speeds of servers.

const (
	// slowdownMemory is the number of reports over which a server's usual slowdown is averaged.
	slowdownMemory = 200
	// steadySampleWeight replaces minSampleWeight for servers that report slowdowns. Spells of
	// 400 ms at a third of the speed for a fifth of the time make a mean over 20 samples vary
	// by 15%; over 100 samples, with the present slowdown taken out, by 5%.
	steadySampleWeight = 0.01
	// Bounds of a mean slowdown; others come from a damaged report.
	leastSlowdown, mostSlowdown = 0.1, 100.0
)

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

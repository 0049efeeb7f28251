package cost

import (
	"math"
	"time"
)

// Rate is the work that a server does per second of time, relative to its usual speed: 1/3
// while the work on its machine takes three times as long.
type Rate float64

const (
	// rateLifetime is the time for which a server is expected to keep a reported rate before
	// it returns to the usual one. Slow spells last for about 400 ms, so half of that is left
	// on average when one is seen; the usual rate lasts longer.
	rateLifetime = 250 * time.Millisecond
	// rateMemory is the number of reports over which the usual rate is averaged.
	rateMemory = 100
	// serverRateSamples is the number of reports of a server from which its usual rate
	// counts as much as that of its service.
	serverRateSamples = 20
	// Bounds of a reported slowdown in percent. Others say nothing of use.
	leastSlowdown, mostSlowdown = 10, 10000
)

// usualRate is the mean of the reported rates.
type usualRate struct{ mean, samples float64 }

func (u *usualRate) add(r Rate) {
	u.samples = min(u.samples+1, rateMemory)
	u.mean += (float64(r) - u.mean) / u.samples
}

// Server is what is known of the speed of one server. The zero Server is a server of which
// nothing is known.
type Server struct {
	speed      cell // logarithm of the time that work takes, relative to the service
	usual      usualRate
	reported   Rate // 0 if none was reported
	reportedAt time.Duration
}

// ReportSlowdown records the time that work takes on the server's machine, in percent of the
// usual.
func (e *Estimator) ReportSlowdown(now time.Duration, s *Server, percent int) {
	rate := 100 / Rate(min(max(percent, leastSlowdown), mostSlowdown))
	s.reported, s.reportedAt = rate, now
	s.usual.add(rate)
	e.rate.add(rate)
}

// usualRateOf returns the rate to expect of a server without a recent report.
func (e *Estimator) usualRateOf(s *Server) float64 {
	if e.rate.samples == 0 {
		return 1
	}
	credibility := s.usual.samples / (s.usual.samples + serverRateSamples)
	return e.rate.mean + credibility*(s.usual.mean-e.rate.mean)
}

// RateAt returns the rate that is expected of a server now.
func (e *Estimator) RateAt(now time.Duration, s *Server) Rate {
	if s.reported > 0 && now-s.reportedAt < rateLifetime {
		return s.reported
	}
	return Rate(e.usualRateOf(s))
}

// progress returns the work that a server did in the last seconds: one half by the rate that
// was expected at the start, the other by the rate now, each for rateLifetime at most.
func (e *Estimator) progress(s *Server, start Rate, seconds float64) float64 {
	usual := e.usualRateOf(s)
	end := usual
	if s.reported > 0 {
		end = float64(s.reported)
	}
	if start == 0 {
		start = Rate(usual)
	}
	known := min(seconds/2, rateLifetime.Seconds())
	return (float64(start)+end)*known + usual*(seconds-2*known)
}

// speedDeviation returns the shrunk logarithm of the time that work takes at a server.
func (e *Estimator) speedDeviation(now time.Duration, s *Server) float64 {
	if s.speed.weight == 0 {
		return 0
	}
	return e.servers.credibility(s.speed.weightAt(now, serverSampleLifetime)) * float64(s.speed.mean)
}

// Speed converts work into time at one server at one moment.
type Speed struct {
	factor      float64 // time for work at the usual rate, in relation to the service
	usual, rate float64 // rate holds for the given time
	holds       float64 // seconds
}

// SpeedAt returns the speed that is expected of a server from now on.
func (e *Estimator) SpeedAt(now time.Duration, s *Server) Speed {
	v := Speed{factor: 1, usual: e.usualRateOf(s)}
	if s.speed.weight > 0 {
		v.factor = math.Exp(e.speedDeviation(now, s))
	}
	if s.reported > 0 {
		v.rate, v.holds = float64(s.reported), max(0, (rateLifetime-(now-s.reportedAt)).Seconds())
	}
	return v
}

// Seconds returns the time that the server takes for work.
func (v Speed) Seconds(work float64) float64 {
	work *= v.factor
	if work < v.rate*v.holds { // false for no work at a server without a report, whose rate is 0
		return work / v.rate
	}
	return v.holds + (work-v.rate*v.holds)/v.usual
}

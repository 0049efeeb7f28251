package cost

import "math"

// errorSummary sums up estimates and outcomes since the last summary.
type errorSummary struct {
	samples           int
	estimated, actual float64 // seconds of work
	medianError       float64 // logarithm; follows the median in steps
	steps             int
}

// medianStep is the step by which the median of the error follows a sample; the first steps
// are larger.
const medianStep = 0.02

// record adds a sample whose work was exp(deviation) times its estimate.
func (s *errorSummary) record(deviation, work float64) {
	s.samples++
	s.actual += work
	s.estimated += work / math.Exp(deviation)
	s.steps++
	step := max(medianStep, 1/float64(1+s.steps))
	if math.Abs(deviation) > s.medianError {
		s.medianError += step
	} else {
		s.medianError = max(0, s.medianError-step)
	}
}

// Summary compares the estimates with the outcomes.
type Summary struct {
	Samples           int     // since the last summary
	Estimated, Actual float64 // mean work in seconds
	// ErrorRatio is the factor by which half of the samples differ from their estimate at
	// most.
	ErrorRatio float64
	// Route, Size and Key are the parts of a deviation that count after 10 samples: 0 if the
	// feature predicts nothing. Speed is that of the servers' speeds.
	Route, Size, Key, Speed float64
}

// TakeSummary returns the summary since the last call.
func (e *Estimator) TakeSummary() Summary {
	const samples = 10
	s, n := e.errors, float64(max(1, e.errors.samples))
	e.errors = errorSummary{medianError: s.medianError, steps: s.steps}
	return Summary{Samples: s.samples, Estimated: s.estimated / n, Actual: s.actual / n, ErrorRatio: math.Exp(s.medianError),
		Route: e.levels[routeLevel].credibility(samples), Size: e.levels[sizeLevel].credibility(samples), Key: e.levels[keyLevel].credibility(samples),
		Speed: e.servers.credibility(samples)}
}

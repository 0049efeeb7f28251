// Package cost estimates the work of requests from the latencies of earlier ones, apart
// from the speeds of the servers that ran them.
//
// Work is the service time in seconds at a server of usual speed. Its logarithm is the sum
// of the service's mean and of the deviations of the request's route, of its route, method
// and body size, and of its key. Each deviation is shrunk by credibility (Bühlmann, "Experience
// rating and credibility", 1967): it counts n/(n+k) with n samples, where k is the variance
// within the cells of a level relative to that between them. A feature that predicts
// nothing gets a large k and no influence. The speed of a server is one more deviation.
//
// The package does no I/O. Points in time are passed in, as durations since an arbitrary
// origin on one monotonic clock. Nothing in it is safe for concurrent use.
package cost

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tableCells is the number of cells for the deviations of one service: 64 KiB.
	tableCells = 4096
	// sampleLifetime is the time after which the samples before count half, if none follow.
	sampleLifetime = 2 * time.Minute
	// serverSampleLifetime replaces sampleLifetime for the speeds of servers, which change
	// with the other work on their machines. It also bounds the time for which a server that
	// looked slow by chance gets few requests and so no better estimate.
	serverSampleLifetime = time.Minute
	// displacedWeight is taken from the weight of a cell by each sample of another key with
	// the same cell. The cell passes on when nothing is left.
	displacedWeight = 0.5
	// maxDeviation bounds the deviation of one sample from its estimate, as a logarithm, so
	// that the few requests that take many times as long don't dominate small cells.
	maxDeviation = 1.5
	// maxMeanFactorRatio bounds the ratio of a sample to its estimate in Estimator.meanFactor.
	maxMeanFactorRatio = 10
	// leastWork is the least work of a sample in seconds; logarithms need a positive one.
	leastWork = 1e-4
	// levelMemory is the number of samples over which variances are averaged.
	levelMemory = 500
	// meanFactorMemory is the number of samples over which Estimator.meanFactor is averaged.
	meanFactorMemory = 200
)

// Features are what is known of a request before it is sent.
type Features struct {
	Route, Method string
	BodyBytes     int
	Key           string // the most particular feature: the path
}

// Levels of a Class, from the general to the particular.
const (
	routeLevel = iota
	sizeLevel
	keyLevel
	levelCount
)

// Class names the cells whose samples tell the work of a request. The zero Class is that of
// a request without features.
type Class struct {
	cells [levelCount]uint64
	known bool
}

// Classify returns the class of a request.
func Classify(f Features) Class {
	route := xxhash.Sum64String(f.Route)
	size := mix(mix(route, xxhash.Sum64String(f.Method)), uint64(bits.Len(uint(max(0, f.BodyBytes))))+1)
	return Class{cells: [levelCount]uint64{mix(route, 1), size, mix(route, xxhash.Sum64String(f.Key)|1)}, known: true}
}

// mix combines two hashes (a multiply-and-rotate step of xxHash).
func mix(a, b uint64) uint64 {
	const prime = 0x9E3779B185EBCA87
	return bits.RotateLeft64(a^b*prime, 31) * prime
}

// cell holds the mean of the samples of a deviation.
type cell struct {
	tag          uint32 // of the key that the cell belongs to
	updatedAt    uint32 // milliseconds, wraps around
	mean, weight float32
}

func toMillis(now time.Duration) uint32 { return uint32(now / time.Millisecond) }

// weightAt returns the number of samples after decay. It falls hyperbolically: a cell without
// newer samples keeps more than by an exponential, which also takes longer to compute.
func (c *cell) weightAt(now, lifetime time.Duration) float64 {
	if c.weight == 0 {
		return 0
	}
	age := toMillis(now) - c.updatedAt
	if age == 0 {
		return float64(c.weight)
	}
	return float64(c.weight) / (1 + float64(age)/float64(lifetime/time.Millisecond))
}

func (c *cell) add(now, lifetime time.Duration, sample float64) {
	weight := c.weightAt(now, lifetime) + 1
	c.mean += float32((sample - float64(c.mean)) / weight)
	c.weight, c.updatedAt = float32(weight), toMillis(now)
}

// level estimates how much the cells of one level tell.
type level struct {
	samples float64
	// square is the mean square of the deviations. between is the mean product of a deviation
	// with the mean of the earlier ones of its cell: as their errors are independent, it
	// estimates the variance between cells. productSquare is the mean square of the product.
	square, between, productSquare float64
	// evidence is the number of standard errors by which between has to differ from 0.
	evidence float64
	// usable is the part of between that counts, 0 or more.
	usable float64
}

// Parameters of levels before any samples. Routes and servers are expected to differ: a
// factor of 2.5 between the fastest and the slowest server is a variance of about 0.07. Sizes
// and keys count only on evidence, because there are many cells for few samples.
const (
	priorSamples  = 20
	priorSquare   = 0.3
	priorBetween  = 0.05
	levelEvidence = 2
)

func expectedLevel() level {
	return level{samples: priorSamples, square: priorSquare, between: priorBetween, usable: priorBetween}
}

func unprovenLevel() level {
	return level{samples: priorSamples, square: priorSquare, evidence: levelEvidence}
}

// record adds a deviation of a cell whose mean was mean.
func (l *level) record(deviation, mean float64) {
	l.samples = min(l.samples+1, levelMemory)
	gain, product := 1/l.samples, deviation*mean
	l.square += gain * (deviation*deviation - l.square)
	l.between += gain * (product - l.between)
	l.productSquare += gain * (product*product - l.productSquare)
	standardError := math.Sqrt(max(0, l.productSquare-l.between*l.between) / l.samples)
	l.usable = max(0, l.between-l.evidence*standardError)
}

// credibility returns the part of a cell's mean that counts with the given number of samples.
func (l *level) credibility(weight float64) float64 {
	if l.usable == 0 || weight <= 0 {
		return 0
	}
	return weight * l.usable / (weight*l.usable + max(0, l.square-l.usable))
}

// Estimator learns the work of the requests of one service.
type Estimator struct {
	service cell // logarithm of the work
	levels  [levelCount]level
	table   []cell
	servers level
	rate    usualRate // of all servers
	// meanFactor is the mean ratio of work to its estimate. Logarithms estimate the median,
	// which is below the mean because some requests take many times as long.
	meanFactor  float64
	meanSamples float64
	errors      errorSummary
}

// NewEstimator returns an estimator for a service whose requests are assumed to take
// initial until there are samples.
func NewEstimator(now, initial time.Duration) *Estimator {
	e := &Estimator{table: make([]cell, tableCells), servers: expectedLevel(), meanFactor: 1, meanSamples: priorSamples}
	e.levels = [levelCount]level{routeLevel: expectedLevel(), sizeLevel: unprovenLevel(), keyLevel: unprovenLevel()}
	e.service = cell{mean: float32(math.Log(max(leastWork, initial.Seconds()))), weight: 1, updatedAt: toMillis(now)}
	return e
}

// find returns the cell of a hash and its tag.
func (e *Estimator) find(hash uint64) (*cell, uint32) {
	return &e.table[hash%tableCells], uint32(hash >> 32)
}

// deviationOf returns the shrunk deviation of a level, and the mean and weight of the cell.
func (e *Estimator) deviationOf(now time.Duration, i int, hash uint64) (shrunk, mean, weight float64) {
	c, tag := e.find(hash)
	if c.tag != tag || c.weight == 0 {
		return 0, 0, 0
	}
	mean, weight = float64(c.mean), c.weightAt(now, sampleLifetime)
	return e.levels[i].credibility(weight) * mean, mean, weight
}

// Work returns the expected work of a request, in seconds.
func (e *Estimator) Work(now time.Duration, c Class) float64 {
	logarithm := float64(e.service.mean)
	if c.known {
		for i, hash := range c.cells {
			shrunk, _, _ := e.deviationOf(now, i, hash)
			logarithm += shrunk
		}
	}
	return math.Exp(logarithm) * e.meanFactor
}

// MeanWork returns the expected work of a request of which nothing is known, in seconds.
func (e *Estimator) MeanWork() float64 {
	return math.Exp(float64(e.service.mean)) * e.meanFactor
}

// Sample is a response from which the work of a request is learned.
type Sample struct {
	Class   Class
	Latency time.Duration // without time in a queue
	Start   Rate          // of the server, as expected when the request was sent
	// Cut says that the attempt was given up: the request would have taken longer. It tells of
	// the server only, as many requests may end like that at one that hangs.
	Cut bool
}

// Record learns from a response. The server's rate has to be up to date.
func (e *Estimator) Record(now time.Duration, s *Server, sample Sample) {
	work := max(leastWork, e.progress(s, sample.Start, sample.Latency.Seconds()))
	actual := math.Log(work)
	logarithm := float64(e.service.mean)
	var shrunk, means, weights [levelCount]float64
	for i, hash := range sample.Class.cells {
		if sample.Class.known {
			shrunk[i], means[i], weights[i] = e.deviationOf(now, i, hash)
			logarithm += shrunk[i]
		}
	}
	speed := e.speedDeviation(now, s)
	typical := logarithm + speed
	if sample.Cut && actual <= typical {
		return // says nothing: the estimate is longer
	}
	bounded := typical + min(max(actual-typical, -maxDeviation), maxDeviation)
	if sample.Cut {
		s.speed.add(now, serverSampleLifetime, bounded-logarithm)
		return
	}
	e.errors.record(actual-typical-math.Log(e.meanFactor), work)
	e.meanSamples = min(e.meanSamples+1, meanFactorMemory)
	e.meanFactor += (min(math.Exp(actual-typical), maxMeanFactorRatio) - e.meanFactor) / e.meanSamples

	// Each deviation is learned as what its superior levels and the speed leave.
	rest := bounded - speed
	e.service.add(now, sampleLifetime, rest)
	rest -= float64(e.service.mean)
	for i, hash := range sample.Class.cells {
		if !sample.Class.known {
			break
		}
		if weights[i] > 0 {
			e.levels[i].record(rest, means[i])
		}
		e.addToTable(now, hash, rest)
		rest -= shrunk[i]
	}
	deviation := bounded - logarithm
	if weight := s.speed.weightAt(now, serverSampleLifetime); weight > 0 {
		e.servers.record(deviation, float64(s.speed.mean))
	}
	s.speed.add(now, serverSampleLifetime, deviation)
}

// addToTable adds a deviation to the cell of a hash. A cell that belongs to another key
// loses weight, so that keys without requests make room.
func (e *Estimator) addToTable(now time.Duration, hash uint64, deviation float64) {
	c, tag := e.find(hash)
	if c.tag != tag && c.weight > 0 {
		left := c.weightAt(now, sampleLifetime) - displacedWeight
		if left > 0 {
			c.weight, c.updatedAt = float32(left), toMillis(now)
			return
		}
		*c = cell{}
	}
	c.tag = tag
	c.add(now, sampleLifetime, deviation)
}

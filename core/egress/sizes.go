package egress

import "math"

// Parameters of the estimates of response sizes.
const (
	// InitialSize is assumed for a route without samples, in bytes.
	InitialSize = 64 << 10
	// minClassBytes is the upper bound of the smallest size class. Each further class is
	// larger by 2^(1/classesPerOctave), so that a quantile is wrong by 19% at most.
	minClassBytes    = 1 << 10
	classesPerOctave = 4
	// sizeClasses cover sizes of up to 16 MiB, the limit of a response.
	sizeClasses = 14*classesPerOctave + 1
	// highQuantile is the share of the responses of a route that are not larger than
	// Sizes.high.
	highQuantile = 0.95
	// maxSamples is the weight of all samples from which they are halved. So the estimate
	// follows a change of the sizes within a few hundred responses.
	maxSamples = 128
	// maxRoutes bounds the routes with samples of their own.
	maxRoutes = 1024
)

// sizes estimates the sizes of the responses of one route.
type sizes struct {
	counts [sizeClasses]float64
	count  float64
	sum    float64 // in bytes
}

func sizeClass(bytes int64) int {
	if bytes <= minClassBytes {
		return 0
	}
	return min(sizeClasses-1, int(math.Ceil(classesPerOctave*math.Log2(float64(bytes)/minClassBytes))))
}

func (s *sizes) add(bytes int64) {
	s.counts[sizeClass(bytes)]++
	s.count++
	s.sum += float64(bytes)
	if s.count < maxSamples {
		return
	}
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.count, s.sum = s.count/2, s.sum/2
}

// mean returns the decaying mean in bytes.
func (s *sizes) mean() float64 { return s.sum / s.count }

// high returns the upper bound of the class in which highQuantile lies, in bytes.
func (s *sizes) high() float64 {
	below := 0.0
	for i, n := range s.counts {
		if below += n; below >= highQuantile*s.count {
			return minClassBytes * math.Pow(2, float64(i)/classesPerOctave)
		}
	}
	return s.mean()
}

// Expected is the expected size of a response in bytes.
type Expected struct{ Mean, High float64 }

// expected returns the expected size of the next response of a route. Without samples of the
// route it is that of all routes.
func (l *Link) expected(route string) Expected {
	for _, s := range []*sizes{l.routes[route], &l.all} {
		if s != nil && s.count > 0 {
			return Expected{Mean: s.mean(), High: s.high()}
		}
	}
	return Expected{Mean: InitialSize, High: InitialSize}
}

// learn adds the size of a response of a route. Routes come and go with configurations; if
// there are too many, the samples of all are dropped but their sum.
func (l *Link) learn(route string, bytes int64) {
	l.all.add(bytes)
	s := l.routes[route]
	if s == nil {
		if len(l.routes) >= maxRoutes {
			clear(l.routes)
		}
		s = &sizes{}
		l.routes[route] = s
	}
	s.add(bytes)
}

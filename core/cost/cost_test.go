package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learn feeds the estimator n requests of one server each, whose true work and speed are
// known, with a lognormal spread. It returns the time after them.
func learn(e *Estimator, servers []Server, n int, work func(i int) (Class, float64), seconds func(server int) float64) time.Duration {
	random, now := rand.New(rand.NewPCG(3, 3)), time.Duration(0)
	for i := range n {
		now += 100 * time.Millisecond
		c, w := work(i)
		server := random.IntN(len(servers))
		latency := w * seconds(server) * math.Exp(0.5*random.NormFloat64())
		if random.Float64() < 0.02 {
			latency *= 5
		}
		e.Record(now, &servers[server], Sample{Class: c, Latency: time.Duration(latency * 1e9)})
	}
	return now
}

// Guards against estimates that follow a feature which predicts nothing, and against those
// that ignore one that does: with one cell for each of 40 keys and ten samples a key, noise
// looks like a difference.
func TestOnlyPredictiveFeaturesCount(t *testing.T) {
	for _, predictive := range []bool{false, true} {
		e := NewEstimator(0, 200*time.Millisecond)
		classOf := func(i int) Class { return Classify(Features{Route: "r", Key: fmt.Sprint(i % 40)}) }
		workOf := func(i int) float64 { return map[bool]float64{false: 0.15, true: 0.05}[predictive && i%40 < 20] }
		now := learn(e, make([]Server, 14), 400, func(i int) (Class, float64) { return classOf(i), workOf(i) }, func(int) float64 { return 1 })
		worst := 0.0
		for i := range 40 {
			worst = max(worst, math.Abs(math.Log(e.Work(now, classOf(i))/(workOf(i)*1.2)))) // 1.2: mean over median
		}
		t.Logf("predictive %t: largest error %.2f", predictive, math.Exp(worst))
		require.Less(t, worst, math.Log(1.7))
		require.Equal(t, predictive, e.TakeSummary().Key > 0.2)
	}
}

// Guards against speeds that are taken for costs when fast servers get other requests than
// slow ones, and against costs that are taken for speeds.
func TestSpeedsAreLearnedApartFromCosts(t *testing.T) {
	e, servers := NewEstimator(0, 200*time.Millisecond), make([]Server, 8)
	light, heavy := Classify(Features{Route: "light"}), Classify(Features{Route: "heavy"})
	classes, works := []Class{light, heavy}, []float64{0.05, 0.4}
	now := learn(e, servers, 800, func(i int) (Class, float64) { return classes[i%2], works[i%2] }, func(server int) float64 { return []float64{1.6, 0.6}[server%2] })
	require.InEpsilon(t, 8, e.Work(now, heavy)/e.Work(now, light), 0.25)
	slow, fast := e.SpeedAt(now, &servers[0]).Seconds(1), e.SpeedAt(now, &servers[1]).Seconds(1)
	require.InEpsilon(t, 1.6/0.6, slow/fast, 0.25)
}

// Guards against a slow spell of a machine that is remembered as the speed of the server, or
// expected to last: the estimate rises at once and returns within a second.
func TestSlowdownHoldsForAMoment(t *testing.T) {
	e, s := NewEstimator(0, 200*time.Millisecond), Server{}
	for range 50 {
		e.ReportSlowdown(0, &s, 100)
	}
	usual := e.SpeedAt(0, &s).Seconds(0.02)
	e.ReportSlowdown(time.Second, &s, 300)
	require.Greater(t, e.SpeedAt(time.Second, &s).Seconds(0.02), 2.2*usual)
	require.Less(t, e.SpeedAt(time.Second, &s).Seconds(0.5), 1.5*e.SpeedAt(0, &s).Seconds(0.5), "most of the work is done after the spell")
	require.InEpsilon(t, usual, e.SpeedAt(2*time.Second, &s).Seconds(0.02), 0.1)
	e.Record(time.Second, &s, Sample{Latency: 600 * time.Millisecond, Start: 1.0 / 3})
	require.Less(t, e.MeanWork(), 0.45, "600 ms of a slow machine")
}

// Guards against an estimate that is not a number: without a report of a slowdown, no work took
// 0/0 seconds.
func TestNoWorkTakesNoTime(t *testing.T) {
	e, s := NewEstimator(0, 200*time.Millisecond), Server{}
	require.Zero(t, e.SpeedAt(0, &s).Seconds(0))
	e.ReportSlowdown(0, &s, 300)
	require.Zero(t, e.SpeedAt(0, &s).Seconds(0))
	require.Zero(t, e.SpeedAt(time.Minute, &s).Seconds(0))
}

// Guards against memory that grows with the keys, and against keys that are never requested
// again and keep the cells of others.
func TestMillionsOfKeysUseAFixedTable(t *testing.T) {
	e, s, now := NewEstimator(0, 200*time.Millisecond), Server{}, time.Duration(0)
	for i := range 200000 {
		now += time.Millisecond
		e.Record(now, &s, Sample{Class: Classify(Features{Route: "r", Key: fmt.Sprint(i)}), Latency: 100 * time.Millisecond})
	}
	require.Len(t, e.table, tableCells)
	used := Classify(Features{Route: "r", Key: "used"})
	for range 20 {
		e.Record(now, &s, Sample{Class: used, Latency: 300 * time.Millisecond})
	}
	_, mean, _ := e.deviationOf(now, keyLevel, used.cells[keyLevel])
	require.Greater(t, mean, 0.5)
}

func BenchmarkRequest(b *testing.B) {
	e, servers := NewEstimator(0, 200*time.Millisecond), make([]Server, 14)
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = fmt.Sprint("/things/", i)
	}
	for i := range servers {
		e.ReportSlowdown(0, &servers[i], 100)
		e.Record(0, &servers[i], Sample{Latency: 100 * time.Millisecond})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := time.Duration(i) * 10 * time.Millisecond
		c := Classify(Features{Route: "route", Method: "POST", BodyBytes: 700, Key: keys[i%1000]})
		work := e.Work(now, c)
		s := &servers[i%14]
		for j := range servers {
			work += e.SpeedAt(now, &servers[j]).Seconds(0.1)
		}
		e.ReportSlowdown(now, s, 100+200*(i%5/4))
		e.Record(now, s, Sample{Class: c, Latency: time.Duration(work * 1e9 / 15)})
	}
}

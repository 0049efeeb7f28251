package ownership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// benchHarness holds one daemon of a zone of n hosts with two servers each and 44
// slices per server. Witnesses and servers answer at once.
type benchHarness struct {
	machine       *Machine
	now           time.Duration
	hostCount     int
	servers       map[string]*fakeServer
	pollAges      map[string]time.Duration
	loads         []ServerLoad
	idCount       int
	newestOffset  uint64 // of the log
	appendsByKind map[record.Kind]int
}

func newBenchDaemon(b *testing.B, n int) *benchHarness {
	c := &benchHarness{hostCount: n, servers: map[string]*fakeServer{}, appendsByKind: map[record.Kind]int{}, pollAges: map[string]time.Duration{}, now: time.Second}
	host := func(i int) string { return fmt.Sprintf("host-%05d", i) }
	server := func(i int) string { return fmt.Sprintf("check-%05d", i) }
	c.machine = New(Config{Host: host(0), Incarnation: host(0), Zone: "z", PeerURL: "http://h", WallClockMS: func() int64 { return 0 }, NewID: func() string { c.idCount++; return fmt.Sprint("id-", c.idCount) }})
	var log []record.LogEntry
	add := func(body record.Body) {
		log = append(log, record.LogEntry{Offset: uint64(len(log) + 1), Record: record.Record{ID: fmt.Sprint(len(log)), Body: body}})
	}
	put := func(name string, spec resource.Spec) {
		add(record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ChangeID: name})
	}
	put("normal", &resource.Rank{})
	put("svc", &resource.Service{Scope: resource.ScopeZone, Slices: min(88*n, resource.MaxSlices), Ranks: []string{"normal"}, DefaultRank: "normal"})
	for i := range n {
		c.pollAges[host(i)] = 0
		add(record.HostJoined{Host: host(i), Incarnation: host(i), Zone: "z", PeerURL: "http://" + host(i)})
	}
	for i := range 2 * n {
		c.servers[server(i)] = newFakeServer(server(i), server(i)+"-i")
		c.loads = append(c.loads, ServerLoad{Server: server(i), BusySlots: 1, RequestsPerSecond: 1000})
		put(server(i), &resource.Server{Service: "svc", Zone: "z", Address: "http://10.0.0.1:80", Slots: 2, Connections: 4, ChecksGrants: true})
		add(record.HomeAssigned{Server: server(i), HomeIncarnation: host(i / 2)})
	}
	placed := record.SlicesPlaced{Service: "svc"}
	for i, r := range keyspace.EqualRanges(88 * n) {
		placed.Slices = append(placed.Slices, record.SlicePlacement{Range: r, Server: server(i % (2 * n))})
	}
	add(placed)
	c.newestOffset = uint64(len(log))
	c.step(RecordsRead{Records: log, OldestOffset: 1})
	if got := c.machine.state.SliceTable("svc").Len(); got != 88*n {
		b.Fatal("slices", got)
	}
	return c
}

// step passes an input to the machine and replies to its effects.
func (c *benchHarness) step(in Input) {
	queue := []Input{in}
	for len(queue) > 0 {
		effects := c.machine.Step(c.now, queue[0])
		queue = queue[1:]
		for _, e := range effects {
			switch e := e.(type) {
			case SendPoll:
				queue = append(queue, PollResponse{Witness: e.Witness, SentAt: c.now, AppliedOffset: c.machine.View().AppliedOffset, LastPollAge: c.pollAges, Loads: c.loads})
			case SendGrant:
				queue = append(queue, c.servers[e.Server].grant(c.now, e))
			case AppendRecord:
				c.appendsByKind[e.Record.Body.Kind()]++
				c.newestOffset++
				queue = append(queue, RecordsRead{Records: []record.LogEntry{{Offset: c.newestOffset, Record: e.Record}}, OldestOffset: 1})
			}
		}
	}
}

func (c *benchHarness) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += TickInterval
		c.step(Tick{})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSecond measures the machine of one daemon for a second of its time: 20
// ticks, the polls of its witnesses and the grant renewals of its two servers,
// without I/O.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 32, 320, 1800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			c := newBenchDaemon(b, n)
			c.run(8 * time.Second)
			heap := heapBytes() - before
			until, ok := c.machine.prefixLease(c.machine.ownZoneScope())
			if !ok || len(c.machine.localHomes) != 2 {
				b.Fatal("not serving", until, len(c.machine.localHomes))
			}
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(heap/float64(n), "B/host")
			parts, _ := state.EncodeCheckpoint(c.machine.state)
			size := 0
			for _, p := range parts {
				size += len(p)
			}
			b.ReportMetric(float64(size)/float64(n), "checkpoint-B/host")
		})
	}
}

// BenchmarkLoss stops other hosts of a zone of 32 for 6 s of the daemon's time, in
// which only this daemon proposes, and reports the number of takeover records by
// kind. 0 is the zone without failures.
func BenchmarkLoss(b *testing.B) {
	for _, failed := range []int{0, 1, 4, 14} {
		b.Run(fmt.Sprint(failed), func(b *testing.B) {
			records := map[record.Kind]int{}
			for range b.N {
				b.StopTimer()
				c := newBenchDaemon(b, 32)
				c.run(8 * time.Second)
				witnesses := c.machine.state.WitnessSetOf(c.machine.ownZoneScope()).Current
				for i, left := 1, failed; left > 0; i++ {
					name := fmt.Sprintf("host-%05d", i)
					if slices.Contains(witnesses, name) {
						continue // the witnesses keep responding, so the daemon keeps its lease
					}
					delete(c.pollAges, name)
					left--
				}
				clear(c.appendsByKind)
				b.StartTimer()
				c.run(6 * time.Second)
				for kind, count := range c.appendsByKind {
					records[kind] += count
				}
			}
			for kind, count := range records {
				b.ReportMetric(float64(count)/float64(b.N), string(kind))
			}
		})
	}
}

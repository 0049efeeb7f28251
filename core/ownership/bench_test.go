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

// benchCell holds one daemon of a zone of n hosts with two servers each and 44
// slices per server. Witnesses and servers answer at once.
type benchCell struct {
	m       *Machine
	now     time.Duration
	hosts   int
	servers map[string]*fakeServer
	heard   map[string]time.Duration
	loads   []ServerLoad
	ids     int
	head    uint64 // newest offset of the log
	appends map[record.Kind]int
}

func newBenchCell(b *testing.B, n int) *benchCell {
	c := &benchCell{hosts: n, servers: map[string]*fakeServer{}, appends: map[record.Kind]int{}, heard: map[string]time.Duration{}, now: time.Second}
	host := func(i int) string { return fmt.Sprintf("host-%05d", i) }
	server := func(i int) string { return fmt.Sprintf("check-%05d", i) }
	c.m = New(Config{Host: host(0), Incarnation: host(0), Zone: "z", PeerURL: "http://h", WallClockMS: func() int64 { return 0 }, NewID: func() string { c.ids++; return fmt.Sprint("id-", c.ids) }})
	var log []record.Positioned
	add := func(body record.Body) {
		log = append(log, record.Positioned{Offset: uint64(len(log) + 1), Record: record.Record{ID: fmt.Sprint(len(log)), Body: body}})
	}
	put := func(name string, spec resource.Spec) {
		add(record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ChangeID: name})
	}
	put("normal", &resource.Rank{})
	put("svc", &resource.Service{Scope: resource.ScopeZone, Slices: min(88*n, resource.MaxSlices), Ranks: []string{"normal"}, DefaultRank: "normal"})
	for i := range n {
		c.heard[host(i)] = 0
		add(record.HostJoined{Host: host(i), Incarnation: host(i), Zone: "z", PeerURL: "http://" + host(i)})
	}
	for i := range 2 * n {
		c.servers[server(i)] = newFakeServer(server(i), server(i)+"-i")
		c.loads = append(c.loads, ServerLoad{Server: server(i), BusySlots: 1, RequestsPerSecond: 1000})
		put(server(i), &resource.Server{Service: "svc", Zone: "z", Address: "http://10.0.0.1:80", Slots: 2, Connections: 4, ChecksGrants: true})
		add(record.HomeAssigned{Server: server(i), Home: host(i / 2)})
	}
	placed := record.SlicesPlaced{Service: "svc"}
	for i, r := range keyspace.Divide(88 * n) {
		placed.Slices = append(placed.Slices, record.Placement{Range: r, Server: server(i % (2 * n))})
	}
	add(placed)
	c.head = uint64(len(log))
	c.step(RecordsRead{Records: log, OldestOffset: 1})
	if got := c.m.st.Table("svc").Len(); got != 88*n {
		b.Fatal("slices", got)
	}
	return c
}

// step gives an input to the machine and answers the effects.
func (c *benchCell) step(in Input) {
	queue := []Input{in}
	for len(queue) > 0 {
		effects := c.m.Step(c.now, queue[0])
		queue = queue[1:]
		for _, e := range effects {
			switch e := e.(type) {
			case SendPoll:
				queue = append(queue, PollResponse{Witness: e.Witness, SentAt: c.now, AppliedOffset: c.m.View().AppliedOffset, LastPollAge: c.heard, Loads: c.loads})
			case SendGrant:
				queue = append(queue, c.servers[e.Server].grant(c.now, e))
			case AppendRecord:
				c.appends[e.Record.Body.Kind()]++
				c.head++
				queue = append(queue, RecordsRead{Records: []record.Positioned{{Offset: c.head, Record: e.Record}}, OldestOffset: 1})
			}
		}
	}
}

func (c *benchCell) run(d time.Duration) {
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

// BenchmarkSecond runs the control of one daemon for a second: 20 ticks, the
// polls of its witnesses and the renewals of its two servers, without I/O.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 32, 320, 1800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			c := newBenchCell(b, n)
			c.run(8 * time.Second)
			heap := heapBytes() - before
			until, ok := c.m.leased(c.m.zoneScope())
			if !ok || len(c.m.local) != 2 {
				b.Fatal("not serving", until, len(c.m.local))
			}
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(heap/float64(n), "B/host")
			parts, _ := state.EncodeCheckpoint(c.m.st)
			size := 0
			for _, p := range parts {
				size += len(p)
			}
			b.ReportMetric(float64(size)/float64(n), "checkpoint-B/host")
		})
	}
}

// BenchmarkLoss silences other hosts of a cell of 32 for 6 s of process time in
// which this daemon alone proposes, and reports the records of the takeover. 0 is
// the undisturbed cell.
func BenchmarkLoss(b *testing.B) {
	for _, failed := range []int{0, 1, 4, 14} {
		b.Run(fmt.Sprint(failed), func(b *testing.B) {
			records := map[record.Kind]int{}
			for range b.N {
				b.StopTimer()
				c := newBenchCell(b, 32)
				c.run(8 * time.Second)
				witnesses := c.m.st.Witnesses(c.m.zoneScope()).Current
				for i, left := 1, failed; left > 0; i++ {
					name := fmt.Sprintf("host-%05d", i)
					if slices.Contains(witnesses, name) {
						continue // the benchmark keeps the majority, which answers
					}
					delete(c.heard, name)
					left--
				}
				clear(c.appends)
				b.StartTimer()
				c.run(6 * time.Second)
				for kind, count := range c.appends {
					records[kind] += count
				}
			}
			for kind, count := range records {
				b.ReportMetric(float64(count)/float64(b.N), string(kind))
			}
		})
	}
}

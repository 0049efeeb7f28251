package state

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"parsleyrelay.example/core/record"
)

// benchSizes are the numbers of slices in benchmarks. The design target
// is 1.4 million.
var benchSizes = []int{14_000, 140_000, 1_400_000}

const benchServers = 25

func BenchmarkLookup(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newStateWithSlices(b, n, benchServers).SliceTable("svc")
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if table.Lookup(rng.Uint64()) == nil {
					b.Fatal("Lookup found no slice")
				}
			}
		})
	}
}

// randomMoves returns records that move one random slice each. They take effect when they
// are applied in order.
func randomMoves(s *State, n int) []record.LogEntry {
	rng := rand.New(rand.NewPCG(3, 4))
	lastMoves := map[uint64]record.SliceMove{}
	list := make([]record.LogEntry, n)
	for i := range list {
		slice := s.SliceTable("svc").Lookup(rng.Uint64())
		m, ok := lastMoves[slice.Range.First]
		if !ok {
			m = record.SliceMove{Range: slice.Range, Generation: slice.Generation, To: slice.Server}
		}
		offset := s.AppliedOffset() + 1 + uint64(i)
		m.From, m.To = m.To, serverName(rng.IntN(benchServers))
		list[i] = record.LogEntry{Offset: offset, Record: record.Record{Body: record.SlicesMoved{Service: "svc", Moves: []record.SliceMove{m}}}}
		m.Generation = offset
		lastMoves[slice.Range.First] = m
	}
	return list
}

// BenchmarkApply applies records that move one slice each. Each batch ends with a snapshot
// of the table, since a daemon takes one per read of the log.
func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		for _, batch := range []int{1, 256, 1 << 20} {
			b.Run(fmt.Sprintf("%d/batch%d", n, batch), func(b *testing.B) {
				s := newStateWithSlices(b, n, benchServers)
				moves := randomMoves(s, b.N)
				b.ReportAllocs()
				b.ResetTimer()
				for i, entry := range moves {
					if out, err := s.Apply(entry); err != nil || !out.TookEffect {
						b.Fatal(out.Reason, err)
					}
					if i%batch == 0 {
						s.SliceTable("svc").Lookup(0)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
			})
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap that a state holds per slice.
func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := newStateWithSlices(b, n, benchServers)
				b.ReportMetric((heapBytes()-before)/float64(n), "B/slice")
				runtime.KeepAlive(s)
			}
		})
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range benchSizes {
		s := newStateWithSlices(b, n, benchServers)
		for _, entry := range randomMoves(s, n/2) {
			_, _ = s.Apply(entry)
		}
		parts, digest := EncodeCheckpoint(s)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for b.Loop() {
				parts, digest = EncodeCheckpoint(s)
			}
			size := 0
			for _, p := range parts {
				size += len(p)
			}
			b.ReportMetric(float64(size)/float64(n), "B/slice")
			b.ReportMetric(b.Elapsed().Seconds()*1e9/float64(b.N)/float64(n), "ns/slice")
		})
		b.Run(fmt.Sprintf("restore/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeCheckpoint(parts, digest); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e9/float64(b.N)/float64(n), "ns/slice")
		})
	}
}

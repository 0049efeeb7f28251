package record

import (
	"fmt"
	"testing"

	"parsleyrelay.example/core/keyspace"
)

// BenchmarkCodec encodes and decodes slices_moved records of 1 to 256 moves.
func BenchmarkCodec(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		moves := make([]SliceMove, n)
		for i, r := range keyspace.EqualRanges(n) {
			moves[i] = SliceMove{Range: r, Generation: 1_000_000, From: "server-12345", To: "server-23456", FromTerm: 999_999}
		}
		r := Record{ID: "0190b6f0-0000-7000-8000-000000000000", Proposer: "0190b6f0-0000-7000-8000-000000000001", WallTimeMS: 1, Body: SlicesMoved{Service: "orders", Moves: moves}}
		data, err := Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("marshal/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = Marshal(r)
			}
			b.ReportMetric(float64(len(data)), "B/record")
		})
		b.Run(fmt.Sprintf("unmarshal/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Unmarshal(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

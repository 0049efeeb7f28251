package placement

import (
	"fmt"
	"slices"
	"testing"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/state"
)

// BenchmarkTakeover measures choosing new homes for the servers of failed hosts: one, 40,
// and a ninth of all hosts. Hosts are grouped into cells of 32 hosts with 2 servers per
// host; for each server, the surviving hosts of its cell are ordered. The total number of
// hosts therefore matters only for the ninth.
func BenchmarkTakeover(b *testing.B) {
	for _, total := range []int{360, 3600, 16000} {
		for _, failed := range []int{1, 40, total / 9} {
			b.Run(fmt.Sprintf("hosts%d/failed%d", total, failed), func(b *testing.B) {
				cell := membersInZones(slices.Repeat([]string{"a"}, 32)...)
				for b.Loop() {
					for i := range 2 * failed {
						HomeCandidates(fmt.Sprint("server-", i), "a", "zone:a", cell[1:])
					}
				}
				b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(b.N)/float64(failed), "µs/host")
			})
		}
	}
}

func BenchmarkEvacuate(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := make([]Server, 24)
			for i := range servers {
				servers[i] = Server{Name: fmt.Sprint("s", i), Zone: "a", Weight: 100, OwnedSlices: n}
			}
			ranges := keyspace.EqualRanges(n)
			for b.Loop() {
				EvacuateSlices("svc", "a", ranges, servers)
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e9/float64(b.N)/float64(n), "ns/slice")
		})
	}
}

// Guards against a rendezvous order that changes the homes of servers of healthy hosts when
// one of 32 hosts fails. For comparison, it logs for rendezvous order and for choosing the
// smallest address of a healthy host how many of 640 homes change, and of how many servers
// the busiest host is the home.
func TestSmallestAddressAgainstRendezvous(t *testing.T) {
	const servers = 640
	all := membersInZones(slices.Repeat([]string{"a"}, 32)...)
	smallest := func(_ string, h []state.Member) string {
		return slices.MinFunc(h, func(a, b state.Member) int { return compareURLs(a.PeerURL, b.PeerURL) }).Host
	}
	rendezvous := func(server string, h []state.Member) string { return HomeCandidates(server, "a", "zone:a", h)[0].Host }
	for name, choose := range map[string]func(string, []state.Member) string{"smallest": smallest, "rendezvous": rendezvous} {
		changes, mostChanges, busiest := 0, 0, 0
		for failed := range all {
			rest := slices.Delete(slices.Clone(all), failed, failed+1)
			changed, homesPerHost := 0, map[string]int{}
			for i := range servers {
				server := fmt.Sprint("server-", i)
				before := choose(server, all)
				homesPerHost[before]++
				after := choose(server, rest)
				if before != after {
					changed++
				}
				if name == "rendezvous" && before != after && before != all[failed].Host {
					t.Fatal("a server of a healthy host changed its home")
				}
			}
			changes += changed
			mostChanges = max(mostChanges, changed)
			for _, n := range homesPerHost {
				busiest = max(busiest, n)
			}
		}
		t.Logf("%s: homes that change when one host fails (as many when it returns): mean %.1f, most %d; busiest host %d, mean %d",
			name, float64(changes)/float64(len(all)), mostChanges, busiest, servers/len(all))
	}
}

func compareURLs(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

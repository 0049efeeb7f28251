package follow

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/relay/assigner"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// largeLeader is a leader of 490 servers with keys and 319 others, without a network. It
// implements assigner.MapStore and assigner.CallSender.
type largeLeader struct {
	source  *Source
	servers map[string]directory.Server

	mu                  sync.Mutex
	entries, bytes, got int // of the relays' requests: keys and service times, encoded size, number
}

func (l *largeLeader) AppendMap(_ context.Context, m *assignment.Map) (uint64, uint64, error) {
	_, err := m.Encode()
	time.Sleep(10 * time.Millisecond)
	return m.NextOffset, m.NextOffset + 1, err
}

func (l *largeLeader) Call(context.Context, assignment.Call, func() error, func(context.Context) error) assignment.CallResult {
	time.Sleep(3 * time.Millisecond)
	return assignment.CallResult{Status: assignment.CallSucceeded}
}

func (l *largeLeader) server(i int) string { return fmt.Sprintf("i-%010x", i) }

// publish passes a copy of the servers to the assigner and the source.
func (l *largeLeader) publish(a *assigner.Assigner) {
	all, keyed := map[string]directory.Server{}, map[string]directory.Server{}
	for id, s := range l.servers {
		all[id] = s
		if s.Service == "stock" {
			keyed[id] = s
		}
	}
	a.SetServers(map[string]map[string]directory.Server{"stock": keyed})
	l.source.SetServers(all, 1)
}

// relay polls the leader until ctx ends, with the reports of its followers: 14 requests a
// second each, a fifth of them for a few busy keys that change.
func (l *largeLeader) relay(ctx context.Context, t *testing.T, number, followers int) {
	name, random, own, reportedAt := fmt.Sprint(number%5, "/relay", number), rand.New(rand.NewPCG(uint64(number), 1)), edge.New(edge.Options{}), time.Now()
	request := &followv1.FollowRequest{Host: name, WaitMs: uint32(longPollWait.Milliseconds()), Followers: uint32(followers), Caller: &followv1.HostInfo{Incarnation: name, Zone: name[:1], ProcessorPerMille: 800}}
	for ; ctx.Err() == nil; time.Sleep(3 * time.Millisecond) {
		if requests := int(14 * time.Since(reportedAt).Seconds()); requests > 0 {
			reportedAt = time.Now()
			for range followers {
				r := edge.LoadReport{RequestedKeys: map[string][]uint16{}, ServiceTimes: map[string]edge.ServiceTime{}}
				for range requests {
					key := uint16(random.IntN(assignment.KeyCount))
					if random.IntN(5) == 0 {
						key = uint16(time.Now().Unix()/3*7919) + key%40*131
					}
					r.RequestedKeys["stock"] = append(r.RequestedKeys["stock"], key)
					r.ServiceTimes[l.server(int(key)%490)] = edge.ServiceTime{Count: 1, Sum: 400 * time.Millisecond, Reports: 1}
				}
				own.AddLoadReport(r)
			}
		}
		request.Arrivals = encodeLoadReport(own.TakeLoadReport())
		data, err := proto.Marshal(request)
		require.NoError(t, err)
		received := &followv1.FollowRequest{}
		require.NoError(t, proto.Unmarshal(data, received))
		response, err := l.source.Follow(ctx, received)
		if err != nil {
			return
		}
		_, err = proto.Marshal(response)
		require.NoError(t, err)
		l.mu.Lock()
		l.bytes += len(data)
		l.got++
		for _, a := range received.Arrivals {
			l.entries += len(a.Keys) + len(a.Times)
		}
		l.mu.Unlock()
		request.ServersSource, request.ServersRevision = response.Host, response.ServersRevision
		if response.Map != nil {
			request.MapEnd = response.Map.End
		}
	}
}

// leadLargeDeployment leads for 15 s, after 10 s of which a fifth of the keyed servers
// leave. It returns the peak of the Go memory, and the entries and bytes that the
// leader got a second.
func leadLargeDeployment(t *testing.T, hosts int) (peak uint64, entries, bytes float64) {
	debug.FreeOSMemory()
	// As platform.Host sets it.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	synctest.Test(t, func(t *testing.T) {
		l := &largeLeader{servers: map[string]directory.Server{}}
		options := testOptions("leader")
		journal := telemetry.NewJournal(io.Discard, "leader", "a")
		a := assigner.New(assigner.Options{HostIncarnation: "leader", HostOf: func(i string) string { return i }, Stripes: 256, Store: l, CallSender: l, Journal: journal, OnMap: func(m *assignment.Map) { l.source.SetMap(m) }, Now: options.Now})
		l.source = NewSource(options, a, fakeUpstream{}, nil)
		for i := range 490 + 319 {
			s := directory.Server{ID: l.server(i), Born: 1, Service: "stock", Address: fmt.Sprint("10.2.", i/200, ".", i%200, ":8080"), Zone: "a", Slots: 6}
			if i >= 490 {
				s.Service = "prices"
			}
			l.servers[s.ID] = s
		}
		l.publish(a)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = a.Run(ctx) })
		a.ObserveMap(&assignment.Map{NextOffset: 1})
		a.SetElected(true)
		for i := range 15 {
			tasks.Go(func() { l.relay(ctx, t, i, hosts/15) })
		}
		const seconds = 15
		for tick := range seconds * 50 {
			if tick == 10*50 {
				for i := 0; i < 490; i += 5 {
					s := l.servers[l.server(i)]
					s.Draining = true
					l.servers[s.ID] = s
				}
				l.publish(a)
			}
			time.Sleep(20 * time.Millisecond)
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.Sys-m.HeapReleased)
		}
		l.mu.Lock()
		entries, bytes = float64(l.entries)/seconds, float64(l.bytes)/seconds
		t.Logf("%d hosts: peak %d MB, %d calls, %.0f entries and %.0f bytes a second", hosts, peak>>20, l.got, entries, bytes)
		l.mu.Unlock()
		cancel()
		tasks.Wait()
		time.Sleep(2 * time.Second) // open calls and writes end
		journal.Close()
	})
	return peak, entries, bytes
}

// Pattern: hundreds of servers, of which a fifth leave, and reports of all hosts through
// relays. Guards against a leader that takes more than 60% of the memory of a host with
// 184 MB, and against reports whose cost for each host grows with the number of hosts.
func TestLeaderOfALargeDeployment(t *testing.T) {
	const maxPeak = 110e6
	peak, entries, bytes := leadLargeDeployment(t, 300)
	require.Less(t, peak, uint64(maxPeak))
	peak, manyEntries, manyBytes := leadLargeDeployment(t, 3000)
	require.Less(t, peak, uint64(maxPeak))
	require.LessOrEqual(t, manyEntries/3000, entries/300)
	require.LessOrEqual(t, manyBytes/3000, bytes/300)
}

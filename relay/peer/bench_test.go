package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/relay/control"
)

// stubDaemon is a LocalDaemon for the polls of the benchmark; its other calls are not used.
type stubDaemon struct {
	fakePeerService
	LocalDaemon
	applied uint64
}

func (d *stubDaemon) AppliedOffset() uint64               { return d.applied }
func (d *stubDaemon) PollReceived(ownership.PollReceived) {}
func (d *stubDaemon) Status(context.Context) *peerv1.StatusResponse {
	return &peerv1.StatusResponse{}
}
func (d *stubDaemon) Timeline(context.Context, *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	return &peerv1.TimelineResponse{}, nil
}

func testIncarnation(i int) string { return fmt.Sprintf("0190b6f0-0000-7000-8000-%012d", i) }

// newTestWitness returns a witness that was polled by hosts with two servers each and
// whose history holds records with one slice move each.
func newTestWitness(hosts, records int) *Server {
	history := control.NewRecordHistory()
	for i := range records {
		history.Add(record.LogEntry{Offset: uint64(i + 1), Record: record.Record{
			ID: testIncarnation(i), Proposer: testIncarnation(1), WallTimeMS: 1_700_000_000_000,
			Body: record.SlicesMoved{Service: "orders", Moves: []record.SliceMove{{
				Range: keyspace.EqualRanges(1024)[7], Generation: 1_000_000, From: "server-12345", To: "server-23456", FromTerm: 999_999,
			}}},
		}})
	}
	s := NewServer("witness", &stubDaemon{applied: uint64(records)}, history, func() time.Duration { return time.Second },
		event.NewHybridClock(time.Now))
	for i := range hosts {
		_, _ = s.Poll(context.Background(), &peerv1.PollRequest{Poller: testIncarnation(i), Applied: uint64(records), Loads: testLoads(i)})
	}
	return s
}

func testLoads(host int) []*peerv1.ServerLoad {
	var list []*peerv1.ServerLoad
	for i := range 2 {
		list = append(list, &peerv1.ServerLoad{Server: fmt.Sprintf("server-%05d", 2*host+i), Busy: 1.25, RequestsPerSecond: 1437.5, AgeMs: 100})
	}
	return list
}

// bodySizeRecorder records the body sizes of the last call.
type bodySizeRecorder struct {
	http.Transport
	requestBytes, responseBytes int64
}

func (c *bodySizeRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.Transport.RoundTrip(r)
	if err == nil {
		c.requestBytes, c.responseBytes = r.ContentLength, response.ContentLength
	}
	return response, err
}

// BenchmarkPoll measures witness polls over loopback for numbers of hosts that poll the
// witness and of records that a response relays. Client and witness share the process, so
// the time includes both.
func BenchmarkPoll(b *testing.B) {
	for _, size := range []struct{ hosts, records int }{{8, 0}, {32, 0}, {320, 0}, {1800, 0}, {32, 1}, {32, 16}, {32, 256}} {
		b.Run(fmt.Sprintf("hosts%d/records%d", size.hosts, size.records), func(b *testing.B) {
			witness := newTestWitness(size.hosts, size.records)
			server := httptest.NewServer(NewHandler(Service{witness, witness, witness, witness}, Options{}))
			defer server.Close()
			counter := &bodySizeRecorder{}
			transport := NewTransport(counter, Options{})
			defer transport.Close()
			client := NewClient(testIncarnation(1), transport, event.NewHybridClock(time.Now))
			poll := ownership.SendPoll{Witness: "witness", PeerURL: server.URL, Loads: decodeLoads(testLoads(1))}
			for b.Loop() {
				answer, err := client.Poll(b.Context(), poll)
				if err != nil || len(answer.Records) != size.records {
					b.Fatal(len(answer.Records), err)
				}
			}
			b.ReportMetric(float64(counter.requestBytes), "B/request")
			b.ReportMetric(float64(counter.responseBytes), "B/response")
		})
	}
}

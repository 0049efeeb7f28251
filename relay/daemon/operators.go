package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/bearer"
	"parsleyrelay.example/relay/commands"
	"parsleyrelay.example/relay/queries"
	"parsleyrelay.example/relay/telemetry"
)

// operatorRoutes returns the handler of the operator API.
func (d *Daemon) operatorRoutes() http.Handler {
	policy := bearer.Policy{Token: d.opts.OperatorToken, AllowAnonymousReads: d.opts.AnonymousRead}
	r := chi.NewRouter()
	commands.New(commands.Config{
		Proposer: d.loop, Views: d.loop.Views(), Outcomes: d.sink.outcomes, WallClock: time.Now,
	}).Mount(r, policy)
	queries.New(queries.Config{
		Views: d.loop.Views(), Peers: queryPeerClient{d}, Witnesses: witnessSetReader{d}, History: d.sink.changeHistory,
		WallClock: time.Now, Stop: d.drainStarted,
	}).Mount(r, policy)
	return r
}

func (d *Daemon) metricsRoutes() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", d.sink.metrics.Handler())
	return r
}

// queryPeerClient implements queries.PeerClient. It calls other daemons over the network
// and this one directly.
type queryPeerClient struct{ d *Daemon }

// Status implements queries.PeerClient.
func (c queryPeerClient) Status(ctx context.Context, m state.Member) (*peerv1.StatusResponse, error) {
	if m.Incarnation == c.d.incarnation {
		return c.d.status(ctx), nil
	}
	return c.d.peerClients.control.Transport().Status(ctx, m.PeerURL, &peerv1.StatusRequest{})
}

// Timeline implements queries.PeerClient.
func (c queryPeerClient) Timeline(ctx context.Context, m state.Member, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	if m.Incarnation == c.d.incarnation {
		return c.d.selectEvents(r)
	}
	return c.d.peerClients.control.Transport().Timeline(ctx, m.PeerURL, r)
}

type witnessSetReader struct{ d *Daemon }

// WitnessSets implements queries.WitnessSetReader.
func (w witnessSetReader) WitnessSets() map[string]state.WitnessSet {
	view, _ := w.d.loop.Views().Current()
	return view.Witnesses
}

func (d *Daemon) status(ctx context.Context) *peerv1.StatusResponse {
	view, _ := d.loop.Views().Current()
	s := &peerv1.StatusResponse{
		Host: d.opts.Host, Incarnation: d.incarnation, Zone: d.opts.Zone,
		Applied: view.AppliedOffset, Complete: view.StateComplete, Draining: d.draining.Load(),
		LeaseValid: d.now() < view.LeaseUntil, LogReachable: view.LogReachable,
	}
	for name, server := range view.Servers {
		if server.Local {
			s.Servers = append(s.Servers, d.serverStatus(ctx, view, name, server))
		}
	}
	return s
}

// healthProbeTimeout bounds the call to the health endpoint of a server in a status
// query.
const healthProbeTimeout = 300 * time.Millisecond

func (d *Daemon) serverStatus(ctx context.Context, view *ownership.View, name string, server ownership.ServerView) *peerv1.ServerStatus {
	s := &peerv1.ServerStatus{
		Server: name, State: string(server.State), Term: server.Term, SubTerm: server.SubTerm,
		Instance: server.Instance, SlicesServing: uint32(server.ServingSet.Len()),
		SlicesOwned: uint32(countOwnedSlices(view.Tables[server.Spec.Service], name)),
	}
	ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	s.ClaimedHealth = d.serverClients.claimedHealth(ctx, name, server.Spec.Address)
	if stats, ok := d.homes.AdmissionStats(name); ok {
		s.Running, s.Limit = uint32(stats.Running), uint32(stats.ConcurrencyLimit)
		for _, n := range stats.QueuedByRank {
			s.Queued += uint32(n)
		}
	}
	return s
}

func countOwnedSlices(table *state.SliceTable, server string) int {
	n := 0
	table.All(func(slice *state.Slice) bool {
		if slice.Server == server {
			n++
		}
		return true
	})
	return n
}

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = time.Second

// recordGauges updates the gauges periodically until ctx ends.
func (d *Daemon) recordGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.recordGaugesOnce()
		}
	}
}

func (d *Daemon) recordGaugesOnce() {
	view, _ := d.loop.Views().Current()
	d.sink.recordMetric(telemetry.MetricAppliedOffset, float64(view.AppliedOffset))
	d.sink.recordMetric(telemetry.MetricLeaseValid, boolGauge(d.now() < view.LeaseUntil))
	d.sink.recordMetric(telemetry.MetricLogReachable, boolGauge(view.LogReachable))
	homeCount := 0
	servingSlices := map[string]int{}
	for name, server := range view.Servers {
		if !server.Local {
			continue
		}
		homeCount++
		servingSlices[server.Spec.Service] += server.ServingSet.Len()
		stats, ok := d.homes.AdmissionStats(name)
		if !ok {
			continue
		}
		d.sink.recordMetric(telemetry.MetricConcurrencyLimit, float64(stats.ConcurrencyLimit), name)
		for rank, n := range stats.QueuedByRank {
			d.sink.recordMetric(telemetry.MetricQueuedRequests, float64(n), name, rank)
		}
	}
	d.sink.recordMetric(telemetry.MetricHomes, float64(homeCount))
	d.recordImbalance(view)
	d.recordTraffic()
	for service, n := range servingSlices {
		d.sink.recordMetric(telemetry.MetricSlices, float64(n), service, "serving")
	}
}

// recordImbalance records, by service, the load of the most loaded server divided by the
// mean.
func (d *Daemon) recordImbalance(view *ownership.View) {
	for service, ratio := range d.loads.imbalance(d.now(), view) {
		d.sink.recordMetric(telemetry.MetricKeyImbalance, ratio, service)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

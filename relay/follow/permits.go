package follow

import (
	"context"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/warmup"
)

// permitIdleTimeout is the time for which a connection for permits is kept. Servers are cold
// for a few seconds at a time.
const permitIdleTimeout = 10 * time.Second

// LendWarmupPermits implements followv1.Leader.
func (s *Source) LendWarmupPermits(_ context.Context, r *followv1.WarmupPermitRequest) (*followv1.WarmupPermitResponse, error) {
	if s.options.LendPermits == nil {
		return &followv1.WarmupPermitResponse{}, nil
	}
	demands := make([]warmup.Demand, len(r.Demands))
	for i, d := range r.Demands {
		demands[i] = warmup.Demand{ID: d.Server, Born: d.Born, Count: int(d.Count)}
	}
	grants, lending := s.options.LendPermits(r.Host, demands)
	response := &followv1.WarmupPermitResponse{Lending: lending}
	for _, g := range grants {
		response.Permits = append(response.Permits, &followv1.WarmupPermits{Server: g.ID, Born: g.Born, Count: uint32(g.Count),
			ValidMs: uint32(warmup.Validity.Milliseconds()), RetryAfterMs: roundUpMs(g.RetryAfter)})
	}
	return response, nil
}

// BorrowPermits asks a leading host for permits for cold servers. lending is false if it
// does not lend.
func (f *Follower) BorrowPermits(ctx context.Context, leader string, demands []warmup.Demand) (grants []warmup.Grant, lending bool, err error) {
	request := &followv1.WarmupPermitRequest{Host: f.options.Incarnation}
	for _, d := range demands {
		request.Demands = append(request.Demands, &followv1.WarmupDemand{Server: d.ID, Born: d.Born, Count: uint32(d.Count)})
	}
	r, err := followv1.NewLeaderProtobufClient("http://"+f.hostState.AddressOf(leader), f.permitHTTP).LendWarmupPermits(ctx, request)
	if err != nil || !r.Lending {
		return nil, false, err
	}
	for _, p := range r.Permits {
		g := warmup.Grant{ID: p.Server, Born: p.Born, Count: int(p.Count), RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond}
		if p.ValidMs < uint32(warmup.Validity.Milliseconds()) {
			g.Count = 0 // this host would use them for longer than the lender allows
		}
		grants = append(grants, g)
	}
	return grants, true, nil
}

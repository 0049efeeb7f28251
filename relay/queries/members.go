package queries

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/state"
)

// maxConcurrentCalls bounds the concurrent calls to members per query.
const maxConcurrentCalls = 32

// memberCaller calls all members and keeps the time of the last response of each.
type memberCaller struct {
	wallClock func() time.Time
	timeout   time.Duration

	mu            sync.Mutex
	silentSinceMS map[string]int64 // Unix ms by incarnation: last response, or first call without one
}

// memberResponse is the response of one member.
type memberResponse[T any] struct {
	member state.Member
	value  T
	err    error
}

// callMembers calls all members of a view and returns their responses and the members that
// did not respond, both in the order of host names.
func callMembers[T any](ctx context.Context, c *memberCaller, view *ownership.View, call func(context.Context, state.Member) (T, error)) ([]memberResponse[T], []operatorapi.SilentHost) {
	responses := make([]memberResponse[T], 0, len(view.Members))
	for _, member := range view.Members {
		responses = append(responses, memberResponse[T]{member: member})
	}
	slices.SortFunc(responses, func(a, b memberResponse[T]) int {
		return strings.Compare(a.member.Host+"/"+a.member.Incarnation, b.member.Host+"/"+b.member.Incarnation)
	})
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i := range responses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			responses[i].value, responses[i].err = call(ctx, responses[i].member)
		})
	}
	wg.Wait()
	return splitResponses(c, view, responses)
}

func splitResponses[T any](c *memberCaller, view *ownership.View, responses []memberResponse[T]) (responded []memberResponse[T], silent []operatorapi.SilentHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.wallClock().UnixMilli()
	for incarnation := range c.silentSinceMS {
		if _, ok := view.Members[incarnation]; !ok {
			delete(c.silentSinceMS, incarnation)
		}
	}
	for _, r := range responses {
		id := r.member.Incarnation
		if r.err == nil {
			c.silentSinceMS[id] = now
			responded = append(responded, r)
			continue
		}
		if _, ok := c.silentSinceMS[id]; !ok {
			c.silentSinceMS[id] = now
		}
		silent = append(silent, operatorapi.SilentHost{
			Host: r.member.Host, Incarnation: id, Zone: r.member.Zone, SinceMS: c.silentSinceMS[id], Problem: r.err.Error(),
		})
	}
	return responded, silent
}

// errOtherIncarnation reports that another incarnation than the member answered at the
// address of the member.
var errOtherIncarnation = errors.New("another incarnation responded at this address")

func (q *QueryHandler) statusOfMembers(ctx context.Context, view *ownership.View) ([]memberResponse[*peerv1.StatusResponse], []operatorapi.SilentHost) {
	return callMembers(ctx, &q.members, view, func(ctx context.Context, m state.Member) (*peerv1.StatusResponse, error) {
		status, err := q.cfg.Peers.Status(ctx, m)
		if err == nil && status.Incarnation != m.Incarnation {
			return nil, errOtherIncarnation
		}
		return status, err
	})
}

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

// askedAtOnce bounds the questions in flight per query.
const askedAtOnce = 32

// hostAsker asks all members and remembers when each was last heard.
type hostAsker struct {
	wall    func() time.Time
	timeout time.Duration

	mu    sync.Mutex
	heard map[string]int64 // Unix ms by incarnation: last response, or first question
}

// reply is the response of one member.
type reply[T any] struct {
	member state.Member
	value  T
	err    error
}

// ask puts a question to all members of a view, in the order of host names.
func ask[T any](ctx context.Context, h *hostAsker, view *ownership.View, question func(context.Context, state.Member) (T, error)) ([]reply[T], []operatorapi.SilentHost) {
	replies := make([]reply[T], 0, len(view.Members))
	for _, member := range view.Members {
		replies = append(replies, reply[T]{member: member})
	}
	slices.SortFunc(replies, func(a, b reply[T]) int {
		return strings.Compare(a.member.Host+"/"+a.member.Incarnation, b.member.Host+"/"+b.member.Incarnation)
	})
	var wg sync.WaitGroup
	slots := make(chan struct{}, askedAtOnce)
	for i := range replies {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, h.timeout)
			defer cancel()
			replies[i].value, replies[i].err = question(ctx, replies[i].member)
		})
	}
	wg.Wait()
	return split(h, view, replies)
}

func split[T any](h *hostAsker, view *ownership.View, replies []reply[T]) (heard []reply[T], silent []operatorapi.SilentHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.wall().UnixMilli()
	for incarnation := range h.heard {
		if _, ok := view.Members[incarnation]; !ok {
			delete(h.heard, incarnation)
		}
	}
	for _, r := range replies {
		id := r.member.Incarnation
		if r.err == nil {
			h.heard[id] = now
			heard = append(heard, r)
			continue
		}
		if _, ok := h.heard[id]; !ok {
			h.heard[id] = now
		}
		silent = append(silent, operatorapi.SilentHost{
			Host: r.member.Host, Incarnation: id, Zone: r.member.Zone, SinceMS: h.heard[id], Problem: r.err.Error(),
		})
	}
	return heard, silent
}

// errOtherIncarnation reports that the daemon at a member's address is not the member.
var errOtherIncarnation = errors.New("another incarnation responded at this address")

func (q *QueryHandler) askStatus(ctx context.Context, view *ownership.View) ([]reply[*peerv1.StatusResponse], []operatorapi.SilentHost) {
	return ask(ctx, &q.hosts, view, func(ctx context.Context, m state.Member) (*peerv1.StatusResponse, error) {
		status, err := q.cfg.Peers.Status(ctx, m)
		if err == nil && status.Incarnation != m.Incarnation {
			return nil, errOtherIncarnation
		}
		return status, err
	})
}

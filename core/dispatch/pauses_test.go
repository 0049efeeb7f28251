package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedPool is a pool with one server for each pause, in flight of none, whose decisions
// are recorded in order. Without keys all servers serve all requests; with keys server "a"
// holds all.
type pausedPool struct {
	*Pool
	list      []Server
	decisions []Decision
}

func newPausedPool(keyed bool, pauses ...time.Duration) *pausedPool {
	p := &pausedPool{}
	var holder HolderLookup
	if keyed {
		holder = func(uint16) (string, time.Duration) { return "a", 0 }
	}
	p.Pool = NewPool("h", "z", holder)
	for i, until := range pauses {
		p.list = append(p.list, Server{ID: string(rune('a' + i)), Born: 1, Zone: "z", Slots: 8, PausedUntil: until})
	}
	p.SetServers(0, p.list)
	return p
}

// pause sets the pause of a server.
func (p *pausedPool) pause(now time.Duration, server int, until time.Duration) {
	p.list[server].PausedUntil = until
	p.SetServers(now, p.list)
}

func (p *pausedPool) submit(now time.Duration, r Request) {
	r.Keyed = p.holderOf != nil
	r.Deadline = now + 10*time.Second
	p.Submit(now, r, func(d Decision) { p.decisions = append(p.decisions, d) })
}

// answer reports the end of an attempt that began a millisecond ago.
func (p *pausedPool) answer(now time.Duration, id string, o Outcome) {
	p.ReportResult(now, id, AttemptResult{Outcome: o, Rank: 1, Latency: time.Millisecond})
}

const ms = time.Millisecond

// Guards against a request that waits until its deadline for a server that wants none, or
// is refused although another server or the end of a short pause is near.
func TestRequestsDuringAPause(t *testing.T) {
	for name, c := range map[string]struct {
		keyed      bool
		pauses     []time.Duration
		exclude    []string
		wait       time.Duration
		server     string // that gets the request; none if it is refused
		at         time.Duration
		retryAfter time.Duration
	}{
		"another server is free":            {pauses: []time.Duration{time.Second, 0}, wait: 400 * ms, server: "b"},
		"all pauses are long":               {pauses: []time.Duration{3 * time.Second, 2 * time.Second}, wait: 400 * ms, retryAfter: maxRetryAfter},
		"the shortest pause decides":        {pauses: []time.Duration{3 * time.Second, 500 * ms}, wait: 400 * ms, retryAfter: 500 * ms},
		"a short pause ends in time":        {pauses: []time.Duration{3 * time.Second, 100 * ms}, wait: 400 * ms, server: "b", at: 100 * ms},
		"a server that was tried is free":   {pauses: []time.Duration{time.Second, 0}, exclude: []string{"b"}, wait: 400 * ms, retryAfter: maxRetryAfter},
		"the only server was tried":         {pauses: []time.Duration{time.Second}, exclude: []string{"a"}, wait: 400 * ms, retryAfter: maxRetryAfter},
		"the holder's pause is long":        {keyed: true, pauses: []time.Duration{time.Hour, 0}, wait: 400 * ms, retryAfter: maxRetryAfter},
		"the holder's pause takes the wait": {keyed: true, pauses: []time.Duration{300 * ms}, wait: 400 * ms, retryAfter: 300 * ms},
		"the holder's pause ends in time":   {keyed: true, pauses: []time.Duration{150 * ms}, wait: 400 * ms, server: "a", at: 150 * ms},
		"nearly over":                       {keyed: true, pauses: []time.Duration{10 * ms}, wait: 5 * ms, retryAfter: minRetryAfter},
	} {
		// The pause begins before the request, or while the request is queued.
		for _, queued := range []bool{false, true} {
			p := newPausedPool(c.keyed, make([]time.Duration, len(c.pauses))...)
			for i := range p.list {
				p.list[i].PausedUntil = c.pauses[i]
			}
			if queued {
				for _, s := range p.servers {
					s.pausedUntil = ms / 2 // so that the request is queued
				}
			} else {
				p.SetServers(0, p.list)
			}
			p.submit(0, Request{Rank: 1, MaxQueueWait: c.wait, ExcludeIDs: c.exclude})
			if queued {
				require.Empty(t, p.decisions, name)
				p.SetServers(0, p.list)
			}
			for now := time.Duration(0); now < max(c.at, 2*ms); now += ms {
				if p.Dispatch(now); c.server != "" && c.at > 0 {
					require.Empty(t, p.decisions, "%s, queued %v, at %v", name, queued, now)
				}
			}
			p.Dispatch(c.at)
			require.Len(t, p.decisions, 1, "%s, queued %v", name, queued)
			d := p.decisions[0]
			require.Equal(t, c.server, d.Server.ID, "%s, queued %v", name, queued)
			require.Equal(t, c.retryAfter, d.RetryAfter, "%s, queued %v", name, queued)
			if c.server == "" {
				require.Equal(t, ServerPaused, d.Reason, name)
			}
		}
	}
}

// Guards against a pause that ends early: by the result of an older attempt, with the entry
// of the server, by a list with an earlier end, or because the server is listed again.
func TestPauseIsNotShortened(t *testing.T) {
	const end = time.Second
	for name, event := range map[string]func(p *pausedPool){
		"success":                         func(p *pausedPool) { p.answer(10*ms, "a", OK) },
		"refusal":                         func(p *pausedPool) { p.answer(10*ms, "a", ServerFull) },
		"no connection":                   func(p *pausedPool) { p.answer(10*ms, "a", Unreachable) },
		"lost response":                   func(p *pausedPool) { p.answer(10*ms, "a", ConnectionLost) },
		"slow":                            func(p *pausedPool) { p.answer(10*ms, "a", Slow) },
		"other address":                   func(p *pausedPool) { p.answer(10*ms, "a", AddressReused) },
		"no pause":                        func(p *pausedPool) { p.answer(5*ms, "a", OK); p.pause(10*ms, 0, 0) },
		"earlier end":                     func(p *pausedPool) { p.answer(5*ms, "a", OK); p.pause(10*ms, 0, end/2) },
		"listed again":                    func(p *pausedPool) { p.SetServers(10*ms, nil); p.SetServers(20*ms, p.list) },
		"listed after its requests ended": func(p *pausedPool) { p.SetServers(10*ms, nil); p.answer(15*ms, "a", OK); p.SetServers(20*ms, p.list) },
	} {
		for _, keyed := range []bool{false, true} {
			p := newPausedPool(keyed, 0)
			p.submit(0, Request{Rank: 1, MaxQueueWait: time.Second})
			require.Equal(t, "a", p.decisions[0].Server.ID)
			p.pause(0, 0, end)
			event(p)
			p.submit(end-30*ms, Request{Rank: 1, MaxQueueWait: 4 * time.Second})
			p.Dispatch(end - 1)
			for _, d := range p.decisions[1:] { // refused for another reason, at most
				require.NotEmpty(t, d.Reason, "%s, keyed %v", name, keyed)
			}
		}
	}
}

// Guards against hosts that send all the requests that have gathered to a server when its
// pause ends, and against a window that stays narrow.
func TestRequestsReturnGraduallyAfterAPause(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newPausedPool(keyed, 100*ms)
		p.SetHostCount(1)
		p.commonWindow = 100
		for range 30 {
			p.submit(0, Request{Rank: 1, MaxQueueWait: 5 * time.Second})
		}
		now, inFlight := 100*ms, []int{}
		for range 4 {
			p.Dispatch(now)
			sent := p.servers["a"].inflight
			inFlight = append(inFlight, sent)
			now += 50 * ms
			// All answers arrive before the next requests are assigned.
			queue := p.queue
			p.queue = nil
			for range sent {
				p.answer(now, "a", OK)
			}
			p.queue = queue
		}
		require.Equal(t, 1, inFlight[0], "keyed %v", keyed)
		require.Equal(t, 2, inFlight[1], "keyed %v", keyed)
		require.Zero(t, p.servers["a"].resumeWindow, "keyed %v", keyed)

		p.pause(now, 0, now+time.Second)
		require.Equal(t, resumedWindow, p.servers["a"].resumeWindow)
		p.list[0].Born, p.list[0].PausedUntil = 2, 0
		p.SetServers(now, p.list)
		require.False(t, p.servers["a"].paused(now), "a new life has no pause")
	}
}

// Guards against a server that has just come back and fails, and gets more requests.
func TestFailureAfterAPauseKeepsOneRequestInFlight(t *testing.T) {
	for _, o := range []Outcome{ServerFull, Unreachable, ConnectionLost, Slow, DeadlineExceeded, ErrorResponse} {
		p := newPausedPool(true, 100*ms)
		p.submit(100*ms, Request{Rank: 0, MaxQueueWait: time.Second})
		p.answer(120*ms, "a", OK)
		require.Equal(t, 2.0, p.servers["a"].resumeWindow)
		p.submit(120*ms, Request{Rank: 0, MaxQueueWait: time.Second})
		p.answer(140*ms, "a", o)
		require.LessOrEqual(t, p.servers["a"].resumeWindow, 2.0, "outcome %d", o)
		if o != ErrorResponse { // the server answers
			require.Equal(t, resumedWindow, p.servers["a"].resumeWindow, "outcome %d", o)
		}
	}
}

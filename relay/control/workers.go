package control

import (
	"context"
	"time"

	"parsleyrelay.example/core/ownership"
)

const (
	// appendRingSize bounds the records that wait for the log. When the ring is full, a
	// record is dropped: the machine proposes it again, and an operator's command is
	// refused.
	appendRingSize = 256
	// serverRingSize bounds the control calls that wait for one server. When the ring is
	// full, a call is dropped; the next renewal of the grant replaces it.
	serverRingSize = 8
	// pollRingSize bounds the polls that wait for one witness. It is 1, since an older
	// poll of the same witness proves less. When the ring is full, a poll is dropped.
	pollRingSize = 1

	appendTimeout   = 2 * time.Second
	pollTimeout     = 700 * time.Millisecond // below ownership.SuspicionTimeout; package peer ends calls earlier
	grantTimeout    = 700 * time.Millisecond
	transferTimeout = 2 * time.Second // all parts of a window
)

func (l *Loop) runAppendWorker() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case r := <-l.appendRing:
			ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
			offset, err := l.cfg.Log.Append(ctx, r)
			cancel()
			l.Submit(l.ctx, ownership.AppendCompleted{RecordID: r.ID, Offset: offset, Failed: err != nil})
		}
	}
}

// enqueuePoll passes a poll to the worker of the witness. It drops the poll if another
// one already waits.
func (l *Loop) enqueuePoll(p ownership.SendPoll) {
	ring, ok := l.pollRings[p.Witness]
	if !ok {
		ring = make(chan ownership.SendPoll, pollRingSize)
		l.pollRings[p.Witness] = ring
		l.workers.Go(func() { l.runPollWorker(ring) })
	}
	select {
	case ring <- p:
	default:
	}
}

func (l *Loop) runPollWorker(ring chan ownership.SendPoll) {
	for {
		select {
		case <-l.ctx.Done():
			return
		case p, ok := <-ring:
			if !ok {
				return
			}
			sentAt := l.cfg.Now()
			ctx, cancel := context.WithTimeout(l.ctx, pollTimeout)
			response, err := l.cfg.Peers.Poll(ctx, p)
			cancel()
			if err != nil {
				l.Submit(l.ctx, ownership.PollFailed{Witness: p.Witness})
				continue
			}
			response.SentAt = sentAt
			l.Submit(l.ctx, response)
		}
	}
}

func (l *Loop) enqueueServerCall(server string, e ownership.Effect) {
	ring, ok := l.serverRings[server]
	if !ok {
		ring = make(chan ownership.Effect, serverRingSize)
		l.serverRings[server] = ring
		l.workers.Go(func() { l.runServerWorker(ring) })
	}
	select {
	case ring <- e:
	default:
		l.cfg.Events.RingOverflowed("server:" + server)
	}
}

func (l *Loop) runServerWorker(ring chan ownership.Effect) {
	for {
		select {
		case <-l.ctx.Done():
			return
		case e, ok := <-ring:
			if !ok {
				return
			}
			l.callServer(e)
		}
	}
}

func (l *Loop) callServer(e ownership.Effect) {
	switch e := e.(type) {
	case ownership.SendGrant:
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		defer cancel()
		response, err := l.cfg.Servers.Grant(ctx, e)
		l.submitGrantResult(e.Server, e.Seq, response, err)
	case ownership.SendProbe:
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		defer cancel()
		response, err := l.cfg.Servers.Probe(ctx, e)
		l.submitGrantResult(e.Server, e.Seq, response, err)
	}
}

func (l *Loop) submitGrantResult(server string, seq uint64, response ownership.GrantResponse, err error) {
	if err != nil {
		l.Submit(l.ctx, ownership.GrantFailed{Server: server, Seq: seq})
		return
	}
	response.Server, response.Seq = server, seq
	l.Submit(l.ctx, response)
}

func (l *Loop) sendRelease(e ownership.SendRelease) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout+grantTimeout)
	defer cancel()
	response, err := l.cfg.Servers.Release(ctx, e)
	if err != nil {
		response = ownership.ReleaseCompleted{}
	}
	response.Server, response.Slice = e.Server, e.Slice
	l.Submit(l.ctx, response)
}

func (l *Loop) transferIDs(e ownership.TransferIDs) {
	l.workers.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, transferTimeout)
		defer cancel()
		err := l.cfg.Peers.TransferWindow(ctx, e)
		l.Submit(l.ctx, ownership.IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: err == nil})
	})
}

// stopUnusedWorkers stops the workers of witnesses and servers that are not in the view
// any more. Otherwise they would accumulate, since every restart of a daemon creates a new
// incarnation.
func (l *Loop) stopUnusedWorkers(view *ownership.View) {
	for witness, ring := range l.pollRings {
		if _, ok := view.Members[witness]; !ok {
			close(ring)
			delete(l.pollRings, witness)
		}
	}
	for server, ring := range l.serverRings {
		if _, ok := view.Servers[server]; !ok {
			close(ring)
			delete(l.serverRings, server)
		}
	}
}

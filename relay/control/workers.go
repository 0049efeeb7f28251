package control

import (
	"context"
	"time"

	"parsleyrelay.example/core/ownership"
)

const (
	// appendRing bounds the records that wait for the log. When it is full a
	// proposal is dropped; the machine proposes again, a command is refused.
	appendRing = 256
	// serverRing bounds the control calls that wait for one server. When it is
	// full a call is dropped; the next renewal replaces it.
	serverRing = 8
	// pollRing is 1, since an older poll of the same witness proves less.
	pollRing = 1

	appendTimeout   = 2 * time.Second
	pollTimeout     = 700 * time.Millisecond // under the suspicion time of 900 ms
	grantTimeout    = 700 * time.Millisecond
	transferTimeout = 2 * time.Second
)

func (l *Loop) appendRecords() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case r := <-l.appends:
			ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
			offset, err := l.cfg.Log.Append(ctx, r)
			cancel()
			l.Submit(l.ctx, ownership.AppendCompleted{RecordID: r.ID, Offset: offset, Failed: err != nil})
		}
	}
}

// poll passes a poll to the witness's worker. While one is in flight the new one
// is dropped.
func (l *Loop) poll(p ownership.SendPoll) {
	ring, ok := l.pollers[p.Witness]
	if !ok {
		ring = make(chan ownership.SendPoll, pollRing)
		l.pollers[p.Witness] = ring
		l.workers.Go(func() { l.pollWitness(ring) })
	}
	select {
	case ring <- p:
	default:
	}
}

func (l *Loop) pollWitness(ring chan ownership.SendPoll) {
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
			answer, err := l.cfg.Peers.Poll(ctx, p)
			cancel()
			if err != nil {
				l.Submit(l.ctx, ownership.PollFailed{Witness: p.Witness})
				continue
			}
			answer.SentAt = sentAt
			l.Submit(l.ctx, answer)
		}
	}
}

func (l *Loop) toServer(server string, e ownership.Effect) {
	ring, ok := l.servers[server]
	if !ok {
		ring = make(chan ownership.Effect, serverRing)
		l.servers[server] = ring
		l.workers.Go(func() { l.callServer(ring) })
	}
	select {
	case ring <- e:
	default:
		l.cfg.Events.QueueOverflowed("server:" + server)
	}
}

func (l *Loop) callServer(ring chan ownership.Effect) {
	for {
		select {
		case <-l.ctx.Done():
			return
		case e, ok := <-ring:
			if !ok {
				return
			}
			l.callOnce(e)
		}
	}
}

func (l *Loop) callOnce(e ownership.Effect) {
	switch e := e.(type) {
	case ownership.SendGrant:
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		defer cancel()
		answer, err := l.cfg.Servers.Grant(ctx, e)
		l.reportGrant(e.Server, e.Seq, answer, err)
	case ownership.SendProbe:
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		defer cancel()
		answer, err := l.cfg.Servers.Probe(ctx, e)
		l.reportGrant(e.Server, e.Seq, answer, err)
	}
}

func (l *Loop) reportGrant(server string, seq uint64, answer ownership.GrantResponse, err error) {
	if err != nil {
		l.Submit(l.ctx, ownership.GrantFailed{Server: server, Seq: seq})
		return
	}
	answer.Server, answer.Seq = server, seq
	l.Submit(l.ctx, answer)
}

func (l *Loop) release(e ownership.SendRelease) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout+grantTimeout)
	defer cancel()
	answer, err := l.cfg.Servers.Release(ctx, e)
	if err != nil {
		answer = ownership.ReleaseCompleted{}
	}
	answer.Server, answer.Slice = e.Server, e.Slice
	l.Submit(l.ctx, answer)
}

func (l *Loop) transferIDs(e ownership.TransferIDs) {
	l.workers.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, transferTimeout)
		defer cancel()
		err := l.cfg.Peers.TransferIDs(ctx, e)
		l.Submit(l.ctx, ownership.IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: err == nil})
	})
}

// prune ends the workers of daemons and servers that are gone, since every
// restart of a daemon brings a new incarnation.
func (l *Loop) prune(view *ownership.View) {
	for witness, ring := range l.pollers {
		if _, ok := view.Members[witness]; !ok {
			close(ring)
			delete(l.pollers, witness)
		}
	}
	for server, ring := range l.servers {
		if _, ok := view.Servers[server]; !ok {
			close(ring)
			delete(l.servers, server)
		}
	}
}

package ownership

import (
	"time"

	"parsleyrelay.example/core/record"
)

const (
	// appendRetry is the time after which a record that has not been read yet is
	// appended again under the same id.
	appendRetry = time.Second
	// proposalForget is the time after which a proposal that nobody asks for any
	// more is dropped.
	proposalForget = 30 * time.Second
)

type proposal struct {
	record  record.Record
	firstAt time.Duration
	sentAt  time.Duration
	askedAt time.Duration
}

// propose appends a record once and tries again with the same id while the
// caller keeps asking. The key must contain the precondition of the record.
func (m *Machine) propose(key string, body record.Body) {
	p := m.proposals[key]
	if p == nil {
		p = &proposal{record: m.newRecord(body), firstAt: m.now}
		m.proposals[key] = p
		m.proposalKeys[p.record.ID] = key
	} else if m.now-p.sentAt < appendRetry {
		p.askedAt = m.now
		return
	}
	p.sentAt, p.askedAt = m.now, m.now
	m.emit(AppendRecord{Record: p.record})
}

func (m *Machine) newRecord(body record.Body) record.Record {
	return record.Record{ID: m.cfg.NewID(), Proposer: m.cfg.Incarnation, WallMS: m.cfg.WallClockMS(), Body: body}
}

// proposing reports whether a proposal is under way.
func (m *Machine) proposing(key string) bool { return m.proposals[key] != nil }

// settleProposal forgets a proposal whose record was folded and returns its key.
func (m *Machine) settleProposal(id string) string {
	key, ok := m.proposalKeys[id]
	if ok {
		m.appendDelay = m.now - m.proposals[key].firstAt
		delete(m.proposals, key)
		delete(m.proposalKeys, id)
	}
	return key
}

func (m *Machine) forgetProposals() {
	for key, p := range m.proposals {
		if m.now-p.askedAt > proposalForget {
			delete(m.proposalKeys, p.record.ID)
			delete(m.proposals, key)
		}
	}
}

package ownership

import (
	"time"

	"parsleyrelay.example/core/record"
)

const (
	// appendRetryInterval is the time after which a record that has not been read yet
	// is appended again with the same id.
	appendRetryInterval = time.Second
	// proposalTTL is the time after which a proposal that was not requested again is
	// dropped.
	proposalTTL = 30 * time.Second
)

// proposal is a record that this daemon wants in the log and has not read yet.
type proposal struct {
	record          record.Record
	createdAt       time.Duration
	sentAt          time.Duration
	lastRequestedAt time.Duration
}

// propose appends a record and, while the caller repeats the request with the same
// key, retries with the same record. A pending proposal keeps its first body: later
// bodies are ignored until its record is applied or it expires. Keys therefore contain
// the precondition of the record, unless a record that is out of date does no harm and
// a new one may follow it.
func (m *Machine) propose(key string, body record.Body) {
	p := m.proposals[key]
	if p == nil {
		p = &proposal{record: m.newRecord(body), createdAt: m.now}
		m.proposals[key] = p
		m.proposalKeyByID[p.record.ID] = key
	} else if m.now-p.sentAt < appendRetryInterval {
		p.lastRequestedAt = m.now
		return
	}
	p.sentAt, p.lastRequestedAt = m.now, m.now
	m.addEffect(AppendRecord{Record: p.record})
}

func (m *Machine) newRecord(body record.Body) record.Record {
	return record.Record{ID: m.cfg.NewID(), Proposer: m.cfg.Incarnation, WallTimeMS: m.cfg.WallClockMS(), Body: body}
}

// isProposing reports whether there is a pending proposal with the key.
func (m *Machine) isProposing(key string) bool { return m.proposals[key] != nil }

// removeProposal removes the proposal whose record was applied and returns its key,
// "" for a record of another daemon.
func (m *Machine) removeProposal(id string) string {
	key, ok := m.proposalKeyByID[id]
	if ok {
		m.appendDelay = m.now - m.proposals[key].createdAt
		delete(m.proposals, key)
		delete(m.proposalKeyByID, id)
	}
	return key
}

func (m *Machine) expireProposals() {
	for key, p := range m.proposals {
		if m.now-p.lastRequestedAt > proposalTTL {
			delete(m.proposalKeyByID, p.record.ID)
			delete(m.proposals, key)
		}
	}
}

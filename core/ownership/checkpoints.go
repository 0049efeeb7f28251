package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// checkpointRecords is the number of records after which a checkpoint is due
// whatever its age; folding them takes about 0.1 s.
const checkpointRecords = 50000

// checkpointRetry is how long a daemon waits for the parts that it appended
// before it publishes again.
const checkpointRetry = 30 * time.Second

// checkpointTurn is the number of turns of rankDelay that a member has for a
// checkpoint that is due by age: writing takes longer than an ordinary proposal.
const checkpointTurn = 20

// checkpointArrives is how long a member waits after the last part of a
// checkpoint of another member: parts follow one another within 50 ms, and a
// writer that is silent for longer has stopped.
const checkpointArrives = time.Second

// checkpointPartsPerTick spreads the parts over time: 80 per second leave most
// of the several hundred appends per second to others. All at once they overran
// the ring of 256 appends, which drops the rest, and checkpoints of more parts
// never became complete.
const checkpointPartsPerTick = 4

// checkpointKeeper knows the newest complete checkpoint in the log.
type checkpointKeeper struct {
	base    uint64        // of the newest complete checkpoint, 0 for none
	at      time.Duration // when it was completed, or when this daemon started
	folded  int           // records folded after base
	due     time.Duration // since when a new one has been due, 0 if it is not
	oldest  uint64
	wroteAt time.Duration
	partAt  time.Duration   // when the last part of an incomplete checkpoint came, 0 for none
	pending []record.Record // parts of the own checkpoint that are not appended yet
	parts   map[partKey]map[int]bool
}

func (k *checkpointKeeper) noteOldest(oldest uint64) { k.oldest = max(k.oldest, oldest) }

// noteCheckpointPart tracks checkpoints that pass by in the log.
func (m *Machine) noteCheckpointPart(p record.Positioned) {
	part, ok := p.Record.Body.(record.CheckpointPart)
	if !ok {
		return
	}
	k := &m.keeper
	if k.parts == nil {
		k.parts = map[partKey]map[int]bool{}
	}
	key := partKey{base: part.Base, parts: part.Parts, digest: part.Digest}
	if k.parts[key] == nil {
		k.parts[key] = map[int]bool{}
	}
	k.parts[key][part.Part] = true
	if part.Base > k.base {
		k.partAt = m.now
	}
	if len(k.parts[key]) < part.Parts || part.Base <= k.base {
		return
	}
	k.folded = int(p.Offset - part.Base)
	k.base, k.at, k.due, k.partAt = part.Base, m.now, 0, 0
	k.wroteAt = 0 // nothing is awaited; retention may pass this checkpoint too
	for other := range k.parts {
		if other.base <= part.Base {
			delete(k.parts, other)
		}
	}
}

// checkpoint publishes the state when the newest checkpoint is too old. Members
// take turns, so that normally one publishes.
func (m *Machine) checkpoint() {
	k := &m.keeper
	age := m.now - k.at
	old := m.cfg.LogRetention > 0 && age > m.cfg.LogRetention/4 && k.folded > 0
	// Retention has dropped records that the newest checkpoint does not replace.
	uncovered := k.oldest > k.base+1
	if len(k.pending) > 0 {
		m.appendCheckpointParts()
		return
	}
	if !m.logReachable || m.draining || !(old || uncovered || k.folded > checkpointRecords) {
		k.due = 0
		return
	}
	if k.due == 0 {
		k.due = m.now
	}
	turns := time.Duration(checkpointTurn)
	if uncovered {
		// Only the members' memory holds the state now, and the members may be
		// lost before a longer turn has passed.
		turns = 1
		if k.partAt > 0 && m.now-k.partAt < checkpointArrives {
			return
		}
	}
	if !m.myTurn("checkpoint", m.st.Members(), (m.now-k.due)/turns) || m.now-k.wroteAt < checkpointRetry && k.wroteAt > 0 {
		return
	}
	parts, digest := state.EncodeCheckpoint(m.st)
	for i, payload := range parts {
		k.pending = append(k.pending, m.newRecord(record.CheckpointPart{
			Base: m.st.Applied(), Part: i, Parts: len(parts), Digest: digest, Payload: payload,
		}))
	}
	m.appendCheckpointParts()
}

// appendCheckpointParts appends the next parts of the own checkpoint.
func (m *Machine) appendCheckpointParts() {
	k := &m.keeper
	if !m.logReachable {
		return
	}
	n := min(checkpointPartsPerTick, len(k.pending))
	for _, part := range k.pending[:n] {
		m.emit(AppendRecord{Record: part})
	}
	k.pending = k.pending[n:]
	k.wroteAt = m.now
	if len(k.pending) == 0 {
		k.pending = nil
		m.report(event.Event{Code: event.CheckpointWritten, Offset: m.st.Applied()})
	}
}

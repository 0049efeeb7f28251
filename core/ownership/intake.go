package ownership

import (
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// intake holds records that cannot be folded yet because the state before them
// is unknown.
type intake struct {
	backlog []record.Positioned // contiguous
	parts   map[partKey]map[int][]byte
	behind  bool // retention dropped records that were not folded
}

type partKey struct {
	base   uint64
	parts  int
	digest string
}

// takeRecords accepts records from the log or from a witness. Oldest is 0 for
// records from a witness.
func (m *Machine) takeRecords(records []record.Positioned, oldest uint64) {
	m.keeper.noteOldest(oldest)
	if !m.complete && oldest == 0 && len(m.intake.backlog) == 0 {
		if m.intake.behind || m.st.Applied() == 0 {
			return // only the log tells what the oldest retained record is
		}
	}
	if m.complete && oldest > m.st.Applied()+1 {
		m.fallBehind()
	}
	if !m.complete && !m.intake.behind && oldest > 0 {
		if oldest > m.st.Applied()+1 {
			m.fallBehind()
		} else {
			m.becomeComplete()
		}
	}
	for _, p := range records {
		if m.complete {
			if p.Offset == m.st.Applied()+1 {
				m.noteCheckpointPart(p)
				m.fold(p)
			}
			continue
		}
		m.collect(p, oldest)
	}
}

func (m *Machine) becomeComplete() {
	m.complete = true
	m.intake = intake{}
	m.viewDirty.all = true
	m.report(event.Event{Code: event.StateComplete, Offset: m.st.Applied()})
}

func (m *Machine) fallBehind() {
	m.complete = false
	m.intake = intake{behind: true, parts: map[partKey]map[int][]byte{}}
	m.viewDirty.all = true
	m.report(event.Event{Code: event.BehindRetention, Offset: m.st.Applied()})
}

// collect keeps a record for later and restores the state once a checkpoint
// and all records after its base are at hand.
func (m *Machine) collect(p record.Positioned, oldest uint64) {
	log := &m.intake
	if n := len(log.backlog); n > 0 {
		switch next := log.backlog[n-1].Offset + 1; {
		case p.Offset < next:
			return
		case p.Offset > next && oldest == 0:
			return
		case p.Offset > next:
			log.backlog = nil // retention has overtaken the reader again
		}
	}
	log.backlog = append(log.backlog, p)
	part, ok := p.Record.Body.(record.CheckpointPart)
	if !ok {
		return
	}
	key := partKey{base: part.Base, parts: part.Parts, digest: part.Digest}
	if log.parts[key] == nil {
		log.parts[key] = map[int][]byte{}
	}
	log.parts[key][part.Part] = part.Payload
	m.tryRestore(key)
}

func (m *Machine) tryRestore(key partKey) {
	log := &m.intake
	have := log.parts[key]
	if len(have) != key.parts || key.base <= m.st.Applied() || key.base+1 < log.backlog[0].Offset {
		return
	}
	payloads := make([][]byte, key.parts)
	for i := range payloads {
		payloads[i] = have[i]
	}
	st, err := state.Restore(payloads, key.digest)
	if err != nil || st.Applied() != key.base {
		m.report(event.Event{Code: event.RecordIgnored, Offset: key.base, Detail: "checkpoint cannot be restored"})
		return
	}
	m.install(st)
}

// install replaces the state by a newer one and folds the records after it.
func (m *Machine) install(st *state.State) {
	backlog := m.intake.backlog
	m.st = st
	m.rebuild()
	m.keeper.base = st.Applied()
	m.keeper.folded = 0
	m.becomeComplete()
	for _, p := range backlog {
		if p.Offset == m.st.Applied()+1 {
			m.fold(p)
		}
	}
}

package ownership

import (
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// restoreBuffer holds records that cannot be applied yet because the state before
// them is unknown, until a checkpoint restores that state.
type restoreBuffer struct {
	records           []record.LogEntry // contiguous offsets
	partsByCheckpoint map[checkpointKey]map[int][]byte
	behindRetention   bool // retention dropped records that were not applied
}

// checkpointKey identifies a checkpoint by the offset of the state that it holds,
// the number of its parts and its digest.
type checkpointKey struct {
	baseOffset uint64
	partCount  int
	digest     string
}

// acceptRecords applies or buffers records from the log or from a witness. oldest is
// the oldest offset that the log is known to retain; 0 marks records from a witness.
func (m *Machine) acceptRecords(records []record.LogEntry, oldest uint64) {
	if !m.stateComplete && oldest == 0 && len(m.restore.records) == 0 {
		if m.restore.behindRetention || m.state.AppliedOffset() == 0 {
			return // only a read of the log tells whether retention has dropped earlier records
		}
	}
	if m.stateComplete && oldest > m.state.AppliedOffset()+1 {
		m.markBehindRetention()
	}
	if !m.stateComplete && !m.restore.behindRetention && oldest > 0 {
		if oldest > m.state.AppliedOffset()+1 {
			m.markBehindRetention()
		} else {
			m.markStateComplete()
		}
	}
	for _, entry := range records {
		if m.stateComplete {
			if entry.Offset == m.state.AppliedOffset()+1 {
				m.trackCheckpointPart(entry)
				m.applyRecord(entry)
			}
			continue
		}
		m.bufferRecord(entry, oldest)
	}
}

func (m *Machine) markStateComplete() {
	m.stateComplete = true
	m.restore = restoreBuffer{}
	m.viewChanges.scalars = true
	m.emitEvent(event.Event{Code: event.StateComplete, Offset: m.state.AppliedOffset()})
}

func (m *Machine) markBehindRetention() {
	m.stateComplete = false
	m.restore = restoreBuffer{behindRetention: true, partsByCheckpoint: map[checkpointKey]map[int][]byte{}}
	m.viewChanges.scalars = true
	m.emitEvent(event.Event{Code: event.BehindRetention, Offset: m.state.AppliedOffset()})
}

// bufferRecord stores a record and restores the state once a complete checkpoint and
// all records after its base offset are available. As in acceptRecords, oldest is 0
// for a record from a witness.
func (m *Machine) bufferRecord(entry record.LogEntry, oldest uint64) {
	buffer := &m.restore
	if n := len(buffer.records); n > 0 {
		switch next := buffer.records[n-1].Offset + 1; {
		case entry.Offset < next:
			return
		case entry.Offset > next && oldest == 0:
			return
		case entry.Offset > next:
			buffer.records = nil // retention dropped records between the two reads
		}
	}
	buffer.records = append(buffer.records, entry)
	part, ok := entry.Record.Body.(record.CheckpointPart)
	if !ok {
		return
	}
	key := checkpointKey{baseOffset: part.BaseOffset, partCount: part.PartCount, digest: part.Digest}
	if buffer.partsByCheckpoint[key] == nil {
		buffer.partsByCheckpoint[key] = map[int][]byte{}
	}
	buffer.partsByCheckpoint[key][part.PartIndex] = part.Payload
	m.tryRestoreCheckpoint(key)
}

func (m *Machine) tryRestoreCheckpoint(key checkpointKey) {
	buffer := &m.restore
	payloadByPart := buffer.partsByCheckpoint[key]
	if len(payloadByPart) != key.partCount || key.baseOffset <= m.state.AppliedOffset() || key.baseOffset+1 < buffer.records[0].Offset {
		return
	}
	payloads := make([][]byte, key.partCount)
	for i := range payloads {
		payloads[i] = payloadByPart[i]
	}
	st, err := state.DecodeCheckpoint(payloads, key.digest)
	if err != nil || st.AppliedOffset() != key.baseOffset {
		m.emitEvent(event.Event{Code: event.RecordIgnored, Offset: key.baseOffset, Detail: "checkpoint cannot be restored"})
		return
	}
	m.installState(st)
}

// installState replaces the state by a newer one and applies the buffered records
// after it.
func (m *Machine) installState(st *state.State) {
	records := m.restore.records
	m.state = st
	m.rebuildDerivedState()
	m.checkpoints.baseOffset = st.AppliedOffset()
	m.checkpoints.recordsSinceBase = 0
	m.markStateComplete()
	for _, entry := range records {
		if entry.Offset == m.state.AppliedOffset()+1 {
			m.applyRecord(entry)
		}
	}
}

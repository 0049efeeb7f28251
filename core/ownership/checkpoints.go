package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

// maxRecordsSinceCheckpoint is the number of records after which a new checkpoint
// is due at any age; applying that many takes about 0.1 s.
const maxRecordsSinceCheckpoint = 50000

// checkpointRetryInterval is how long a daemon waits to read back the parts that it
// appended before it writes the checkpoint again.
const checkpointRetryInterval = 30 * time.Second

// checkpointRankDelayFactor multiplies proposalRankDelay for checkpoints that are not
// urgent, since writing one takes longer than an ordinary proposal.
const checkpointRankDelayFactor = 20

// checkpointPartTimeout is how long a member waits for the next part of another
// member's checkpoint. Parts follow one another within 50 ms, so a writer that is
// silent for longer has stopped.
const checkpointPartTimeout = time.Second

// checkpointPartsPerTick limits the rate of parts to 80 per second, which leaves
// most of the capacity of the log, several hundred appends per second, to other
// records. With more parts at once, the driver's ring of 256 pending appends overflows
// and drops the rest, so that a large checkpoint never becomes complete.
const checkpointPartsPerTick = 4

// checkpointTracker tracks the newest complete checkpoint in the log and the
// writing of the next one.
type checkpointTracker struct {
	baseOffset       uint64          // of the newest complete checkpoint, 0 for none
	completedAt      time.Duration   // when it was completed, or when this daemon started
	recordsSinceBase int             // records applied after baseOffset
	dueSince         time.Duration   // when a new checkpoint became due, 0 if none is
	oldestOffset     uint64          // highest oldest offset that a read of the log has reported; 0 before the first read
	lastAppendAt     time.Duration   // when this daemon last appended parts, 0 if none are awaited
	lastPartAt       time.Duration   // when the last part of an incomplete checkpoint was read, 0 for none
	unappendedParts  []record.Record // parts of this daemon's checkpoint still to append
	receivedParts    map[checkpointKey]map[int]bool
}

func (k *checkpointTracker) updateOldestOffset(oldest uint64) {
	k.oldestOffset = max(k.oldestOffset, oldest)
}

// trackCheckpointPart records a part of a checkpoint in the log and detects when
// the checkpoint is complete.
func (m *Machine) trackCheckpointPart(entry record.LogEntry) {
	part, ok := entry.Record.Body.(record.CheckpointPart)
	if !ok {
		return
	}
	tracker := &m.checkpoints
	if tracker.receivedParts == nil {
		tracker.receivedParts = map[checkpointKey]map[int]bool{}
	}
	key := checkpointKey{baseOffset: part.BaseOffset, partCount: part.PartCount, digest: part.Digest}
	if tracker.receivedParts[key] == nil {
		tracker.receivedParts[key] = map[int]bool{}
	}
	tracker.receivedParts[key][part.PartIndex] = true
	if part.BaseOffset > tracker.baseOffset {
		tracker.lastPartAt = m.now
	}
	if len(tracker.receivedParts[key]) < part.PartCount || part.BaseOffset <= tracker.baseOffset {
		return
	}
	tracker.recordsSinceBase = int(entry.Offset - part.BaseOffset)
	tracker.baseOffset, tracker.completedAt, tracker.dueSince, tracker.lastPartAt = part.BaseOffset, m.now, 0, 0
	tracker.lastAppendAt = 0 // lets the next checkpoint be written at once if retention overtakes this one
	for other := range tracker.receivedParts {
		if other.baseOffset <= part.BaseOffset {
			delete(tracker.receivedParts, other)
		}
	}
}

// writeCheckpointIfDue writes a checkpoint of the state when the newest one is too
// old. Members take turns, so that normally only one writes.
func (m *Machine) writeCheckpointIfDue() {
	tracker := &m.checkpoints
	age := m.now - tracker.completedAt
	old := m.cfg.LogRetention > 0 && age > m.cfg.LogRetention/4 && tracker.recordsSinceBase > 0
	// Retention has dropped records that the newest checkpoint does not include.
	uncovered := tracker.oldestOffset > tracker.baseOffset+1
	if len(tracker.unappendedParts) > 0 {
		m.appendCheckpointParts()
		return
	}
	if !m.logReachable || m.draining || !(old || uncovered || tracker.recordsSinceBase > maxRecordsSinceCheckpoint) {
		tracker.dueSince = 0
		return
	}
	if tracker.dueSince == 0 {
		tracker.dueSince = m.now
	}
	rankDelayFactor := time.Duration(checkpointRankDelayFactor)
	if uncovered {
		// The state exists only in the memory of the members, which may fail before
		// a longer delay has passed.
		rankDelayFactor = 1
		if tracker.lastPartAt > 0 && m.now-tracker.lastPartAt < checkpointPartTimeout {
			return
		}
	}
	if !m.isOwnTurn("checkpoint", m.state.Members(), (m.now-tracker.dueSince)/rankDelayFactor) || m.now-tracker.lastAppendAt < checkpointRetryInterval && tracker.lastAppendAt > 0 {
		return
	}
	parts, digest := state.EncodeCheckpoint(m.state)
	for i, payload := range parts {
		tracker.unappendedParts = append(tracker.unappendedParts, m.newRecord(record.CheckpointPart{
			BaseOffset: m.state.AppliedOffset(), PartIndex: i, PartCount: len(parts), Digest: digest, Payload: payload,
		}))
	}
	m.appendCheckpointParts()
}

// appendCheckpointParts appends the next parts of this daemon's checkpoint.
func (m *Machine) appendCheckpointParts() {
	tracker := &m.checkpoints
	if !m.logReachable {
		return
	}
	n := min(checkpointPartsPerTick, len(tracker.unappendedParts))
	for _, part := range tracker.unappendedParts[:n] {
		m.addEffect(AppendRecord{Record: part})
	}
	tracker.unappendedParts = tracker.unappendedParts[n:]
	tracker.lastAppendAt = m.now
	if len(tracker.unappendedParts) == 0 {
		tracker.unappendedParts = nil
		m.emitEvent(event.Event{Code: event.CheckpointWritten, Offset: m.state.AppliedOffset()})
	}
}

package state

import (
	"parsleyrelay.example/core/record"
)

// Limits of a CheckpointAssembler. A checkpoint of 1.4 million slices has about 400 parts;
// the limit on parts keeps an invalid record from allocating memory without bound. Several
// checkpoints are incomplete at a time only while several members write one.
const (
	maxCheckpointParts       = 1 << 16
	maxIncompleteCheckpoints = 4
)

// CheckpointAssembler assembles checkpoints from their parts, which may arrive in any
// order, more than once, and mixed with those of other checkpoints.
type CheckpointAssembler struct {
	incomplete map[checkpointID]*partialCheckpoint
}

// checkpointID identifies the checkpoint that a part belongs to.
type checkpointID struct {
	baseOffset uint64
	digest     string
	partCount  int
}

type partialCheckpoint struct {
	parts        [][]byte
	missingParts int
}

// AddPart adds one part. It returns the state at the part's base offset if the part
// completes its checkpoint, nil while other parts are missing, and an error that wraps
// ErrBadCheckpoint if the complete checkpoint cannot be decoded. Invalid and duplicate
// parts are ignored.
func (a *CheckpointAssembler) AddPart(part record.CheckpointPart) (*State, error) {
	if part.PartCount < 1 || part.PartCount > maxCheckpointParts || part.PartIndex < 0 || part.PartIndex >= part.PartCount || len(part.Payload) == 0 {
		return nil, nil
	}
	id := checkpointID{baseOffset: part.BaseOffset, digest: part.Digest, partCount: part.PartCount}
	partial := a.findOrCreate(id)
	if partial == nil || partial.parts[part.PartIndex] != nil {
		return nil, nil
	}
	partial.parts[part.PartIndex] = part.Payload
	if partial.missingParts--; partial.missingParts > 0 {
		return nil, nil
	}
	delete(a.incomplete, id)
	s, err := DecodeCheckpoint(partial.parts, id.digest)
	if err == nil && s.appliedOffset != id.baseOffset {
		return nil, ErrBadCheckpoint
	}
	return s, err
}

// findOrCreate returns the incomplete checkpoint of an id. If there are too many, it drops
// the one with the lowest base offset; it returns nil if that is id itself.
func (a *CheckpointAssembler) findOrCreate(id checkpointID) *partialCheckpoint {
	if a.incomplete == nil {
		a.incomplete = map[checkpointID]*partialCheckpoint{}
	}
	if partial := a.incomplete[id]; partial != nil {
		return partial
	}
	if len(a.incomplete) >= maxIncompleteCheckpoints {
		oldest := id
		for other := range a.incomplete {
			if other.baseOffset < oldest.baseOffset {
				oldest = other
			}
		}
		if oldest == id {
			return nil
		}
		delete(a.incomplete, oldest)
	}
	partial := &partialCheckpoint{parts: make([][]byte, id.partCount), missingParts: id.partCount}
	a.incomplete[id] = partial
	return partial
}

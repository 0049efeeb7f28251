package state

import (
	"parsleyrelay.example/core/record"
)

// Bounds of a Collector. A checkpoint of 1.4 million slices has about 400 parts;
// the bound on parts keeps a bad record from allocating without limit. Several
// checkpoints are open at a time only while members publish at once.
const (
	maxCheckpointParts = 1 << 16
	maxOpenCheckpoints = 4
)

// CheckpointAssembler assembles checkpoints from their parts, which may come in any order,
// more than once, and mixed with those of other checkpoints.
type CheckpointAssembler struct {
	open map[checkpointID]*partialCheckpoint
}

type checkpointID struct {
	base   uint64
	digest string
	parts  int
}

type partialCheckpoint struct {
	parts   [][]byte
	missing int
}

// AddPart takes one part. It returns the state at the part's base when the part
// completes its checkpoint, nil while others are missing, and an error that wraps
// ErrBadCheckpoint when the complete parts cannot be restored. Parts that make no
// sense are ignored.
func (c *CheckpointAssembler) AddPart(p record.CheckpointPart) (*State, error) {
	if p.PartCount < 1 || p.PartCount > maxCheckpointParts || p.PartIndex < 0 || p.PartIndex >= p.PartCount || len(p.Payload) == 0 {
		return nil, nil
	}
	id := checkpointID{base: p.BaseOffset, digest: p.Digest, parts: p.PartCount}
	partial := c.partial(id)
	if partial == nil || partial.parts[p.PartIndex] != nil {
		return nil, nil
	}
	partial.parts[p.PartIndex] = p.Payload
	if partial.missing--; partial.missing > 0 {
		return nil, nil
	}
	delete(c.open, id)
	s, err := DecodeCheckpoint(partial.parts, id.digest)
	if err == nil && s.applied != id.base {
		return nil, ErrBadCheckpoint
	}
	return s, err
}

// partial returns the open checkpoint of an id. When too many are open, the one
// of the lowest base gives way; it returns nil when that is id itself.
func (c *CheckpointAssembler) partial(id checkpointID) *partialCheckpoint {
	if c.open == nil {
		c.open = map[checkpointID]*partialCheckpoint{}
	}
	if partial := c.open[id]; partial != nil {
		return partial
	}
	if len(c.open) >= maxOpenCheckpoints {
		oldest := id
		for other := range c.open {
			if other.base < oldest.base {
				oldest = other
			}
		}
		if oldest == id {
			return nil
		}
		delete(c.open, oldest)
	}
	partial := &partialCheckpoint{parts: make([][]byte, id.parts), missing: id.parts}
	c.open[id] = partial
	return partial
}

package ownership

import (
	"errors"
	"net/url"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

type (
	// Planner plans moves for load.
	Planner interface{}
	move    struct{ slice HeldSlice }
)

type checkpointKeeper struct {
	base   uint64
	folded int
}

func (k *checkpointKeeper) noteOldest(uint64)           {}
func (m *Machine) noteCheckpointPart(record.Positioned) {}
func (m *Machine) checkpoint()                          {}
func restoreState(parts [][]byte, digest string) (*state.State, error) {
	return nil, errors.New("no checkpoint codec")
}
func (m *Machine) quiesced(Quiesced)                 {}
func (m *Machine) releaseAnswered(ReleaseAnswered)   {}
func (m *Machine) idsTransferred(IDsTransferred)     {}
func (m *Machine) flushMoves()                       {}
func (m *Machine) moveOff(*home)                     {}
func (m *Machine) drainRequested()                   { m.draining = true }
func (m *Machine) drain()                            {}
func (m *Machine) moveFromLostZones()                {}
func (m *Machine) planLoad()                         {}
func (m *Machine) loadMeasured(LoadMeasured)         {}
func (m *Machine) tryProvisional(string, state.Home) {}
func (m *Machine) endProvisional(string)             {}

// hostOf returns the host part of a server's address.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return u.Hostname()
}

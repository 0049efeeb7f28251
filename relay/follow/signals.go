package follow

import (
	"math"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/directory"
)

func encodeSignals(signals []directory.Signal) []*followv1.ServerSignal {
	var messages []*followv1.ServerSignal
	for _, s := range signals {
		messages = append(messages, &followv1.ServerSignal{Id: s.ID, Born: s.Born, Leaving: s.Leaving,
			PausedMs: uint32(min(s.Longest.Milliseconds(), math.MaxUint32)), PausedHosts: uint32(s.Hosts), Cold: s.Cold})
	}
	return messages
}

func decodeSignals(messages []*followv1.ServerSignal) []directory.Signal {
	var signals []directory.Signal
	for _, m := range messages {
		signals = append(signals, directory.Signal{Life: directory.Life{ID: m.Id, Born: m.Born}, Leaving: m.Leaving, Cold: m.Cold,
			Pause: directory.Pause{Hosts: int(m.PausedHosts), Longest: time.Duration(m.PausedMs) * time.Millisecond}})
	}
	return signals
}

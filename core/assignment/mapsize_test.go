package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// Pattern: a third of thousands of servers is lost at once. Guards against a leader that moves
// all their ranges together: the store refuses a map that is larger than a record, and no
// later map, nor the term of a successor, is written.
func TestMapOfAMassLossFitsIntoARecord(t *testing.T) {
	const servers, recordBytes = 2700, 256 << 10
	all := map[string]directory.Server{}
	m := &Map{Term: 3, Leader: "host/019c12b5-42fe-74a1-9094-6850d282f5a7@10.1.0.9:7540", NextOffset: 9, Services: map[string][]Range{}}
	for i := range servers {
		s := directory.Server{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1773710000000 + int64(i), Service: "stock", Address: fmt.Sprintf("10.%d.%d.%d:8345", 128+i%4, 64+i/256, i%256), Slots: 6}
		all[s.ID] = s
		if i < maxRangesPerService {
			m.Services["stock"] = append(m.Services["stock"], Range{From: uint16(i * 32), To: uint16(i*32 + 31), Owner: IncarnationOf(s)})
		}
	}
	l := NewLeader(0, m, Options{HostIncarnation: "a"})
	for i := range maxRangesPerService / 2 {
		delete(all, fmt.Sprintf("i-%010x", i*7919))
	}
	l.SetServers(map[string]map[string]directory.Server{"stock": all})
	now, moved := time.Duration(0), 0
	for range 5 {
		if w := l.NextMapWrite(); w != nil {
			value, err := w.Map.Encode()
			require.NoError(t, err)
			require.Less(t, len(value), recordBytes)
			l.AcknowledgeMapWrite(now, w.Map.NextOffset, w.Map.NextOffset+1)
			moved = 0
			for _, r := range w.Map.Services["stock"] {
				if r.IsMoving() {
					moved++
				}
			}
		}
		now += 50 * time.Millisecond
		l.Tick(now)
	}
	require.Equal(t, maxMovingRanges, moved)
}

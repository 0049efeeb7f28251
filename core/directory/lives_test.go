package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeLog is a log of the entries of servers. Readers see any prefix of it.
type storeLog struct {
	random  *rand.Rand
	entries []Server // one write each; without an address the write removes the entry
	current map[string]Server
}

// write appends a random entry: a server registers, leaves, is removed, returns or starts
// again.
func (l *storeLog) write() {
	id := fmt.Sprint("s", l.random.IntN(3))
	s, listed := l.current[id]
	switch l.random.IntN(4) {
	case 0:
		s = newServer(id, s.Born+1)
	case 1:
		s.Draining = listed
	case 2:
		s.Address = ""
	case 3:
		s = newServer(id, max(1, s.Born))
	}
	s.ID = id
	l.entries = append(l.entries, s)
	l.current[id] = s
}

// listing returns the entries before an offset.
func (l *storeLog) listing(offset int) map[string]Server {
	list := map[string]Server{}
	for _, s := range l.entries[:offset] {
		if list[s.ID] = s; s.Address == "" {
			delete(list, s.ID)
		}
	}
	return list
}

// beliefs is what a directory has to know after what it was told.
type beliefs struct {
	leaving map[Life]bool
	pauses  map[Life]time.Duration
}

func (b *beliefs) readList(list map[string]Server) {
	for _, s := range list {
		if s.Draining {
			b.leaving[s.Life()] = true
		}
	}
}

// Guards against a leaving server that is used again, and against a restarted server that
// is not used: lists and answers arrive late, twice, in any order or not at all, from the
// store, the server and other hosts.
func TestLeavingHoldsForOneLife(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		log := &storeLog{random: random, current: map[string]Server{}}
		d, told := New(maxGap), beliefs{leaving: map[Life]bool{}, pauses: map[Life]time.Duration{}}
		for step := range 120 {
			now := time.Duration(step) * 100 * time.Millisecond
			read(d, now)
			log.write()
			offset := random.IntN(len(log.entries) + 1)
			life := Life{ID: fmt.Sprint("s", random.IntN(3)), Born: int64(1 + random.IntN(1+len(log.entries)/8))}
			listed, known := d.All()[life.ID]
			former := known && listed.Born > life.Born
			switch list := log.listing(offset); random.IntN(6) {
			case 0:
				if _, applied := d.ApplyListing(now, list, uint64(offset)); applied {
					told.readList(list)
				}
			case 1:
				if d.ResetFromLeader(now, list, uint64(offset)) && offset > 0 {
					told.readList(list)
				}
			case 2:
				for at := int(d.Offset()); at < offset; at++ {
					if s := log.entries[at]; s.Address == "" {
						d.Remove(now, s.ID)
					} else if current, ok := d.All()[s.ID]; !ok || current.Born <= s.Born {
						d.Put(now, s)
						told.readList(map[string]Server{s.ID: s})
					} else {
						d.Put(now, s)
					}
				}
				d.Advance(uint64(offset))
			case 3, 4:
				d.MarkLeaving(now, life, []Source{SourceAnswer, SourceHost}[random.IntN(2)])
				told.leaving[life] = told.leaving[life] || !former
			case 5:
				until := now + time.Duration(random.IntN(3000))*time.Millisecond
				d.Pause(now, life, until)
				if !former && until > now {
					told.pauses[life] = max(told.pauses[life], until)
				}
			}
			for id, s := range d.All() {
				require.Equal(t, told.leaving[s.Life()], s.Draining, "seed %d, step %d, server %s, born %d", seed, step, id, s.Born)
				require.Equal(t, told.pauses[s.Life()], s.PausedUntil, "seed %d, step %d, server %s, born %d", seed, step, id, s.Born)
			}
		}
	}
}

// Guards against each way in which a server that leaves was used again in one life.
func TestLeavingServerIsNotUsedAgain(t *testing.T) {
	ready, next := newServer("1", 1), newServer("1", 2)
	listing := map[string]Server{"1": ready}
	for name, update := range map[string]func(*Directory){
		"entry that still says ready":   func(d *Directory) { d.Put(0, ready) },
		"listing that still says ready": func(d *Directory) { d.ApplyListing(0, listing, 9) },
		"older listing":                 func(d *Directory) { d.ApplyListing(0, listing, 4) },
		"leader that does not know":     func(d *Directory) { d.ResetFromLeader(0, listing, 9) },
		"leader without an offset":      func(d *Directory) { d.ResetFromLeader(0, listing, 0) },
		"removal and new listing":       func(d *Directory) { d.Remove(0, "1"); d.Put(0, ready) },
	} {
		for _, source := range []Source{SourceStore, SourceAnswer, SourceHost} {
			d := New(maxGap)
			d.ApplyListing(0, listing, 5)
			if source == SourceStore {
				leaving := ready
				leaving.Draining = true
				d.Put(0, leaving)
			} else {
				require.True(t, d.MarkLeaving(0, ready.Life(), source))
			}
			update(d)
			require.True(t, d.All()["1"].Draining, "%s, %s", name, source)
			require.Equal(t, []Notice{{Life: ready.Life(), Source: source}}, d.TakeNotices(), "%s, %s", name, source)

			d.Put(0, next)
			require.False(t, d.MarkLeaving(0, ready.Life(), source), "what is said of a former life")
			require.Equal(t, map[string]Server{"1": next}, d.All(), "%s, %s", name, source)
		}
	}
}

// Guards against a memory that grows with each server that ever left, and against one
// that forgets a leaving server while it is listed.
func TestLeavingServersAreForgottenWhenTheyAreTooMany(t *testing.T) {
	d := New(maxGap)
	d.Put(0, newServer("listed", 1))
	for i := range 2 * maxLives {
		life := Life{ID: fmt.Sprint(i), Born: 1}
		if i == 0 {
			life.ID = "listed"
		}
		require.True(t, d.MarkLeaving(time.Duration(i), life, SourceAnswer))
	}
	require.LessOrEqual(t, d.lives.count, maxLives)
	require.True(t, d.Leaving(Life{ID: "listed", Born: 1}))
	require.True(t, d.Leaving(Life{ID: fmt.Sprint(2*maxLives - 1), Born: 1}))
	require.False(t, d.Leaving(Life{ID: "1", Born: 1}))
	count := 0
	for _, states := range d.lives.byID {
		count += len(states)
	}
	require.Equal(t, d.lives.count, count)
}

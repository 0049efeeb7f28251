package egress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mbit10 is the slowest link of the deployments, 10 Mbit/s.
const mbit10 = 10e6 / 8

func learned(l *Link, route string, bytes int64) *Link {
	for range 50 {
		l.learn(route, bytes)
	}
	return l
}

// deliver plays a link of its true speed: downloads arrive after their server time and are
// delivered in their order. It returns how many of the admitted ones were late.
func deliver(l *Link, perSecond float64, seconds int, rnd *rand.Rand) (admitted, late, refused int) {
	const target, serverTime = 1500 * time.Millisecond, 200 * time.Millisecond
	type download struct {
		a           *Admission
		start, at   time.Duration
		bytes       int64
		deliveredAt time.Duration
	}
	var pending, held []*download
	var linkFree time.Duration
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += time.Millisecond {
		for rnd.Float64() < perSecond/1000 {
			a, refusal := l.Admit(now, "archive", target, target)
			if refusal != nil {
				refused++
			} else {
				pending = append(pending, &download{a: a, start: now, at: now + serverTime, bytes: min(540_000, int64(rnd.ExpFloat64()*90_000))})
			}
			break
		}
		for len(pending) > 0 && pending[0].at <= now {
			d := pending[0]
			pending = pending[1:]
			l.Arrived(now, d.a, d.bytes, true)
			linkFree = max(linkFree, now) + time.Duration(float64(d.bytes)/mbit10*float64(time.Second))
			d.deliveredAt = linkFree
			held = append(held, d)
		}
		for len(held) > 0 && held[0].deliveredAt <= now {
			d := held[0]
			held = held[1:]
			l.Taken(d.bytes)
			admitted++
			if d.deliveredAt-d.start > target {
				late++
			}
		}
	}
	return admitted, late, refused
}

// A link of 10 Mbit/s can deliver 13.9 downloads of 90 kB a second. Guards against downloads
// that are admitted and arrive late at four times that rate, against a link that stands idle
// meanwhile, and against refusals at half of it.
func TestDownloadsBeyondTheLinkAreRefused(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	admitted, late, refused := deliver(New(Config{BytesPerSecond: mbit10}), 56, 60, rnd)
	require.Less(t, late, admitted/20)
	require.Greater(t, admitted, 60*10, "deliverable: 60*13.9")
	require.Positive(t, refused)
	admitted, late, refused = deliver(New(Config{BytesPerSecond: mbit10}), 7, 60, rnd)
	require.Less(t, late, admitted/50)
	require.Less(t, refused, admitted/50)
}

// Guards against a route whose large responses are never served because one alone takes
// longer than its target, and against reservations that a canceled download leaves.
func TestIdleLinkAdmitsAnyDownload(t *testing.T) {
	l := learned(New(Config{BytesPerSecond: mbit10, MemoryBytes: 1 << 20}), "archive", 4<<20)
	for range 3 {
		a, refusal := l.Admit(0, "archive", time.Second, time.Second)
		require.Nil(t, refusal)
		_, refusal = l.Admit(0, "archive", time.Second, time.Second)
		require.Equal(t, LinkBusy, refusal.Reason)
		l.Cancel(a)
		l.Cancel(a)
	}
	require.Equal(t, State{}, l.State(0))
}

// Small responses take 3 ms of each 10 ms. Guards against a route whose downloads need more than
// their time on an idle link, and are refused whenever another response has just been written.
func TestNearlyIdleLinkAdmitsAnyDownload(t *testing.T) {
	l := learned(New(Config{BytesPerSecond: mbit10, MemoryBytes: 8 << 20}), "archive", 4<<20)
	for i := range 10 {
		now := time.Duration(i) * time.Minute
		for range 100 {
			now += 10 * time.Millisecond
			l.Passed(now, 3400)
		}
		a, refusal := l.Admit(now, "archive", time.Second, time.Second)
		require.Nil(t, refusal)
		l.Cancel(a)
	}
}

// Callers read nothing. Guards against memory that their responses fill, and against a link
// that counts as busy with bytes that it has nothing to do with.
func TestUnreadBytesCountAsHeld(t *testing.T) {
	l := learned(New(Config{BytesPerSecond: 25 * mbit10, MemoryBytes: 4 << 20}), "archive", 500<<10)
	now, admitted := time.Duration(0), 0
	var last *Refusal
	for ; last == nil; now += time.Second {
		a, refusal := l.Admit(now, "archive", time.Second, time.Second)
		if last = refusal; refusal == nil {
			l.Arrived(now, a, 500<<10, true)
			admitted++
		}
	}
	require.Equal(t, DownloadsFull, last.Reason)
	require.InDelta(t, 7, admitted, 1)
	require.Zero(t, l.State(now).Wait)
	l.Taken(500 << 10)
	_, refusal := l.Admit(now, "archive", time.Second, time.Second)
	require.Nil(t, refusal)
}

// Guards against refused callers that return together, and before the link has room.
func TestRefusedCallersReturnAsTheLinkDrains(t *testing.T) {
	l := learned(New(Config{BytesPerSecond: mbit10}), "archive", 90_000)
	l.Passed(0, int64(1.5*usableShare*mbit10)) // 1.5 s of the link
	var former time.Duration
	for i := range 5 {
		_, refusal := l.Admit(0, "archive", time.Second, time.Second)
		require.NotNil(t, refusal)
		require.Greater(t, refusal.RetryAfter, 500*time.Millisecond)
		if i > 0 {
			require.InDelta(t, l.time(90_000), refusal.RetryAfter-former, float64(time.Millisecond))
		}
		former = refusal.RetryAfter
	}
}

// Guards against a small response that waits behind the bytes of downloads, and against
// downloads that are written faster than the link takes them.
func TestDownloadsAreWrittenAtTheSpeedOfTheLink(t *testing.T) {
	l := New(Config{BytesPerSecond: mbit10})
	now, written := time.Duration(0), 0
	for now < time.Second {
		now += l.Write(now, 16<<10)
		written += 16 << 10
	}
	require.InDelta(t, usableShare*mbit10, written, 80<<10)
	wait := l.Write(now, 1<<10)
	require.Less(t, l.writtenAt-now, 80*time.Millisecond, "a small response that ignores its wait of %v finds little before it", wait)
}

// Guards against an estimate that keeps to former sizes, and against a high quantile below the
// large responses.
func TestSizesFollowTheResponses(t *testing.T) {
	l := learned(New(Config{BytesPerSecond: mbit10}), "archive", 10<<10)
	require.InDelta(t, 10<<10, l.expected("archive").Mean, 1)
	for i := range 400 {
		l.learn("archive", int64(50_000+i%10*50_000))
	}
	e := l.expected("archive")
	require.InDelta(t, 275_000, e.Mean, 30_000)
	require.InDelta(t, 500_000, e.High, 100_000)
	require.Equal(t, l.all.mean(), l.expected("unknown").Mean)
}

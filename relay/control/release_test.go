package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/ownership"
)

// blockingGrantClient answers releases at once and lets grants wait until their timeout.
type blockingGrantClient struct {
	ServerClient
	released chan struct{}
}

func (s blockingGrantClient) Grant(ctx context.Context, _ ownership.SendGrant) (ownership.GrantResponse, error) {
	<-ctx.Done()
	return ownership.GrantResponse{}, ctx.Err()
}

func (s blockingGrantClient) Release(context.Context, ownership.SendRelease) (ownership.ReleaseCompleted, error) {
	s.released <- struct{}{}
	return ownership.ReleaseCompleted{Released: true}, nil
}

// Guards against releases that are dropped when many slices of a server move at once, and
// against releases that wait for a grant: their slices were unavailable for 1 s.
func TestReleasesAreNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const moves = 2 * serverRingSize
		servers := blockingGrantClient{released: make(chan struct{}, moves)}
		l := NewLoop(Config{Servers: servers, Now: func() time.Duration { return 0 }})
		ctx, stop := context.WithCancel(t.Context())
		l.ctx = ctx
		l.performEffect(ownership.SendGrant{Server: "a"})
		for range moves {
			l.performEffect(ownership.SendRelease{Server: "a"})
		}
		synctest.Wait()
		require.Len(t, servers.released, moves)
		stop()
		l.workers.Wait()
	})
}

package edge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that reach a server after their caller has left, which happens
// at a host that is behind with its work: it reads a request and the close of its
// connection at once.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	server := startScriptedServer(t, "s1", signedResponse)
	e := newEdge(t, server)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		for _, path := range []string{"/safe/x", "/once/x"} {
			require.True(t, sendRequest(e, left, path).Abort, path)
		}
	}
	require.Zero(t, server.requestCount())
	// The attempts that were not made have returned their slots.
	require.Equal(t, 200, sendRequest(e, context.Background(), "/once/x").Status)
}

package linger

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// openPair returns both ends of a connection, the accepted one by way of a Listener.
func openPair(t *testing.T) (l *Listener, accepted, peer net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	l = NewListener(inner)
	peer, err = net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	require.NoError(t, peer.SetDeadline(time.Now().Add(5*time.Second)))
	accepted, err = l.Accept()
	require.NoError(t, err)
	return l, accepted, peer
}

func requireClosed(t *testing.T, c net.Conn) {
	require.ErrorIs(t, c.(*conn).Conn.SetDeadline(time.Time{}), net.ErrClosed)
}

// Guards against connections that wait for their peer although nothing is on its way.
func TestConnectionWithoutNewsForItsPeerIsClosedAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(accepted *conn, peer net.Conn){
		"nothing written": func(*conn, net.Conn) {},
		"written long ago": func(accepted *conn, _ net.Conn) {
			_, _ = io.WriteString(accepted, "response")
			accepted.deliveredAt = time.Now().Add(-Timeout)
		},
		"closed by the peer": func(accepted *conn, peer net.Conn) {
			_, _ = io.WriteString(accepted, "response")
			_ = peer.Close()
			_, _ = accepted.Read(make([]byte, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, accepted, peer := openPair(t)
			prepare(accepted.(*conn), peer)
			require.NoError(t, accepted.Close())
			requireClosed(t, accepted)
			require.NoError(t, l.Wait(context.Background()))
		})
	}
}

// Guards against a close that blocks its server or a read in progress, and against a peer
// that is not shown the end of the connection before it closes it.
func TestCloseEndsReadsAndWaitsInTheBackground(t *testing.T) {
	l, accepted, peer := openPair(t)
	_, err := io.WriteString(accepted, "response")
	require.NoError(t, err)
	readError := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		readError <- err
	}()
	time.Sleep(10 * time.Millisecond) // the read has begun
	require.NoError(t, accepted.Close())
	require.ErrorIs(t, <-readError, net.ErrClosed)
	require.ErrorIs(t, accepted.Close(), net.ErrClosed)
	require.ErrorIs(t, accepted.SetDeadline(time.Time{}), net.ErrClosed)
	_, err = accepted.Write([]byte("more"))
	require.Error(t, err)
	received, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "response", string(received))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, l.Wait(ctx), context.DeadlineExceeded)
	require.NoError(t, peer.Close())
	require.NoError(t, l.Wait(context.Background()))
	requireClosed(t, accepted)
}

// Guards against a wait that is too short for long responses, or has no bound.
func TestWaitFollowsTheBytesWritten(t *testing.T) {
	_, accepted, peer := openPair(t)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	c := accepted.(*conn)
	_, err := c.Write(make([]byte, 1<<20))
	require.NoError(t, err)
	require.InDelta(t, DeliveryTime(1<<20).Seconds(), time.Until(c.deliveredAt).Seconds(), 1)
	_, err = c.Write(make([]byte, 8<<20))
	require.NoError(t, err)
	require.InDelta(t, DeliveryTime(maxBuffered).Seconds(), time.Until(c.deliveredAt).Seconds(), 1)
}

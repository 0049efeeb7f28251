package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// socketPair returns the two ends of a connection without a network.
func socketPair(t *testing.T) (near, far net.Conn) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	conns := make([]net.Conn, 2)
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "socket")
		conns[i], err = net.FileConn(f)
		require.NoError(t, err)
		require.NoError(t, f.Close())
		t.Cleanup(func() { _ = conns[i].Close() })
	}
	return conns[0], conns[1]
}

// A full server accepts a connection and closes it at once. Guards against a request that is
// written after that and then counts as sent.
func TestClosedNewConnectionIsNotWrittenTo(t *testing.T) {
	near, far := socketPair(t)
	client := NewClientWithDial(func(context.Context, string) (net.Conn, error) { return near, nil })
	x := newExchange("server:80", "a")
	x.BeforeSend = func() error { return far.(*net.UnixConn).CloseWrite() }
	_, err := client.Do(t.Context(), x)
	var failure *Error
	require.True(t, errors.As(err, &failure))
	require.False(t, failure.Sent)
	n, _ := far.Read(make([]byte, 1))
	require.Zero(t, n)
}

package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that the kernel goes on sending after the process has ended
// while the link to the server is cut. A grant that arrives so late is waited for by no
// later leader.
func TestRequestOfAnEndedProcessIsNotSentLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := DialTCP(context.Background(), l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	defer server.Close()
	control := func(f func(fd int) error) {
		raw, err := server.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) { err = f(int(fd)) }))
		require.NoError(t, err)
	}
	dropAll := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K}}
	//lint:ignore SA1019 the named alternative does not attach filters
	control(func(fd int) error { return syscall.AttachLsf(fd, dropAll) })
	_, err = client.Write([]byte("grant"))
	require.NoError(t, err)
	require.NoError(t, client.Close()) // as at the end of the process
	time.Sleep(1500 * time.Millisecond)
	control(func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_DETACH_FILTER, 0) })
	require.NoError(t, server.SetReadDeadline(time.Now().Add(4*time.Second)))
	n, err := server.Read(make([]byte, 16))
	require.Zero(t, n, "the request has arrived")
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

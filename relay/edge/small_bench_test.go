package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

// BenchmarkSmallRequest measures a request with a body of 1,200 bytes, from the caller's
// connection to the server and back. The server and the caller are part of it.
func BenchmarkSmallRequest(b *testing.B) {
	server := listenLocal(b)
	go answerAll(server)
	journal := telemetry.NewJournal(io.Discard, "h", "a")
	defer journal.Close()
	e := New(Options{Host: "h", Zone: "a", Headers: testHeaders, Journal: journal, Client: upstream.NewClient(), Budget: RetryBudget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}})
	e.Configure(routes.Config{Version: 1, Limits: ingress.DefaultLimits, Services: map[string]routes.Service{"s": {Name: "s"}}, Routes: []routes.Route{
		{Name: "once", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, TargetLatency: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}})
	e.SetServers(map[string]directory.Server{"s1": {ID: "s1", Service: "s", Address: server.Addr().String(), Zone: "a", Slots: 2}})
	callers := listenLocal(b)
	go func() { _ = (&ingress.Server{Handler: e.Handle, Limits: e.Limits}).Serve(callers) }()
	c, err := net.Dial("tcp", callers.Addr().String())
	require.NoError(b, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	request := append([]byte("POST /x HTTP/1.1\r\nHost: h\r\nX-Id: a1\r\nX-Deadline: 800\r\nContent-Length: 1200\r\n\r\n"), bytes.Repeat([]byte("o"), 1200)...)
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Write(request)
		require.NoError(b, err)
		r, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, r.StatusCode)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func listenLocal(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	return l
}

// answerAll answers each request with status 200 and its ID.
func answerAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, signedResponse(r))
			}
		}()
	}
}

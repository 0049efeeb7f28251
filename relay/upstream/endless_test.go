package upstream

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/memory"
)

// endlessConn is a connection to a server that answers with bytes which do not end until
// the connection is closed, or after endlessBytes.
type endlessConn struct {
	net.Conn        // nil
	begin    string // sent once
	repeated string // sent again and again after it
	pending  string
	read     int // bytes that the client has read
}

// endlessBytes ends the test, by the end of the connection, if the client has no limit.
const endlessBytes = 48 << 20

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.read >= endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	if c.pending == "" {
		c.pending = c.begin
		if c.begin == "" {
			c.pending = c.repeated
		}
		c.begin = ""
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *endlessConn) Close() error                { return nil }

func exchangeWithEndless(c *endlessConn, bodies *memory.Account) error {
	client := NewClientWithDial(func(context.Context, string) (net.Conn, error) { return c, nil })
	client.Bodies = bodies
	_, err := client.Do(context.Background(), newExchange("server:80", "a"))
	return err
}

// Guards against a server that takes a host over its memory by the head of a response that
// does not end: the parser keeps it until the deadline of the request.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	for name, c := range map[string]*endlessConn{
		"status line":       {begin: "HTTP/1.1 200 ", repeated: "xxxxxxxxxxxxxxxx"},
		"value of a header": {begin: "HTTP/1.1 200 OK\r\nX-Part: ", repeated: "xxxxxxxxxxxxxxxx"},
		"headers":           {begin: "HTTP/1.1 200 OK\r\n", repeated: "X-Part: xxxxxxxx\r\n"},
		"continued lines":   {begin: "HTTP/1.1 200 OK\r\nX-Part: x\r\n", repeated: " xxxxxxxx\r\n"},
		"interim responses": {repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			err := exchangeWithEndless(c, memory.NewAccount(0))
			require.ErrorIs(t, err, ErrHeadTooLarge)
			require.LessOrEqual(t, c.read, MaxResponseHeadBytes)
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent, "the server may have run the request")
		})
	}
}

// Guards against bodies, chunks and trailers of a server that do not end, and against
// bodies that are kept although they belong to no request.
func TestBodiesWithoutEndAreCutOff(t *testing.T) {
	const head, other = "HTTP/1.1 200 OK\r\nX-Id: a\r\n", "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
	for name, test := range map[string]struct {
		conn    endlessConn
		maxRead int // from the connection
	}{
		"body":               {endlessConn{begin: head + "\r\n", repeated: "xxxxxxxxxxxxxxxx"}, MaxResponseBytes},
		"announced body":     {endlessConn{begin: head + "Content-Length: 99999999999\r\n\r\n", repeated: "xxxxxxxxxxxxxxxx"}, 0},
		"chunks":             {endlessConn{begin: head + "Transfer-Encoding: chunked\r\n\r\n", repeated: "10\r\nxxxxxxxxxxxxxxxx\r\n"}, MaxResponseBytes / 16 * 22},
		"size of a chunk":    {endlessConn{begin: head + "Transfer-Encoding: chunked\r\n\r\n10;x=", repeated: "xxxxxxxxxxxxxxxx"}, 0},
		"trailer":            {endlessConn{begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Part: ", repeated: "xxxxxxxxxxxxxxxx"}, 0},
		"trailers":           {endlessConn{begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X-Part: xxxxxxxx\r\n"}, 0},
		"unmatched response": {endlessConn{begin: other + "\r\n", repeated: "xxxxxxxxxxxxxxxx"}, MaxResponseBytes},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := memory.NewAccount(4 << 20)
			err := exchangeWithEndless(&test.conn, bodies)
			require.Error(t, err)
			require.LessOrEqual(t, test.conn.read, test.maxRead+MaxResponseHeadBytes)
			require.Zero(t, bodies.Held())
		})
	}
}

// gatedConn is a connection to a server whose response waits for a gate after a part.
type gatedConn struct {
	endlessConn
	part    int // bytes before the gate
	waiting chan<- struct{}
	gate    <-chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	if c.read >= c.part && c.waiting != nil {
		c.waiting <- struct{}{}
		<-c.gate
		c.waiting = nil
	}
	return c.endlessConn.Read(p)
}

// Guards against servers that together take a host over its memory by bodies of which each
// is within the limit, and against such bodies that leave no room for other responses.
func TestBodiesBeingReadShareTheMemory(t *testing.T) {
	const limit, servers = 8 << 20, 12
	bodies, waiting, gate := memory.NewAccount(limit), make(chan struct{}, servers), make(chan struct{})
	conns := make(chan net.Conn, servers+1)
	client := NewClientWithDial(func(context.Context, string) (net.Conn, error) { return <-conns, nil })
	client.Bodies = bodies
	results := make(chan error, servers)
	for range servers {
		conns <- &gatedConn{endlessConn{begin: "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", repeated: "xxxxxxxxxxxxxxxx"}, 256 << 10, waiting, gate}
		go func() {
			_, err := client.Do(context.Background(), newExchange("server:80", "a"))
			results <- err
		}()
	}
	for range servers {
		<-waiting
	}
	require.GreaterOrEqual(t, bodies.Held(), int64(servers*256<<10))
	require.LessOrEqual(t, bodies.Held(), int64(limit))
	conns <- &endlessConn{begin: responseA}
	_, err := client.Do(context.Background(), newExchange("server:81", "a"))
	require.NoError(t, err, "a small response beside the bodies")
	close(gate)
	for range servers {
		require.ErrorIs(t, <-results, ErrNoMemory)
	}
	require.Zero(t, bodies.Held())
}

package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/linger"
)

// Guards against a caller that loses a part of a response without any trace at the host.
func TestCutOffResponsesAreReported(t *testing.T) {
	reports := make(chan CutOff, 1)
	started, release := make(chan struct{}), make(chan struct{})
	_, address := startServerWith(t, &Server{OnCutOff: func(c CutOff) { reports <- c }, Handler: func(ctx context.Context, r *Request) *Response {
		close(started)
		<-release
		response := bufferedBodyHandler(ctx, r)
		response.Body = make([]byte, 16<<20) // more than the buffers of both ends take
		return response
	}})
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	<-started
	close(release)
	_, err = reader.ReadByte() // the server writes the response
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
	report := <-reports
	require.Equal(t, WriteFailed, report.Reason)
	require.Equal(t, c.LocalAddr().String(), report.Caller)
	require.Equal(t, "/1", report.Request.URL.Path)
	require.Positive(t, report.Written)
	require.Less(t, report.Written, 16<<20)
	require.Error(t, report.Err)
}

// Guards against a caller that never closes its connection, and keeps it open at the host
// without end or any trace.
func TestConnectionThatItsCallerDoesNotCloseIsClosed(t *testing.T) {
	reports := make(chan CutOff, 1)
	_, address := startServerWith(t, &Server{OnCutOff: func(c CutOff) { reports <- c }, Handler: echoHandler})
	c, reader := dial(t, address)
	require.NoError(t, c.SetDeadline(time.Now().Add(2*linger.Timeout)))
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+formatGet("/2"))
	require.NoError(t, err)
	start := time.Now()
	require.True(t, readResponse(t, reader).Close)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, time.Since(start), linger.Timeout/2, "the end of the response is not shown at once")
	report := <-reports
	require.Equal(t, NotClosed, report.Reason)
	require.Equal(t, "/1", report.Request.URL.Path)
	require.EqualValues(t, len(formatGet("/2")), report.Dropped)
	require.InDelta(t, linger.Timeout.Seconds(), time.Since(start).Seconds(), 1)
}

// Guards against a response that is cut off because writing it takes longer than a caller
// may stand still, although the caller reads steadily.
func TestSteadyReaderGetsTheWholeResponse(t *testing.T) {
	const stallTimeout, steps, size = time.Second, 40, 16 << 20
	_, address := startServerWith(t, &Server{writeStallTimeout: stallTimeout, Handler: func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Body: make([]byte, size)}
	}})
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	var received int64
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, response.Body, size/steps)
		received += n
		time.Sleep(stallTimeout / 16)
	}
	require.ErrorIs(t, err, io.EOF, "the response ended after %d bytes", received)
	require.EqualValues(t, size, received)
}

// Guards against a caller that stands still and keeps a response in memory for longer than
// the timeout.
func TestCallerThatStandsStillLosesTheResponse(t *testing.T) {
	reports := make(chan CutOff, 1)
	const stallTimeout = 200 * time.Millisecond
	_, address := startServerWith(t, &Server{OnCutOff: func(c CutOff) { reports <- c }, writeStallTimeout: stallTimeout, Handler: func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Body: make([]byte, 16<<20)}
	}})
	c, _ := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	report := <-reports
	require.Equal(t, WriteTimedOut, report.Reason)
	require.GreaterOrEqual(t, report.Elapsed, stallTimeout)
	require.Less(t, report.Elapsed, 10*time.Second) // at linger.MinRate the response would have 512 s
}

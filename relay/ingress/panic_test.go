package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request whose handler panics and ends the process, with all requests
// that it has passed on.
func TestPanicOfAHandlerEndsItsRequestOnly(t *testing.T) {
	panics := make(chan Panic, 1)
	panicked := make(chan struct{})
	_, address := startServerWith(t, &Server{
		OnPanic: func(p Panic) {
			panics <- p
			close(panicked)
		},
		Handler: func(ctx context.Context, r *Request) *Response {
			if r.URL.Path == "/panic" {
				panic("broken")
			}
			<-panicked // runs meanwhile
			return echoHandler(ctx, r)
		},
	})
	other, otherReader := dial(t, address)
	_, err := io.WriteString(other, formatGet("/other"))
	require.NoError(t, err)
	c, reader := dial(t, address)
	_, err = io.WriteString(c, formatGet("/1")+formatGet("/panic")+formatGet("/3"))
	require.NoError(t, err)

	report := <-panics
	require.Equal(t, "broken", report.Value)
	require.Equal(t, "/panic", report.Request.URL.Path)
	require.Equal(t, c.LocalAddr().String(), report.Caller)
	require.True(t, strings.HasPrefix(report.Stack, "ingress.TestPanicOfAHandlerEndsItsRequestOnly.func"), report.Stack)
	require.Contains(t, report.Stack, "panic_test.go:")

	require.Equal(t, http.StatusOK, readResponse(t, reader).StatusCode)
	response := readResponse(t, reader)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get("Retry-After"))
	response = readResponse(t, reader)
	require.Equal(t, "/3", response.Header.Get("X-Path"))
	require.True(t, response.Close, "the connection of a request that panicked stays open")
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)

	require.Equal(t, "/other", readResponse(t, otherReader).Header.Get("X-Path"))
	_, err = io.WriteString(other, formatGet("/next"))
	require.NoError(t, err)
	require.Equal(t, "/next", readResponse(t, otherReader).Header.Get("X-Path"))
}

// Guards against a request that panicked before it was sent and whose caller must not send it
// again.
func TestPanicBeforeSendingIsARefusal(t *testing.T) {
	_, address := startServerWith(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		r.NotRun = true
		panic("broken")
	}})
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	response := readResponse(t, reader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

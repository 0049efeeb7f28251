package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the output of a response that was read by the headers that were recognized.
func TestResponseWithInvalidHeadIsAFailure(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Trace : 1\r\nContent-Length: 2\r\n\r\n{}")
	}))
	defer host.Close()
	var out, errOut bytes.Buffer
	code := Run(context.Background(), []string{"parsleyctl", "--entry-hosts", host.URL, "status"}, strings.NewReader(""), &out, &errOut)
	require.NotZero(t, code, out.String())
	require.Contains(t, errOut.String(), "invalid field name")
	require.Empty(t, out.String())
}

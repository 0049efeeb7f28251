package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a head that a server reads otherwise than this host: a blank behind the name of
// a header, a line end or another control character in a value would add headers or a body to
// the request that is passed on.
func TestHeadsThatServersMayReadOtherwiseAreRefused(t *testing.T) {
	for _, header := range []string{"Transfer-Encoding : chunked", "X : a", "X: a\rY: b", "X: a\x00", "X\r: a", "Host: h\rx: y"} {
		t.Run(fmt.Sprintf("%q", header), func(t *testing.T) {
			_, address := startServer(t, func(context.Context, *Request) *Response {
				t.Error("the request was handled")
				return &Response{Status: http.StatusOK}
			})
			c, reader := dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n\r\n")
			require.NoError(t, err)
			response := readResponse(t, reader)
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

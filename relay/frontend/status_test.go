package frontend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
)

// Guards against a panic by a stored response that a former home has sent, and against a final
// response that is written as an interim one.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 101, 103, 600, 1000} {
		w := httptest.NewRecorder()
		writeResponse(w, &Response{Status: status, Body: io.NopCloser(strings.NewReader("x")), ContentLength: 1, Outcome: callerapi.OutcomeDone}, "r")
		require.Equal(t, http.StatusBadGateway, w.Code, status)
		require.Equal(t, string(callerapi.OutcomeUnknown), w.Header().Get(callerapi.HeaderOutcome))
	}
}

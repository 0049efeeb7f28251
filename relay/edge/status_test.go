package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Servers answer with a status that HTTP does not define, or with 101. Guards against such a
// status that reaches the caller, and against an order that is sent again after it.
func TestInvalidStatusCountsAsSentAndUnanswered(t *testing.T) {
	for _, status := range []int{0, 12, 101, 600, 999} {
		synctest.Test(t, func(t *testing.T) {
			var out strings.Builder
			var sent atomic.Int32
			answer := func(r *http.Request) string {
				if sent.Add(1) > 1 {
					return signedResponse(r)
				}
				return fmt.Sprintf("HTTP/1.1 %03d X\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("X-Id")) + signedResponse(r)
			}
			e := newVirtualEdge(t, &out, answer, "s1", "s2")
			require.Equal(t, http.StatusOK, sendRequest(e, context.Background(), "/safe/x").Status, status)
			require.EqualValues(t, 2, sent.Load(), "an idempotent request is tried at another server")
			sent.Store(0)
			require.Equal(t, http.StatusBadGateway, sendRequest(e, context.Background(), "/once/x").Status, status)
			require.EqualValues(t, 1, sent.Load(), "an order is sent once")
		})
	}
}

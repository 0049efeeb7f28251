package backend

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/relay/responsecheck"
)

// Guards against a status that makes http.ResponseWriter.WriteHeader panic, and against a
// control call whose context does not end it because its response requests an upgrade.
func TestInvalidStatusIsAnUnknownOutcome(t *testing.T) {
	for _, status := range []string{"000", "012", "101", "600", "999"} {
		text := "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
		url, _ := scriptedServer(t, text, text)
		client := newClient(t, url, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, err := client.Do(ctx, &Request{Method: "GET", Path: "/x"})
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown, "status %s, response %+v", status, response)
		start := time.Now()
		_, err = client.Probe(ctx)
		require.ErrorIs(t, err, &responsecheck.StatusError{}, status)
		require.Less(t, time.Since(start), 5*time.Second, status)
		cancel()
	}
}

// Guards against a response, to a request, a grant or a probe, whose body was read by the
// headers that were recognized.
func TestInvalidHeadIsAnUnknownOutcome(t *testing.T) {
	for _, line := range []string{"X-Tr ace: 1", "X-Trace : 1", "Content-Encoding : gzip"} {
		text := "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}"
		url, requestsRead := scriptedServer(t, text, text, text)
		client := newClient(t, url, 1)
		response, err := client.Do(t.Context(), &Request{Method: "GET", Path: "/x"})
		var unknown *UnknownOutcomeError
		require.ErrorAs(t, err, &unknown, "%s, response %+v", line, response)
		var failure *responsecheck.HeadError
		require.ErrorAs(t, err, &failure)
		_, err = client.Probe(t.Context())
		require.ErrorAs(t, err, &failure)
		_, err = client.Grant(t.Context(), serverapi.Grant{})
		require.ErrorAs(t, err, &failure)
		require.EqualValues(t, 3, requestsRead.Load(), "sent again")
	}
}

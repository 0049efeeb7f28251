package backend

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/statuscheck"
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
		require.ErrorIs(t, err, &statuscheck.Error{}, status)
		require.Less(t, time.Since(start), 5*time.Second, status)
		cancel()
	}
}

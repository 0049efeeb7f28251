package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"parsleyrelay.example/api/operatorapi"
)

// Guards against a watch that repeats or skips changes when its connection
// breaks in the middle of the stream.
func TestWatchResumesFromTheLastOffset(t *testing.T) {
	startHost := func(serve func(w http.ResponseWriter, r *http.Request)) string {
		server := httptest.NewServer(http.HandlerFunc(serve))
		t.Cleanup(server.Close)
		return server.URL
	}
	resumedFrom := ""
	hostURLs := []string{
		startHost(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintln(w, `{"type":"put","offset":5}`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}),
		startHost(func(w http.ResponseWriter, r *http.Request) {
			resumedFrom = r.URL.Query().Get("from")
			fmt.Fprintln(w, `{"type":"put","offset":6}`)
		}),
	}
	errEnoughEvents := errors.New("enough")
	var offsets []uint64
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := New(Config{Hosts: hostURLs, AttemptTimeout: time.Second, HTTPClient: http.DefaultClient}).Watch(ctx, 4, func(e operatorapi.WatchEvent) error {
		if offsets = append(offsets, e.Offset); len(offsets) == 2 {
			return errEnoughEvents
		}
		return nil
	})
	assert.ErrorIs(t, err, errEnoughEvents)
	assert.Equal(t, []uint64{5, 6}, offsets)
	assert.Equal(t, "5", resumedFrom)
}

package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
)

// maxWatchLineBytes bounds one event; a resync event holds all resources.
const maxWatchLineBytes = 64 << 20

// errWatchSilent reports a watch on which not even progress events arrive.
var errWatchSilent = errors.New("the watch went silent")

// Watch calls handle for each event until ctx ends or handle returns an error.
// When a host fails, it resumes at the next host from the last offset handled.
// If from is negative, the watch starts with the list of all resources. Watch
// fails when every host was tried and none sent an event.
func (c *Client) Watch(ctx context.Context, from int64, handle func(operatorapi.WatchEvent) error) error {
	w := &watcher{client: c, lastOffset: from, handle: handle}
	for {
		countBefore := w.eventCount
		var failures []error
		for _, host := range c.cfg.Hosts {
			err := w.readEvents(ctx, host)
			if ctx.Err() != nil {
				return nil
			}
			if w.handlerErr != nil {
				return w.handlerErr
			}
			failures = append(failures, fmt.Errorf("%s: %w", host, err))
		}
		if w.eventCount == countBefore {
			return exit.Errorf(exit.Failure, "no entry host serves the watch: %w", errors.Join(failures...))
		}
		sleepContext(ctx, retryInterval)
	}
}

// watcher is the state of a watch across connections to several hosts.
type watcher struct {
	client     *Client
	lastOffset int64 // offset to resume after; negative starts with the list of all resources
	eventCount int
	handle     func(operatorapi.WatchEvent) error
	handlerErr error
}

// readEvents reads events from one host until the connection ends. A host sends
// progress events when nothing changes, so a connection without any event for
// silenceLimit is closed.
func (w *watcher) readEvents(ctx context.Context, host string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(w.silenceLimit(), func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	path := "/v1/watch"
	if w.lastOffset >= 0 {
		path = fmt.Sprintf("%s?from=%d", path, w.lastOffset)
	}
	resp, err := w.client.sendRequest(ctx, http.MethodGet, host, path, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return errorFromResponse(host, resp.StatusCode, data)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxWatchLineBytes)
	for scanner.Scan() {
		silenceTimer.Reset(w.silenceLimit())
		var e operatorapi.WatchEvent
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return err
		}
		if err := w.handle(e); err != nil {
			w.handlerErr = err
			return err
		}
		w.eventCount++
		w.lastOffset = int64(e.Offset)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// silenceLimit leaves room for two progress events, which hosts send every 5 s. It
// is at least AttemptTimeout, since the time to connect counts too.
func (w *watcher) silenceLimit() time.Duration {
	return max(w.client.cfg.AttemptTimeout, 12*time.Second)
}

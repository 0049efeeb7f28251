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

// maxWatchLine bounds one event; a resync event holds all resources.
const maxWatchLine = 64 << 20

// errSilent reports a watch without even progress events.
var errSilent = errors.New("the watch went silent")

// Watch calls handle for each event until ctx ends or handle returns an error.
// When a host fails, it resumes at the next host from the last offset handled.
// from < 0 starts with the list of all resources. It fails when a whole round
// over the hosts brings no event.
func (c *Client) Watch(ctx context.Context, from int64, handle func(operatorapi.WatchEvent) error) error {
	w := &watcher{c: c, position: from, handle: handle}
	for {
		before := w.events
		var failures []error
		for _, host := range c.cfg.Hosts {
			err := w.follow(ctx, host)
			if ctx.Err() != nil {
				return nil
			}
			if w.stopped != nil {
				return w.stopped
			}
			failures = append(failures, fmt.Errorf("%s: %w", host, err))
		}
		if w.events == before {
			return exit.Errorf(exit.Failure, "no entry host serves the watch: %w", errors.Join(failures...))
		}
		pause(ctx, settleInterval)
	}
}

type watcher struct {
	c        *Client
	position int64
	events   int
	handle   func(operatorapi.WatchEvent) error
	stopped  error
}

// follow reads events from one host until that ends. A host sends progress in
// idle times, so a connection that is silent for the timeout is given up.
func (w *watcher) follow(ctx context.Context, host string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(w.silenceLimit(), func() { cancel(errSilent) })
	defer silence.Stop()
	path := "/v1/watch"
	if w.position >= 0 {
		path = fmt.Sprintf("%s?from=%d", path, w.position)
	}
	resp, err := w.c.send(ctx, http.MethodGet, host, path, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return problemOf(host, resp.StatusCode, data)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLine)
	for lines.Scan() {
		silence.Reset(w.silenceLimit())
		var e operatorapi.WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return err
		}
		if err := w.handle(e); err != nil {
			w.stopped = err
			return err
		}
		w.events++
		w.position = int64(e.Offset)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// silenceLimit leaves room for two progress events, which come every 5 s.
func (w *watcher) silenceLimit() time.Duration {
	return max(w.c.cfg.AttemptTimeout, 12*time.Second)
}

package edge

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/upstream"
)

// This file reads what servers say of themselves in their responses: that they leave, and
// that they want no requests from this host for a while. Every complete response counts,
// whatever its status and whether or not it is passed on.

const (
	// maxPause bounds the pause that a server can ask for. A longer one is more likely a
	// damaged header, and would take a server out of use for as long as its life lasts.
	maxPause = 24 * time.Hour
	// pauseStep is the unit to which the end of a pause is rounded up. Requests in flight are
	// refused together and ask for nearly the same end, which then changes once.
	pauseStep = 100 * time.Millisecond
	// maxLoggedValue bounds the bytes of a header value in the log.
	maxLoggedValue = 64
)

// Signal is what a response said of the life of the server that gave it.
type Signal struct {
	Life        directory.Life
	Leaving     bool
	PausedUntil time.Duration // by Options.Now; 0 if the server asked for no pause
	Limited     bool          // the server asked for a pause beyond maxPause
	Cold        bool          // the server answered after it could not be reached, and may be cold
}

// readSignals reports what a response says of its server to Options.OnSignal, unless it is
// known already.
func (c *callerRequest) readSignals(s dispatch.Server, r *upstream.Response) {
	headers := c.edge.options.Headers
	leaving, retryAfter := r.Header.Values(headers.ServerLeaving), r.Header.Values(headers.RetryAfter)
	if r.Status != http.StatusServiceUnavailable {
		retryAfter = nil // meant for the caller
	}
	if len(leaving) == 0 && len(retryAfter) == 0 {
		return
	}
	if found := r.Header.Get(headers.ServerID); found != "" && found != s.ID {
		c.logIgnoredSignal(s, r, "another_server", found)
		return
	}
	signal := Signal{Life: directory.Life{ID: s.ID, Born: s.Born}}
	if len(leaving) > 0 {
		var valid bool
		if signal.Leaving, valid = parseLeaving(leaving); !valid {
			c.logIgnoredSignal(s, r, "leaving_not_readable", strings.Join(leaving, ", "))
		}
	}
	if len(retryAfter) > 0 {
		pause, valid := parseRetryAfter(retryAfter, r.Header.Get("Date"))
		if !valid {
			c.logIgnoredSignal(s, r, "retry_after_not_readable", strings.Join(retryAfter, ", "))
		}
		signal.Limited = pause > maxPause
		if pause > 0 {
			until := c.edge.options.Now() + min(pause, maxPause)
			signal.PausedUntil = (until + pauseStep - 1) / pauseStep * pauseStep
		}
	}
	if c.edge.options.OnSignal != nil && c.edge.isNews(signal) {
		c.edge.options.OnSignal(signal)
	}
}

// isNews reports whether the list of servers does not reflect a signal.
func (e *Edge) isNews(signal Signal) bool {
	s, known := e.knownServers()[signal.Life.ID]
	if !known || s.Life() != signal.Life {
		return signal.Leaving || signal.PausedUntil > 0
	}
	return signal.Leaving && !s.Draining || signal.PausedUntil > s.PausedUntil
}

// logIgnoredSignal logs that a response was not used to learn of its server.
func (c *callerRequest) logIgnoredSignal(s dispatch.Server, r *upstream.Response, reason, value string) {
	c.edge.options.Journal.LogRoutineEvent(event.SignalIgnored, "server", s.ID, "born", s.Born, "source", directory.SourceAnswer, "reason", reason,
		"value", value[:min(len(value), maxLoggedValue)], "status", r.Status, "request_id", c.requestID)
}

// parseLeaving reports whether one of the values of the header says that the server leaves.
// valid is false if one says something unknown.
func parseLeaving(values []string) (leaving, valid bool) {
	valid = true
	for _, v := range values {
		for _, item := range strings.Split(v, ",") {
			switch strings.TrimSpace(item) {
			case "1":
				leaving = true
			case "0":
			default:
				valid = false
			}
		}
	}
	return leaving, valid
}

// parseRetryAfter returns the longest pause of the values of the header, 0 if there is none.
// valid is false if one of the values could not be used.
func parseRetryAfter(values []string, date string) (longest time.Duration, valid bool) {
	valid = true
	for _, v := range values {
		pause, ok := parsePause(strings.TrimSpace(v), date)
		longest, valid = max(longest, pause), valid && ok
	}
	return longest, valid
}

// parsePause returns the pause of one value, which is a number of seconds with or without a
// fraction, or a date. A date counts from that of the response, because the clocks of the
// hosts may differ. Pauses that are too long for a time.Duration are cut.
func parsePause(value, date string) (pause time.Duration, valid bool) {
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			return 0, false
		}
		const longest = 2 * maxPause
		return time.Duration(min(seconds, longest.Seconds()) * float64(time.Second)), true
	}
	end, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	sent, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return max(0, end.Sub(sent)), true
}

// placementError says why a request must not be sent to the server that was selected for
// it. It is the cause by which such requests are counted.
type placementError string

// Error implements error.
func (e placementError) Error() string { return "request not sent: " + string(e) }

const (
	errServerGone      placementError = "server_gone"
	errServerRestarted placementError = "server_restarted" // the server has started again since
	errServerLeaves    placementError = "server_leaves"
	errServerPaused    placementError = "server_paused" // the server wants no requests from this host now
	errServerEvacuated placementError = "server_evacuated"
	errServerCold      placementError = "server_cold" // the server has become cold, and the request has no permit
	errPermitExpired   placementError = "permit_expired"
)

// temporary reports whether the server may get the request later.
func (e placementError) temporary() bool {
	return e == errServerPaused || e == errServerCold || e == errPermitExpired
}

// checkPlacement returns an error if a request must not be sent to a server any more, by
// what has become known since the server was selected.
func (e *Edge) checkPlacement(selected dispatch.Server) error {
	s, known := e.knownServers()[selected.ID]
	switch {
	case !known:
		return errServerGone
	case s.Born != selected.Born:
		return errServerRestarted
	case s.Draining:
		return errServerLeaves
	case s.Evacuated:
		return errServerEvacuated
	case s.PausedUntil > e.options.Now():
		return errServerPaused
	}
	return nil
}

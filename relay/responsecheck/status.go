package responsecheck

import (
	"errors"
	"fmt"
	"net/http"
)

// The bounds of the statuses that HTTP defines (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError reports a response whose status HTTP does not define, or 101 although no
// request asks for an upgrade.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	if e.Status == http.StatusSwitchingProtocols {
		return "response with status 101, but no upgrade was requested"
	}
	return fmt.Sprintf("response with the invalid status %03d", e.Status)
}

// Is makes errors.Is match any StatusError with the zero StatusError.
func (e *StatusError) Is(target error) bool {
	t, ok := target.(*StatusError)
	return ok && (t.Status == 0 || t.Status == e.Status)
}

// checkStatus returns a *StatusError if a client that requests no upgrade cannot use a status.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &StatusError{Status: status}
	}
	return nil
}

// IsFault reports whether an error is that of a response that this package rejects.
func IsFault(err error) bool {
	var head *HeadError
	var status *StatusError
	return errors.As(err, &head) || errors.As(err, &status)
}

// IsFinal reports whether a status is one of a final response, which
// http.ResponseWriter.WriteHeader accepts and does not take for an interim one.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

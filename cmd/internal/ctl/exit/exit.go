// Package exit defines the exit codes of parsleyctl and the error that carries one.
package exit

import (
	"errors"
	"fmt"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/finding"
)

// The exit codes.
const (
	OK             = 0
	Failure        = 1 // a change was certainly not accepted, or a query had no response
	BadInput       = 2 // arguments, settings or manifests are invalid
	Conflict       = 3 // another change was applied first, or the resource is in use
	OutcomeUnknown = 4 // a change may or may not take effect
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an Error with a formatted cause.
func Errorf(code int, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// FindingsError returns an Error with code BadInput that lists the findings, or
// nil if there are none.
func FindingsError(list finding.List) error {
	if len(list) == 0 {
		return nil
	}
	return &Error{Code: BadInput, Err: list}
}

// FindingsFromAPI converts the findings in a response of the operator API.
func FindingsFromAPI(list []operatorapi.Finding) finding.List {
	var out finding.List
	for _, f := range list {
		out = append(out, finding.Finding(f))
	}
	return out
}

// CodeOf returns the exit code for an error.
func CodeOf(err error) int {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Failure
}

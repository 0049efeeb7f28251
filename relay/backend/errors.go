package backend

import (
	"fmt"

	"parsleyrelay.example/api/serverapi"
)

// NotSentError reports a request of which nothing was written to a connection.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// RefusedError reports a request that the server refused under its fence, so
// that it did not run.
type RefusedError struct{ Refusal serverapi.Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "server refused the request: " + string(e.Refusal) }

// UnknownOutcomeError reports a request that the server may have run.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "request may have run: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// TruncatedResponseError is what the reader of a response gets when its body ends early.
type TruncatedResponseError struct{ Err error }

// Error implements error.
func (e *TruncatedResponseError) Error() string { return "response cut: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Err }

// ProtocolError reports a response that cannot be used.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "bad response of the server: " + e.Problem }

// StatusError reports a status other than 200 of a control call.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("server answered with status %d", e.Status) }

// sealedError is what a write to a connection gets after its request was
// declared not sent.
type sealedError struct{}

func (sealedError) Error() string { return "connection sealed after a failed request" }

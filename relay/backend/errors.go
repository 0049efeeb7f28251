package backend

import (
	"fmt"

	"parsleyrelay.example/api/serverapi"
)

// NotSentError reports a request of which no byte was written to a connection.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// RefusedError reports a request that the server refused for one of the reasons of
// serverapi.Refusal, without running it.
type RefusedError struct{ Refusal serverapi.Refusal }

// Error implements error.
func (e *RefusedError) Error() string { return "server refused the request: " + string(e.Refusal) }

// UnknownOutcomeError reports a request that the server may have run.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "request may have run: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// TruncatedResponseError is returned when the body of a response ends early.
type TruncatedResponseError struct{ Err error }

// Error implements error.
func (e *TruncatedResponseError) Error() string { return "response truncated: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Err }

// ProtocolError reports an invalid response or address of a server.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "invalid server response or address: " + e.Problem }

// StatusError reports a control call that was answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("server answered with status %d", e.Status) }

// sealedError is returned by writes to a connection after its request was reported
// as not sent.
type sealedError struct{}

func (sealedError) Error() string { return "connection rejects writes after a failed request" }

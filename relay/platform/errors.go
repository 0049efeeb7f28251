package platform

import "fmt"

// AppendRefusedError reports an append that certainly had no effect: no connection was
// obtained, or the service answered with a 4xx status.
type AppendRefusedError struct{ Err error }

// Error implements error.
func (e *AppendRefusedError) Error() string { return "append refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AppendRefusedError) Unwrap() error { return e.Err }

// AppendOutcomeUnknownError reports an append that may have taken effect. Whether it did
// shows once the log has been read further, by the id of the record.
type AppendOutcomeUnknownError struct{ Err error }

// Error implements error.
func (e *AppendOutcomeUnknownError) Error() string {
	return "append outcome unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AppendOutcomeUnknownError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
	Text   string // start of the response body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform responded with status %d: %s", e.Status, e.Text)
}

// ProtocolError reports a response that violates the API of the platform.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "invalid response of the platform: " + e.Problem }

// TopicError reports a topic other than Topic.
type TopicError struct{ Topic string }

// Error implements error.
func (e *TopicError) Error() string { return fmt.Sprintf("unknown topic %q", e.Topic) }

// ClosedError reports the use of a closed publisher or subscriber.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "platform log client is closed" }

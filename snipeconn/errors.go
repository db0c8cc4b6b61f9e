package snipeconn

import "fmt"

// Cause is the kind of a failure, as logs and metrics name it.
type Cause string

// Causes of failures.
const (
	// CauseDial means that no connection could be opened.
	CauseDial Cause = "dialFailed"
	// CauseLost means that the connection broke before a complete answer.
	CauseLost Cause = "connectionLost"
	// CauseTimeout means that the deadline passed.
	CauseTimeout Cause = "timeout"
	// CauseCancelled means that the context was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseMalformed means that the bytes received are not an answer.
	CauseMalformed Cause = "malformedAnswer"
	// CauseTooLong means that the head or the body of the answer passed its bound.
	CauseTooLong Cause = "answerTooLong"
)

// Error is a request without a complete answer.
type Error struct {
	// Begun says whether the target can have begun the request. If it is false,
	// the target has not and never will.
	Begun bool
	// Cause is the kind of the failure.
	Cause Cause
	// Reused says whether the request went over a kept connection.
	Reused bool
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	state := "not begun"
	if e.Begun {
		state = "can have begun"
	}
	return fmt.Sprintf("%s (%s): %v", e.Cause, state, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

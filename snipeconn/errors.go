package snipeconn

import (
	"fmt"
	"net/http"
)

// Cause is the kind of a failure, as written to logs and metrics.
type Cause string

// Causes of failures.
const (
	// CauseDial means that no connection could be opened.
	CauseDial Cause = "dialFailed"
	// CauseWithdrawn means that Request.Confirm returned an error.
	CauseWithdrawn Cause = "withdrawn"
	// CauseConnectionLost means that the connection broke before the response
	// was complete.
	CauseConnectionLost Cause = "connectionLost"
	// CauseTimeout means that the deadline passed.
	CauseTimeout Cause = "timeout"
	// CauseCancelled means that the context was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseMalformed means that the received bytes are not a valid response.
	CauseMalformed Cause = "malformedAnswer"
	// CauseResponseTooLong means that the head or the body of the response
	// exceeded its size limit.
	CauseResponseTooLong Cause = "answerTooLong"
)

// Error reports a request that got no complete response.
type Error struct {
	// MayHaveBegun reports whether the target may have begun to execute the
	// request. If it is false, the target has not and never will.
	MayHaveBegun bool
	// Cause is the kind of the failure.
	Cause Cause
	// Reused reports whether the request was sent on a reused connection.
	Reused bool
	// Status and Header are those of the response if it broke off after its head, and
	// otherwise zero and nil.
	Status int
	Header http.Header
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	state := "not begun"
	if e.MayHaveBegun {
		state = "may have begun"
	}
	return fmt.Sprintf("%s (%s): %v", e.Cause, state, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

package snipestore

import (
	"errors"
	"fmt"
)

// The kinds of errors. Each error of a call wraps one of them.
var (
	// ErrConflict means that the key has another version than expected.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that there is no such key.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the store gave no usable answer. A write
	// with this error had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnclear means that a write was or may have been sent, but its answer
	// is not known. It may have taken effect or take effect later.
	ErrUnclear = errors.New("outcome of write unclear")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrBudget means that the call budget is spent and nothing was sent.
	ErrBudget = errors.New("call budget spent")
	// ErrTooLarge means that a value or an answer is larger than permitted.
	ErrTooLarge = errors.New("too large")
)

// CallError is the error of a call.
type CallError struct {
	call   Call
	name   string
	kind   error
	cause  error
	status int
}

// Error names the call, the key or lease, and the reason.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s %s: %s", e.call, e.name, e.kind)
	if e.status != 0 {
		text += fmt.Sprintf(" (status %d)", e.status)
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the kind of the error and its cause, if known.
func (e *CallError) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}

// Status returns the status of the store's answer, or 0 without an answer.
func (e *CallError) Status() int { return e.status }

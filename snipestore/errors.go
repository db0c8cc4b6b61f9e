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
	// ErrUnavailable means that the store gave no usable response. A write
	// with this error had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may have been sent, but its response
	// is not known. The write may have taken effect or may take effect later.
	ErrOutcomeUnknown = errors.New("outcome of write unclear")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrBudget means that the call budget is exhausted and nothing was sent.
	ErrBudget = errors.New("call budget exhausted")
	// ErrTooLarge means that a value or a response exceeds its size limit.
	ErrTooLarge = errors.New("too large")
)

// CallError is the error of a call.
type CallError struct {
	call Call
	// name is the key, prefix, lease or TTL of the call.
	name string
	// kind is one of the error values of this package.
	kind   error
	cause  error
	status int
}

// Error returns the call, its key, prefix, lease or TTL, the kind of the error,
// the status of the response and the cause.
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

// Unwrap returns the kind of the error, which is one of the error values of this
// package, and its cause, if known.
func (e *CallError) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}

// Status returns the HTTP status of the response, or 0 without a response.
func (e *CallError) Status() int { return e.status }

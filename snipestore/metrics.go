package snipestore

import (
	"errors"
	"sync/atomic"
	"time"
)

// Call is a kind of call to the store.
type Call int

// The kinds of calls.
const (
	CallGet Call = iota
	CallList
	CallPut
	CallDelete
	CallGrant
	CallRenew
	CallRevoke
	CallWatch
	callCount
)

// Calls returns all kinds of calls.
func Calls() []Call {
	return []Call{CallGet, CallList, CallPut, CallDelete, CallGrant, CallRenew, CallRevoke, CallWatch}
}

// String returns the name of the call, as used for label values.
func (c Call) String() string {
	names := [callCount]string{"get", "list", "put", "delete", "grant", "renew", "revoke", "watch"}
	if c < 0 || c >= callCount {
		return "unknown"
	}
	return names[c]
}

// isWrite reports whether the call can change data in the store.
func (c Call) isWrite() bool {
	return c != CallGet && c != CallList && c != CallWatch
}

// Result is the result of a call.
type Result int

// The results of calls. Except ResultOK, each corresponds to the error value with
// the same suffix.
const (
	ResultOK Result = iota
	ResultConflict
	ResultNotFound
	ResultUnavailable
	ResultUnclear
	ResultLeaseExpired
	ResultBudget
	ResultTooLarge
	resultCount
)

// Results returns all results.
func Results() []Result {
	return []Result{
		ResultOK, ResultConflict, ResultNotFound, ResultUnavailable,
		ResultUnclear, ResultLeaseExpired, ResultBudget, ResultTooLarge,
	}
}

// String returns the name of the result, as used for label values.
func (r Result) String() string {
	names := [resultCount]string{
		"ok", "conflict", "notFound", "unavailable", "unclear", "leaseExpired", "budget", "tooLarge",
	}
	if r < 0 || r >= resultCount {
		return "unknown"
	}
	return names[r]
}

// resultOf returns the result that an error stands for, ResultUnavailable for an
// unknown one.
func resultOf(err error) Result {
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, ErrConflict):
		return ResultConflict
	case errors.Is(err, ErrNotFound):
		return ResultNotFound
	case errors.Is(err, ErrOutcomeUnknown):
		return ResultUnclear
	case errors.Is(err, ErrLeaseExpired):
		return ResultLeaseExpired
	case errors.Is(err, ErrBudget):
		return ResultBudget
	case errors.Is(err, ErrTooLarge):
		return ResultTooLarge
	default:
		return ResultUnavailable
	}
}

// Observer receives the result of each call, for metrics. Its method must be safe
// for concurrent use.
type Observer interface {
	// ObserveCall is called after each attempt of a call, also if nothing was sent
	// because of the call budget or the size of a value.
	ObserveCall(call Call, result Result, duration time.Duration)
}

// counters holds the number of calls by kind and result.
type counters [callCount][resultCount]atomic.Uint64

// Count returns how many calls of a kind have ended with a result. Each retry of
// a read counts as a call.
func (c *Client) Count(call Call, result Result) uint64 {
	return c.counts[call][result].Load()
}

// observe counts a call and reports it to the Observer.
func (c *Client) observe(call Call, err error, duration time.Duration) {
	result := resultOf(err)
	c.counts[call][result].Add(1)
	if c.settings.Observer != nil {
		c.settings.Observer.ObserveCall(call, result, duration)
	}
}

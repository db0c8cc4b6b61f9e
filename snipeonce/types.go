package snipeonce

import (
	"time"
)

// Outcome states whether a request ran.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request ran and its target responded.
	OutcomeDone
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
)

// String returns the outcome as the value of the header Snipemoor-Outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason is the cause of a refusal, as the value of a metric label.
type Reason string

// Reasons of refusals and of unknown outcomes.
const (
	ReasonBadRequestID          Reason = "badRequestId"
	ReasonStopping              Reason = "stopping"
	ReasonIssuerUnreachable     Reason = "issuerUnreachable"
	ReasonIdentifierExpired     Reason = "identifierExpired"
	ReasonRecordsFull           Reason = "recordsFull"
	ReasonClaimStoreUnavailable Reason = "claimStoreUnavailable"
	ReasonClaimBudget           Reason = "claimBudget"
	ReasonDeadline              Reason = "deadline"
)

// Header is one header field of a response.
type Header struct {
	Name   string
	Values []string
}

// Response is the complete response of a target. It must not be changed once it is
// stored.
type Response struct {
	Status  uint32
	Headers []Header
	Body    []byte
}

// size returns the bytes that count towards Settings.MaxBytes for the
// response; 0 for nil.
func (a *Response) size() int {
	if a == nil {
		return 0
	}
	// structOverhead is the accounted size, in bytes, of a response or of a header
	// field without its texts.
	const structOverhead = 96
	n := structOverhead + len(a.Body)
	for _, h := range a.Headers {
		n += structOverhead + len(h.Name)
		for _, v := range h.Values {
			n += 16 + len(v)
		}
	}
	return n
}

// Result is the final result of a request.
type Result struct {
	Outcome Outcome
	// Reason is empty for OutcomeDone.
	Reason Reason
	// Response is the response of the target. It is nil unless Outcome is
	// OutcomeDone, and also nil if the response was too large to keep.
	Response *Response
}

// Action states what the receiver of a Decision does with the request.
type Action uint8

// Actions of a Decision.
const (
	// Started permits the caller of Begin to run the request once.
	Started Action = iota + 1
	// Joined means that the request is already running. Table.Finish or Table.Tick
	// returns the waiter when it ends.
	Joined
	// Stored means that the request has already ended with Decision.Result.
	Stored
	// RelayTo means that the request must be relayed to Decision.Incarnation.
	RelayTo
	// Refused means that this call does not start the request; Decision.Result
	// holds the outcome and the reason.
	Refused
)

// Decision is the result of Table.Begin. Incarnation is set for RelayTo, Result
// for Stored and Refused.
type Decision struct {
	Action      Action
	Incarnation string
	Result      Result
}

// Waiter identifies one call that waits for the result of a running request. The
// value is chosen by the caller of Table.Begin.
type Waiter uint64

// State is the state of a request or attempt, as reported to another instance.
type State uint8

// States.
const (
	// StateUnknown means that it may or may not have run.
	StateUnknown State = iota
	// NeverStarted means that it has not run and can never start.
	NeverStarted
	// Running means that it is running.
	Running
	// Finished means that it has ended with a result.
	Finished
)

// Status is the reply to a status query or a revocation.
type Status struct {
	State State
	// Result is set for Finished. For NeverStarted and StateUnknown it is set if
	// the request has ended, and empty otherwise.
	Result Result
}

// Settings configures a Table. The zero value of a field selects its default.
type Settings struct {
	// StartWindow is how long after the issue of its identifier a request can
	// start (default 10 s, twice the time to live of a look-up).
	StartWindow time.Duration
	// Retention is how long a record is kept after the start of its request,
	// after the deadline and after the end, whichever is latest (default 90 s).
	// It must exceed the longest request timeout plus the time for which callers
	// cache an identifier prefix. A value below StartWindow is raised to it.
	Retention time.Duration
	// MaxBytes bounds the accounted memory of all records, in bytes (default
	// 16 MiB).
	MaxBytes int
	// MaxResponseBytes bounds the stored response of one record, in bytes (default
	// 64 KiB).
	MaxResponseBytes int
	// MaxClosedIDs is the number of identifiers closed without a record that are
	// kept one by one (default 20,000). Above it, all identifiers issued so far
	// are closed.
	MaxClosedIDs int
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.StartWindow, 10*time.Second)
	setDefault(&s.Retention, 90*time.Second)
	setDefault(&s.MaxBytes, 16<<20)
	setDefault(&s.MaxResponseBytes, 64<<10)
	setDefault(&s.MaxClosedIDs, 20000)
	s.Retention = max(s.Retention, s.StartWindow)
	return s
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

package snipeonce

import (
	"time"
)

// Outcome tells a caller whether its request ran.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request ran and was answered.
	OutcomeDone
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
)

// String returns the header value of the outcome.
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

// Reason is the label value of a refusal.
type Reason string

// Reasons of this package.
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

// Header is one header field of an answer.
type Header struct {
	Name   string
	Values []string
}

// Answer is the complete answer of a target. It is immutable once stored.
type Answer struct {
	Status  uint32
	Headers []Header
	Body    []byte
}

// size returns the bytes that a record accounts for the answer.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	const overhead = 96
	n := overhead + len(a.Body)
	for _, h := range a.Headers {
		n += overhead + len(h.Name)
		for _, v := range h.Values {
			n += 16 + len(v)
		}
	}
	return n
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Reason is empty for OutcomeDone.
	Reason Reason
	// Answer is nil unless Outcome is OutcomeDone, and also nil for a done
	// request whose answer was too large to keep.
	Answer *Answer
}

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decision.
const (
	// Start permits the caller of Begin to run the request, once.
	Start Kind = iota + 1
	// Join means that the request is running; Finish returns the waiter token.
	Join
	// Stored means that the request has ended with Decision.Result.
	Stored
	// RelayTo means that Decision.Incarnation decides about the request.
	RelayTo
	// Refuse means that the request is not started here, with Decision.Result.
	Refuse
)

// Decision is the verdict of Table.Begin.
type Decision struct {
	Kind        Kind
	Incarnation string
	Result      Result
}

// Waiter is a token of the caller's choice for one joined request.
type Waiter uint64

// State is the state of a request or attempt as told to another instance.
type State uint8

// States.
const (
	// StateUnknown means that nothing certain is known.
	StateUnknown State = iota
	// NeverStarted means that it has not run and never will.
	NeverStarted
	// Running means that it is running.
	Running
	// Finished means that it has ended with a result.
	Finished
)

// Status is the reply to a status question or a revocation.
type Status struct {
	State State
	// Result is set for Finished.
	Result Result
}

// Settings configures a Table. The zero value of a field selects its default.
type Settings struct {
	// StartWindow is how long after its issue an identifier can start
	// (default 10 s, twice the time to live of a look-up).
	StartWindow time.Duration
	// Retention is how long a record is kept after its start, and after the
	// deadline of its request (default 90 s). It must exceed the longest
	// deadline plus the callers' cache time and is raised to StartWindow if
	// shorter.
	Retention time.Duration
	// MaxBytes bounds the memory of all records (default 16 MiB).
	MaxBytes int
	// MaxAnswerBytes bounds the kept answer of one record (default 64 KiB).
	MaxAnswerBytes int
	// MaxClosed bounds the refused identifiers that are remembered one by one
	// (default 20,000).
	MaxClosed int
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.StartWindow, 10*time.Second)
	setDefault(&s.Retention, 90*time.Second)
	setDefault(&s.MaxBytes, 16<<20)
	setDefault(&s.MaxAnswerBytes, 64<<10)
	setDefault(&s.MaxClosed, 20000)
	s.Retention = max(s.Retention, s.StartWindow)
	return s
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

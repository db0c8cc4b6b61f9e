package sniperetry

import (
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Class states how often a request of a service or method may be executed, and so
// whether it may be retried or hedged.
type Class string

// Classes, as written in the configuration. Any other value is treated as Once.
const (
	// Safe requests may be retried and hedged.
	Safe Class = "safe"
	// Idempotent requests may be retried but are not hedged.
	Idempotent Class = "idempotent"
	// Once requests must not be executed twice: they are retried only if no attempt
	// may have begun, and are not hedged.
	Once Class = "once"
)

// Outcome is the result of a request that is reported to its caller.
type Outcome string

// Outcomes, as sent in the Snipemoor-Outcome header.
const (
	// Done means that the caller gets a complete response of a target.
	Done Outcome = "done"
	// NotRun means that no target has begun to execute the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have begun to execute the request.
	Unknown Outcome = "unknown"
)

// Reason is why a request was retried, hedged or refused, as a label of metrics.
type Reason string

// Reasons that this package returns or receives.
const (
	ReasonNone              Reason = ""
	ReasonDialFailed        Reason = "dialFailed"
	ReasonTargetShed        Reason = "targetShed"
	ReasonNoSlot            Reason = "noSlot"
	ReasonQueueFull         Reason = "queueFull"
	ReasonNoTarget          Reason = "noTarget"
	ReasonWouldMissDeadline Reason = "wouldMissDeadline"
	ReasonConnectionLost    Reason = "connectionLost"
	ReasonTargetFailed      Reason = "targetFailed"
	ReasonRelayFailed       Reason = "relayFailed"
	ReasonHedge             Reason = "hedge"
	ReasonRetryBudget       Reason = "retryBudget"
	ReasonDeadline          Reason = "deadline"
	ReasonCallerGone        Reason = "callerGone"
)

// AttemptState is the state of an attempt: running, succeeded or the kind of
// its failure.
type AttemptState int

// States of an attempt. The zero value is Running. Where a comment says "not begun",
// no target has begun to execute the attempt and none will.
const (
	// Running means that the attempt has no result yet; Decide decides whether to
	// hedge it.
	Running AttemptState = iota
	// Succeeded means that the complete response has been received.
	Succeeded
	// DialFailed means that no connection could be opened: not begun.
	DialFailed
	// TargetShed means that the target refused the attempt with status 503 and the
	// outcome not-run: not begun.
	TargetShed
	// NoSlot means that the owner of the concurrency slots granted none: not begun.
	NoSlot
	// RelayRefused means that the peer instance to which the attempt was relayed
	// refused it: not begun.
	RelayRefused
	// RelayLost means that the connection to the peer instance failed after the
	// request was sent.
	RelayLost
	// ConnectionLost means that the connection to the target failed after the request
	// was sent.
	ConnectionLost
	// TargetFailed means that the target responded with a server error (5xx).
	TargetFailed
	// CallerGone means that the caller closed its connection.
	CallerGone
)

// MayHaveBegun reports whether the target may have begun to execute the attempt.
func (f AttemptState) MayHaveBegun() bool {
	switch f {
	case DialFailed, TargetShed, NoSlot, RelayRefused:
		return false
	default:
		return true
	}
}

// Reason returns the label of the failure, or ReasonNone for Running and Succeeded.
func (f AttemptState) Reason() Reason {
	switch f {
	case DialFailed:
		return ReasonDialFailed
	case TargetShed:
		return ReasonTargetShed
	case NoSlot:
		return ReasonNoSlot
	case RelayRefused, RelayLost:
		return ReasonRelayFailed
	case ConnectionLost:
		return ReasonConnectionLost
	case TargetFailed:
		return ReasonTargetFailed
	case CallerGone:
		return ReasonCallerGone
	default:
		return ReasonNone
	}
}

// Action is the next step of a request.
type Action int

// Actions.
const (
	// GiveUp ends the request with the Outcome and Reason of the decision.
	GiveUp Action = iota
	// Finish passes the response of the attempt to the caller.
	Finish
	// Retry starts another attempt after Delay.
	Retry
	// Hedge starts a second attempt now, while the first one runs; the slower one is
	// to be cancelled.
	Hedge
	// Wait means to call Decide again after Delay if the attempt is still running.
	Wait
)

// RequestState is the state of a request for which Decide returns the next step.
type RequestState struct {
	// Class is the class of the request.
	Class Class
	// Failure is the state of the latest attempt. Running asks whether to hedge it.
	Failure AttemptState
	// Attempts is the number of attempts so far, at least 1.
	Attempts int
	// Hedged reports that a hedge of the request has been sent.
	Hedged bool
	// Record holds the states of all attempts and hedges of the request, including
	// the latest attempt. An attempt that is missing may have begun.
	Record AttemptRecord
	// Elapsed is the time since the running attempt was sent. It is used for Running
	// only.
	Elapsed time.Duration
	// Deadline is the deadline of the request. No retry or hedge starts at or after
	// it.
	Deadline snipetime.Instant
	// RetryAfter is the least delay before a retry that the target or the owner of
	// the slots requested, or zero.
	RetryAfter time.Duration
}

// mayHaveBegun reports whether a target may have begun to execute the request.
func (e RequestState) mayHaveBegun() bool {
	return e.Failure.MayHaveBegun() || len(e.Record) < e.Attempts || e.Record.MayHaveBegun()
}

// Decision is the next step of a request.
type Decision struct {
	Action Action
	// Delay is the time to wait before a Retry or during a Wait.
	Delay time.Duration
	// Reason is the metric label of the retry or hedge, or of the refusal if Action
	// is GiveUp.
	Reason Reason
	// Outcome is the result for the caller if Action is Finish or GiveUp.
	Outcome Outcome
	// Cause is the failure of the latest attempt if Action is Retry or GiveUp.
	Cause Reason
}

// DefaultMaxAttempts is the default of Settings.MaxAttempts.
const DefaultMaxAttempts = 4

// Settings are the parameters of a Policy. Zero fields select the defaults.
type Settings struct {
	Budget  BudgetSettings
	Backoff BackoffSettings
	// MaxAttempts bounds the attempts of one request, including the first one;
	// default 4.
	MaxAttempts int
}

// Policy decides about the retries and hedges of one service on one instance.
type Policy struct {
	settings Settings
	budget   *Budget
	latency  *LatencyEstimator
	random   *rand.Rand
}

// NewPolicy returns a policy with the initial tokens of its budget and without latency
// samples. It panics if random is nil or a setting of the budget is negative.
func NewPolicy(settings Settings, random *rand.Rand, now snipetime.Instant) *Policy {
	if random == nil {
		panic("sniperetry: no random source")
	}
	if settings.MaxAttempts <= 0 {
		settings.MaxAttempts = DefaultMaxAttempts
	}
	return &Policy{
		settings: settings,
		budget:   NewBudget(settings.Budget, now),
		latency:  NewLatencyEstimator(now),
		random:   random,
	}
}

// FirstAttempt adds tokens to the budget for the first attempt of a request.
func (p *Policy) FirstAttempt(now snipetime.Instant) { p.budget.FirstAttempt(now) }

// Observe records the latency of a complete attempt for the hedge delay.
func (p *Policy) Observe(now snipetime.Instant, latency time.Duration) {
	p.latency.Observe(now, latency)
}

// Refund puts back the token of a retry or hedge that Decide returned and that was not
// sent.
func (p *Policy) Refund() { p.budget.Refund() }

// HedgeDelay returns the time after which Decide hedges a running attempt. It
// reports false if requests of class are not hedged or there is no latency estimate
// yet.
func (p *Policy) HedgeDelay(class Class) (time.Duration, bool) {
	if class != Safe {
		return 0, false
	}
	return p.latency.HedgeDelay()
}

// Decide returns the next step of a request. It has taken the token of a retry or
// hedge that it returns from the budget.
func (p *Policy) Decide(now snipetime.Instant, e RequestState) Decision {
	switch e.Failure {
	case Running:
		return p.decideHedge(now, e)
	case Succeeded:
		return Decision{Action: Finish, Outcome: Done}
	case CallerGone:
		return giveUp(e, ReasonCallerGone)
	default:
		return p.decideRetry(now, e)
	}
}

// decideRetry returns the next step after a failed attempt: Retry or GiveUp.
func (p *Policy) decideRetry(now snipetime.Instant, e RequestState) Decision {
	if e.Class != Safe && e.Class != Idempotent && e.mayHaveBegun() {
		return giveUp(e, e.Failure.Reason())
	}
	if e.Attempts >= p.settings.MaxAttempts {
		return giveUp(e, e.Failure.Reason())
	}
	delay := max(Backoff(p.settings.Backoff, e.Attempts, p.random), e.RetryAfter)
	if !now.Add(delay).Before(e.Deadline) {
		return giveUp(e, ReasonDeadline)
	}
	if !p.budget.Spend(now) {
		return giveUp(e, ReasonRetryBudget)
	}
	return Decision{Action: Retry, Delay: delay, Reason: e.Failure.Reason(), Cause: e.Failure.Reason()}
}

// decideHedge returns the next step during a running attempt: Hedge, Wait, or GiveUp
// after the deadline.
func (p *Policy) decideHedge(now snipetime.Instant, e RequestState) Decision {
	remaining := max(e.Deadline.Sub(now), 0)
	if remaining == 0 {
		return giveUp(e, ReasonDeadline)
	}
	delay, ok := p.HedgeDelay(e.Class)
	if !ok || e.Hedged || e.Attempts >= p.settings.MaxAttempts {
		return Decision{Action: Wait, Delay: remaining}
	}
	if e.Elapsed < delay {
		return Decision{Action: Wait, Delay: min(delay-e.Elapsed, remaining)}
	}
	if !p.budget.Spend(now) {
		return Decision{Action: Wait, Delay: remaining}
	}
	return Decision{Action: Hedge, Reason: ReasonHedge}
}

// giveUp returns the decision that ends a request. A server error of the target is a
// complete response, which is passed to the caller with the outcome Done.
func giveUp(e RequestState, reason Reason) Decision {
	d := Decision{Action: GiveUp, Reason: reason, Cause: e.Failure.Reason(), Outcome: Unknown}
	switch {
	case e.Failure == TargetFailed:
		d.Outcome = Done
	case !e.mayHaveBegun():
		d.Outcome = NotRun
	}
	return d
}

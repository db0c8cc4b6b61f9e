package sniperetry

import (
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Class is the retry class of a service or method.
type Class string

// Classes, equal to the names in the configuration.
const (
	// Safe requests are retried and hedged.
	Safe Class = "safe"
	// Idempotent requests are retried and not hedged.
	Idempotent Class = "idempotent"
	// Once requests are retried only if the attempt did not begin.
	Once Class = "once"
)

// Outcome is what the caller is told about its request.
type Outcome string

// Outcomes, equal to the values of the Snipemoor-Outcome header.
const (
	// Done means that the caller has a complete response.
	Done Outcome = "done"
	// NotRun means that no target has begun the request and none will.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have begun the request.
	Unknown Outcome = "unknown"
)

// Reason is the label value of a refusal or retry counter.
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

// Failure is the result of an attempt, or its absence so far.
type Failure int

// Failures. The zero value means that the attempt is still running.
const (
	// Running means that the attempt has no result yet; Decide returns whether
	// to hedge it.
	Running Failure = iota
	// Succeeded means that the complete response has been received.
	Succeeded
	// DialFailed means that no connection was made: not begun.
	DialFailed
	// TargetShed means that the target refused with a 503 and not-run: not begun.
	TargetShed
	// NoSlot means that the owner granted no slot: not begun.
	NoSlot
	// RelayRefused means that the peer refused before it began: not begun.
	RelayRefused
	// RelayLost means that the relay failed after the request was sent.
	RelayLost
	// ConnectionLost means that the connection failed after the request was sent.
	ConnectionLost
	// TargetFailed means that the target responded with a server error.
	TargetFailed
	// CallerGone means that the caller closed its connection.
	CallerGone
)

// Begun reports whether the target may have begun the attempt.
func (f Failure) Begun() bool {
	switch f {
	case DialFailed, TargetShed, NoSlot, RelayRefused:
		return false
	default:
		return true
	}
}

// Reason returns the label value of the failure.
func (f Failure) Reason() Reason {
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

// Action is the kind of a Decision.
type Action int

// Actions.
const (
	// GiveUp ends the request with the outcome and reason of the decision.
	GiveUp Action = iota
	// Finish passes the response of the attempt to the caller.
	Finish
	// Retry starts another attempt after Delay.
	Retry
	// Hedge starts a second attempt now; the slower one is cancelled.
	Hedge
	// Wait means that nothing is to be done before Delay has passed.
	Wait
)

// Event is the state of a request that Decide judges.
type Event struct {
	// Class of the request.
	Class Class
	// Failure of the latest attempt; Running to ask for a hedge.
	Failure Failure
	// Attempts is the number of attempts so far, at least 1.
	Attempts int
	// Hedged is set once a hedge has been sent.
	Hedged bool
	// Began is set if an earlier attempt may have begun, or if another attempt
	// of the request is still running.
	Began bool
	// Elapsed is the time since the running attempt was sent.
	Elapsed time.Duration
	// Deadline of the request.
	Deadline snipetime.Instant
	// RetryAfter is the target's or owner's hint; zero if there is none.
	RetryAfter time.Duration
}

// Decision is the answer of Decide. Reason counts a retry or hedge if Action is
// Retry or Hedge, and a refusal if it is GiveUp. Cause is the failure behind it.
type Decision struct {
	Action  Action
	Delay   time.Duration
	Reason  Reason
	Outcome Outcome
	Cause   Reason
}

// DefaultMaximumAttempts is the default bound on attempts of one request.
const DefaultMaximumAttempts = 4

// Settings are the parameters of a Policy. Zero fields mean defaults.
type Settings struct {
	Budget  BudgetSettings
	Backoff BackoffSettings
	// MaximumAttempts bounds the attempts of one request, the first included.
	MaximumAttempts int
}

// Policy decides on the retries and hedges of one service at one instance.
type Policy struct {
	settings Settings
	budget   *Budget
	latency  *Latency
	random   *rand.Rand
}

// NewPolicy returns a policy with an empty budget. It panics if random is nil.
func NewPolicy(settings Settings, random *rand.Rand, now snipetime.Instant) *Policy {
	if random == nil {
		panic("sniperetry: no random source")
	}
	if settings.MaximumAttempts <= 0 {
		settings.MaximumAttempts = DefaultMaximumAttempts
	}
	return &Policy{
		settings: settings,
		budget:   NewBudget(settings.Budget, now),
		latency:  NewLatency(now),
		random:   random,
	}
}

// FirstAttempt counts the first attempt of a request.
func (p *Policy) FirstAttempt(now snipetime.Instant) { p.budget.FirstAttempt(now) }

// Observe records the latency of a complete attempt.
func (p *Policy) Observe(now snipetime.Instant, latency time.Duration) {
	p.latency.Observe(now, latency)
}

// Refund returns the token of a retry or hedge that was decided but not sent.
func (p *Policy) Refund() { p.budget.Refund() }

// HedgeDelay returns the time after which Decide hedges a running attempt. It
// reports false if class is not hedged or there is no estimate yet.
func (p *Policy) HedgeDelay(class Class) (time.Duration, bool) {
	if class != Safe {
		return 0, false
	}
	return p.latency.HedgeDelay()
}

// Decide returns what follows the event. A retry or hedge that it returns has
// been taken from the budget.
func (p *Policy) Decide(now snipetime.Instant, e Event) Decision {
	switch e.Failure {
	case Running:
		return p.hedge(now, e)
	case Succeeded:
		return Decision{Action: Finish, Outcome: Done}
	case CallerGone:
		return giveUp(e, ReasonCallerGone)
	default:
		return p.retry(now, e)
	}
}

// retry decides about a failed attempt.
func (p *Policy) retry(now snipetime.Instant, e Event) Decision {
	if e.Class != Safe && e.Class != Idempotent && (e.Failure.Begun() || e.Began) {
		return giveUp(e, e.Failure.Reason())
	}
	if e.Attempts >= p.settings.MaximumAttempts {
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

func (p *Policy) hedge(now snipetime.Instant, e Event) Decision {
	remaining := max(e.Deadline.Sub(now), 0)
	if remaining == 0 {
		return giveUp(e, ReasonDeadline)
	}
	delay, ok := p.HedgeDelay(e.Class)
	if !ok || e.Hedged || e.Attempts >= p.settings.MaximumAttempts {
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

// giveUp returns the final decision. A target that answered with an error has
// answered, so that its response is passed on as done.
func giveUp(e Event, reason Reason) Decision {
	d := Decision{Action: GiveUp, Reason: reason, Cause: e.Failure.Reason(), Outcome: NotRun}
	switch {
	case e.Failure == TargetFailed:
		d.Outcome = Done
	case e.Failure.Begun() || e.Began:
		d.Outcome = Unknown
	}
	return d
}

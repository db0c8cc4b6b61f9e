package snipeforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
)

// copyBuffer is the size of the parts in which a response is passed on.
const copyBuffer = 32 << 10

// answer is a response of a target, whose body has not been read.
type answer struct {
	status int
	header http.Header
	length int64
	body   io.Reader
	target string
	// finish ends the attempt. It must be called once.
	finish func(how ending)
}

// ending is how the body of a response ended.
type ending int

const (
	// endedWhole is a body that was read to its end.
	endedWhole ending = iota
	// endedByTarget is a body that was cut short by its source.
	endedByTarget
	// endedHere is a body that was given up by this side.
	endedHere
)

// attemptState is the progress of one request through its attempts.
type attemptState struct {
	count  int
	hedged bool
	began  bool
}

// run makes attempts until one succeeds or the policy gives up.
func (f *Forwarder) run(ctx context.Context, q *request, s sink) {
	policy := f.deps.Policies.Policy(q.service)
	policy.FirstAttempt(f.deps.Clock.Now())
	state := &attemptState{}
	for {
		started := f.deps.Clock.Now()
		state.count++
		a, failed := f.attemptHedged(ctx, q, policy, state)
		if a != nil && (a.status < http.StatusInternalServerError || !f.retryServerError(ctx, q, policy, state, a)) {
			if f.deliver(q, s, a) {
				policy.Observe(f.deps.Clock.Now(), f.deps.Clock.Now().Sub(started))
			}
			return
		}
		if a != nil {
			continue
		}
		q.exclude(failed.target)
		q.exclude(failed.beside)
		state.began = state.began || failed.began || failed.kind.Begun()
		if !f.again(ctx, q, policy, state, failed, s) {
			return
		}
	}
}

// again asks the policy what follows a failed attempt and waits for the next
// one. It answers the caller and returns false if there is none.
func (f *Forwarder) again(ctx context.Context, q *request, policy Policy, state *attemptState, failed *failure, s sink) bool {
	if failed.final {
		s.Refuse(f.giveUp(ctx, sniperetry.Decision{}, state, failed))
		return false
	}
	d := policy.Decide(f.deps.Clock.Now(), f.event(q, state, failed))
	if d.Action != sniperetry.Retry {
		s.Refuse(f.giveUp(ctx, d, state, failed))
		return false
	}
	if !q.body.repeatable() || !f.pause(ctx, d.Delay) {
		policy.Refund()
		s.Refuse(f.giveUp(ctx, sniperetry.Decision{Outcome: sniperetry.NotRun}, state, failed))
		return false
	}
	f.countRetry(q, d.Reason)
	return true
}

func (f *Forwarder) event(q *request, state *attemptState, failed *failure) sniperetry.Event {
	return sniperetry.Event{
		Class: q.class, Failure: failed.kind, Attempts: state.count, Hedged: state.hedged,
		Began: state.began, Deadline: q.deadline, RetryAfter: failed.end.retryAfter,
	}
}

// giveUp returns what the caller is told. An attempt that can have begun makes
// every later refusal unknown.
func (f *Forwarder) giveUp(ctx context.Context, d sniperetry.Decision, state *attemptState, failed *failure) end {
	e := failed.end
	e.reason = failed.reason
	if d.Reason == sniperetry.ReasonRetryBudget || d.Reason == sniperetry.ReasonDeadline {
		e.detail = "no further attempt: " + string(d.Reason)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !failed.final {
		e.reason = reasonDeadline
	}
	e.outcome = outcomeNotRun
	if state.began || failed.kind.Begun() {
		e.outcome = outcomeUnknown
	}
	return e
}

// retryServerError reports whether another attempt follows a response with a
// server error. The response is discarded in that case.
func (f *Forwarder) retryServerError(ctx context.Context, q *request, policy Policy, state *attemptState, a *answer) bool {
	if q.class == sniperetry.Once || !q.body.repeatable() {
		return false
	}
	failed := &failure{kind: sniperetry.TargetFailed, reason: reasonTargetFailed, target: a.target}
	d := policy.Decide(f.deps.Clock.Now(), f.event(q, state, failed))
	if d.Action != sniperetry.Retry {
		return false
	}
	if !f.pause(ctx, d.Delay) {
		policy.Refund()
		return false
	}
	a.finish(endedHere)
	q.exclude(a.target)
	state.began = true
	f.countRetry(q, d.Reason)
	return true
}

func (f *Forwarder) countRetry(q *request, reason sniperetry.Reason) {
	f.metrics.retries.WithLabelValues(q.service.Team, q.service.Name, string(reason)).Inc()
}

// pause waits for a delay and reports false if ctx ended first.
func (f *Forwarder) pause(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// deliver passes a response on and reports whether it was whole.
func (f *Forwarder) deliver(q *request, s sink, a *answer) bool {
	how, ended := endedHere, false
	finish := func() {
		if !ended {
			ended = true
			a.finish(how)
		}
	}
	// A panic of the sink must end the attempt too.
	defer finish()
	if err := s.Begin(a.status, answerHeader(a.header), a.length); err != nil {
		s.Abort()
		return false
	}
	if q.method == http.MethodHead {
		how = endedWhole
	} else {
		how = f.copyBody(s, a.body)
	}
	finish()
	if how != endedWhole || s.Complete() != nil {
		s.Abort()
		return false
	}
	return true
}

// bufferPool holds the buffers of copyBody, which were two thirds of the bytes
// that a small forwarded request allocated.
type bufferPool struct{ pool sync.Pool }

func (p *bufferPool) get() *[copyBuffer]byte {
	if b, ok := p.pool.Get().(*[copyBuffer]byte); ok {
		return b
	}
	return new([copyBuffer]byte)
}

func (p *bufferPool) put(b *[copyBuffer]byte) { p.pool.Put(b) }

// copyBody passes a body on. A sink does not keep the bytes of a write.
func (f *Forwarder) copyBody(s sink, from io.Reader) ending {
	pooled := f.buffers.get()
	defer f.buffers.put(pooled)
	buffer := pooled[:]
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := s.Write(buffer[:n]); writeErr != nil {
				return endedHere
			}
		}
		if errors.Is(err, io.EOF) {
			return endedWhole
		}
		if err != nil {
			return endedByTarget
		}
	}
}

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

// copyBufferSize is the size, in bytes, of the buffers that copy bodies.
const copyBufferSize = 32 << 10

// response is the response of a target with an unread body.
type response struct {
	status int
	header http.Header
	length int64
	body   io.Reader
	target string
	// finish ends the attempt and releases its slot. It must be called exactly
	// once.
	finish func(how bodyEnd)
}

// bodyEnd states how the body of a response ended.
type bodyEnd int

const (
	// bodyComplete means that the body was read to its end.
	bodyComplete bodyEnd = iota
	// bodyTruncated means that the source of the body failed before its end.
	bodyTruncated
	// bodyAbandoned means that this instance stopped reading the body.
	bodyAbandoned
)

// retryState is the progress of one request through its attempts.
type retryState struct {
	attempts int
	hedged   bool
	// record holds the states of all attempts and hedges.
	record sniperetry.AttemptRecord
}

// end records the result of the attempt with the given index in the record. An attempt with
// a response counts as one that may have begun.
func (s *retryState) end(index int, failed *failure) {
	if failed != nil {
		s.record.End(index, failed.kind)
	}
}

// runAttempts makes attempts until one succeeds or the policy permits no other.
func (f *Forwarder) runAttempts(ctx context.Context, q *request, s sink) {
	policy := f.deps.Policies.Policy(q.service)
	policy.FirstAttempt(f.deps.Clock.Now())
	state := &retryState{}
	for {
		started := f.deps.Clock.Now()
		state.attempts++
		resp, failed := f.attemptHedged(ctx, q, policy, state)
		if resp != nil && (resp.status < http.StatusInternalServerError || !f.retryServerError(ctx, q, policy, state, resp)) {
			if f.deliver(q, s, resp) {
				policy.Observe(f.deps.Clock.Now(), f.deps.Clock.Now().Sub(started))
			}
			return
		}
		if resp != nil {
			continue
		}
		q.exclude(failed.target)
		q.exclude(failed.otherTarget)
		if !f.retryAfterFailure(ctx, q, policy, state, failed, s) {
			return
		}
	}
}

// retryAfterFailure asks the policy for a retry after a failed attempt and waits
// for its delay. If there is no retry, it refuses the request and returns false.
func (f *Forwarder) retryAfterFailure(ctx context.Context, q *request, policy Policy, state *retryState, failed *failure, s sink) bool {
	if failed.permanent {
		s.Refuse(f.finalRefusal(ctx, sniperetry.Decision{}, state, failed))
		return false
	}
	d := policy.Decide(f.deps.Clock.Now(), f.retryEvent(q, state, failed))
	if d.Action != sniperetry.Retry {
		s.Refuse(f.finalRefusal(ctx, d, state, failed))
		return false
	}
	if !q.body.repeatable() || !f.waitBeforeRetry(ctx, d.Delay) {
		policy.Refund()
		s.Refuse(f.finalRefusal(ctx, sniperetry.Decision{}, state, failed))
		return false
	}
	f.countRetry(q, d.Reason)
	return true
}

func (f *Forwarder) retryEvent(q *request, state *retryState, failed *failure) sniperetry.RequestState {
	return sniperetry.RequestState{
		Class: q.class, Failure: failed.kind, Attempts: state.attempts, Hedged: state.hedged,
		Record: state.record, Deadline: q.deadline, RetryAfter: failed.reply.retryAfter,
	}
}

// finalRefusal returns the refusal after the last attempt. Its outcome is not-run only
// if the record shows that for each attempt.
func (f *Forwarder) finalRefusal(ctx context.Context, d sniperetry.Decision, state *retryState, failed *failure) errorReply {
	e := failed.reply
	e.reason = failed.reason
	if d.Reason == sniperetry.ReasonRetryBudget || d.Reason == sniperetry.ReasonDeadline {
		e.detail = "no further attempt: " + string(d.Reason)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !failed.permanent {
		e.reason = reasonDeadline
	}
	e.outcome = string(state.record.Outcome())
	return e
}

// retryServerError reports whether a response with a server error is followed by
// another attempt. If so, it discards the response and waits for the delay.
func (f *Forwarder) retryServerError(ctx context.Context, q *request, policy Policy, state *retryState, resp *response) bool {
	if q.class == sniperetry.Once || !q.body.repeatable() {
		return false
	}
	failed := &failure{kind: sniperetry.TargetFailed, reason: reasonTargetFailed, target: resp.target}
	d := policy.Decide(f.deps.Clock.Now(), f.retryEvent(q, state, failed))
	if d.Action != sniperetry.Retry {
		return false
	}
	if !f.waitBeforeRetry(ctx, d.Delay) {
		policy.Refund()
		return false
	}
	resp.finish(bodyAbandoned)
	q.exclude(resp.target)
	f.countRetry(q, d.Reason)
	return true
}

func (f *Forwarder) countRetry(q *request, reason sniperetry.Reason) {
	f.metrics.retries.WithLabelValues(q.service.Team, q.service.Name, string(reason)).Inc()
}

// waitBeforeRetry waits for a delay and returns false if ctx ended first.
func (f *Forwarder) waitBeforeRetry(ctx context.Context, delay time.Duration) bool {
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

// deliver writes a response to the sink, finishes the attempt and reports whether
// the response was complete.
func (f *Forwarder) deliver(q *request, s sink, resp *response) bool {
	how, ended := bodyAbandoned, false
	finish := func() {
		if !ended {
			ended = true
			resp.finish(how)
		}
	}
	// A panic of the sink must also finish the attempt.
	defer finish()
	if err := s.Begin(resp.status, responseHeader(resp.header), resp.length); err != nil {
		s.Abort()
		return false
	}
	if q.method == http.MethodHead {
		how = bodyComplete
	} else {
		how = f.copyBody(s, resp.body)
	}
	finish()
	if how != bodyComplete || s.Complete() != nil {
		s.Abort()
		return false
	}
	return true
}

// bufferPool reuses the buffers that copy bodies. Without it, they are two thirds
// of the bytes that a small forwarded request allocates.
type bufferPool struct{ pool sync.Pool }

func (p *bufferPool) get() *[copyBufferSize]byte {
	if b, ok := p.pool.Get().(*[copyBufferSize]byte); ok {
		return b
	}
	return new([copyBufferSize]byte)
}

func (p *bufferPool) put(b *[copyBufferSize]byte) { p.pool.Put(b) }

// copyBody copies a body to the sink. A sink must not retain the bytes of a
// write, because the buffer is reused.
func (f *Forwarder) copyBody(s sink, from io.Reader) bodyEnd {
	pooled := f.buffers.get()
	defer f.buffers.put(pooled)
	buffer := pooled[:]
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := s.Write(buffer[:n]); writeErr != nil {
				return bodyAbandoned
			}
		}
		if errors.Is(err, io.EOF) {
			return bodyComplete
		}
		if err != nil {
			return bodyTruncated
		}
	}
}

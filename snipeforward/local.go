package snipeforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetarget"
	"github.com/snipemoor/snipemoor/snipetime"
)

// local makes an attempt at a target of the own region.
func (f *Forwarder) local(ctx context.Context, q *request, place Place, maxWait time.Duration, hedge bool) (a *answer, failed *failure) {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	slot := &heldSlot{f: f, id: f.deps.Incarnation + "/" + strconv.FormatUint(f.attempts.Add(1), 10), started: f.deps.Clock.Now()}
	defer func() {
		// Without a response nothing goes on, not even after a panic.
		if a == nil {
			cancel()
			slot.release(AttemptCancelled)
		}
	}()
	target, refusal := f.deps.Slots.Acquire(ctx, SlotRequest{
		Service: q.service, Place: place.Name, AttemptID: slot.id, Budget: f.left(q), MaxWait: maxWait,
		Excluded: q.excluded, Hedge: hedge, Revoke: cancel,
	})
	if refusal != nil {
		slot.released.Store(true)
		return nil, refusedAttempt(refusal)
	}
	settle, refusal := f.shift(ctx, q, place)
	if refusal != nil {
		return nil, refusedAttempt(refusal)
	}
	f.metrics.attempts.WithLabelValues(q.service.Team, q.service.Name, "target").Inc()
	q.running.Store(&target)
	slot.started = f.deps.Clock.Now()
	resp, err := f.deps.Targets.Attempt(ctx, snipetarget.Request{
		Target: target, Method: q.method, URI: q.uri, Header: requestHeader(q.header, q.id.String(), f.left(q)),
		Body: q.body.reader(), ContentLength: q.body.length,
	})
	if err != nil {
		failed, result := classify(ctx, caller, q, err)
		failed.target = target
		slot.release(result)
		settle(chargedBits(q, failed))
		return nil, failed
	}
	counted := &countingReader{r: resp.Body}
	return &answer{
		status: resp.Status, header: resp.Header, length: resp.ContentLength, body: counted, target: target,
		finish: func(how ending) {
			_ = resp.Body.Close()
			cancel()
			slot.release(resultOf(resp.Status, how))
			settle(sentBits(q) + float64(counted.n)*bitsPerByte)
		},
	}, nil
}

// chargedBits returns the bits of a failed attempt. The shift is charged for
// what can have been sent, because a cap bounds the load of failed requests too.
func chargedBits(q *request, failed *failure) float64 {
	if !failed.kind.Begun() {
		return 0
	}
	return sentBits(q)
}

// heldSlot is a slot that is released once.
type heldSlot struct {
	f        *Forwarder
	id       string
	started  snipetime.Instant
	released atomic.Bool
}

func (s *heldSlot) release(result AttemptResult) {
	if s.released.CompareAndSwap(false, true) {
		s.f.deps.Slots.Release(s.id, result, s.f.deps.Clock.Now().Sub(s.started))
	}
}

// resultOf returns what a response says about its target.
func resultOf(status int, how ending) AttemptResult {
	switch {
	case status >= http.StatusInternalServerError, how == endedByTarget:
		return AttemptFailed
	case how == endedHere:
		return AttemptCancelled
	default:
		return AttemptDone
	}
}

// classify says what a failed attempt means for the request and for the slot's
// owner. caller is the context of the request, which goes on when only the
// grant of the slot was lost.
func classify(ctx, caller context.Context, q *request, err error) (*failure, AttemptResult) {
	var e *snipetarget.Error
	if !errors.As(err, &e) {
		return &failure{kind: sniperetry.ConnectionLost, reason: reasonTargetFailed}, AttemptFailed
	}
	failed := &failure{kind: sniperetry.DialFailed, reason: "dialFailed", end: end{retryAfter: e.RetryAfter, detail: string(e.Cause)}}
	if e.Known == snipetarget.MaybeBegun {
		failed.kind, failed.reason = sniperetry.ConnectionLost, "connectionLost"
	}
	switch fault := q.body.fault(); {
	case fault != "":
		failed.reason, failed.final = fault, true
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseTimeout && q.body.waiting():
		failed.reason, failed.final = reasonDeadline, true
		return failed, AttemptCancelled
	case errors.Is(ctx.Err(), context.Canceled):
		if caller.Err() != nil {
			failed.reason = reasonCallerGone
		}
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseBadRequest:
		failed.reason, failed.final = reasonBadPath, true
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseNoConnection:
		// The bound of the own pool was reached; the target is not to blame.
		failed.reason = reasonNoConnection
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseShed:
		failed.kind, failed.reason = sniperetry.TargetShed, "targetShed"
		return failed, AttemptShed
	case e.Known == snipetarget.MaybeBegun && e.Cause == snipetarget.CauseTimeout:
		failed.reason = reasonDeadline
	}
	if e.Known == snipetarget.MaybeBegun {
		return failed, AttemptFailed
	}
	return failed, AttemptDialFailed
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read response: %w", err)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
}

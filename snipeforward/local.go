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

// attemptLocal makes an attempt at a target in the region of this instance. The
// request queues for at most maxWait.
func (f *Forwarder) attemptLocal(ctx context.Context, q *request, place Place, maxWait time.Duration, hedge bool) (resp *response, failed *failure) {
	requestCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	slot := &heldSlot{f: f, id: f.deps.Incarnation + "/" + strconv.FormatUint(f.attemptCount.Add(1), 10), started: f.deps.Clock.Now()}
	defer func() {
		// Without a response the attempt has ended, also after a panic.
		if resp == nil {
			cancel()
			slot.release(AttemptCancelled)
		}
	}()
	target, refusal := f.deps.Slots.Acquire(ctx, SlotRequest{
		Service: q.service, Place: place.Name, AttemptID: slot.id, Budget: f.remaining(q), MaxWait: maxWait,
		Excluded: q.excluded, Hedge: hedge, Revoke: cancel,
	})
	if refusal != nil {
		slot.released.Store(true)
		return nil, refusalFailure(refusal)
	}
	chargeActual, refusal := f.admitShift(ctx, q, place)
	if refusal != nil {
		return nil, refusalFailure(refusal)
	}
	f.metrics.attempts.WithLabelValues(q.service.Team, q.service.Name, "target").Inc()
	q.currentTarget.Store(&target)
	slot.started = f.deps.Clock.Now()
	targetResp, err := f.deps.Targets.Attempt(ctx, snipetarget.Request{
		Target: target, Method: q.method, URI: q.uri, Header: requestHeader(q.header, q.id.String(), f.remaining(q)),
		Body: q.body.reader(), ContentLength: q.body.length,
	})
	if err != nil {
		failed, result := classifyError(ctx, requestCtx, q, err)
		failed.target = target
		slot.release(result)
		chargeActual(chargedBits(q, failed))
		return nil, failed
	}
	counted := &countingReader{r: targetResp.Body}
	return &response{
		status: targetResp.Status, header: targetResp.Header, length: targetResp.ContentLength, body: counted, target: target,
		finish: func(how bodyEnd) {
			_ = targetResp.Body.Close()
			cancel()
			slot.release(attemptResult(targetResp.Status, how))
			chargeActual(sentBits(q) + float64(counted.n)*bitsPerByte)
		},
	}, nil
}

// chargedBits returns the bits that are charged to the shift for a failed
// attempt: all that may have been sent, because the cap also limits the load of
// failed requests.
func chargedBits(q *request, failed *failure) float64 {
	if !failed.kind.MayHaveBegun() {
		return 0
	}
	return sentBits(q)
}

// heldSlot is an acquired slot. Only the first call of release has an effect.
type heldSlot struct {
	f        *Forwarder
	id       string
	started  snipetime.Instant
	released atomic.Bool
}

// release returns the slot and reports the result of the attempt.
func (s *heldSlot) release(result AttemptResult) {
	if s.released.CompareAndSwap(false, true) {
		s.f.deps.Slots.Release(s.id, result, s.f.deps.Clock.Now().Sub(s.started))
	}
}

// attemptResult returns the result of an attempt with a response.
func attemptResult(status int, how bodyEnd) AttemptResult {
	switch {
	case status >= http.StatusInternalServerError, how == bodyTruncated:
		return AttemptFailed
	case how == bodyAbandoned:
		return AttemptCancelled
	default:
		return AttemptDone
	}
}

// classifyError returns the failure and the result of an attempt that ended with
// err. ctx is the context of the attempt and requestCtx that of the request, which
// is not cancelled if only the grant of the slot was lost.
func classifyError(ctx, requestCtx context.Context, q *request, err error) (*failure, AttemptResult) {
	var e *snipetarget.Error
	if !errors.As(err, &e) {
		return &failure{kind: sniperetry.ConnectionLost, reason: reasonTargetFailed}, AttemptFailed
	}
	failed := &failure{kind: sniperetry.ConnectionLost, reason: "connectionLost", reply: errorReply{retryAfter: e.RetryAfter, detail: string(e.Cause)}}
	notBegun := e.Execution == snipetarget.NotBegun
	if notBegun {
		failed.kind, failed.reason = sniperetry.DialFailed, "dialFailed"
	}
	switch reason := q.body.errorReason(); {
	case reason != "":
		failed.reason, failed.permanent = reason, true
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseTimeout && q.body.readPending():
		failed.reason, failed.permanent = reasonDeadline, true
		return failed, AttemptCancelled
	case errors.Is(ctx.Err(), context.Canceled):
		if requestCtx.Err() != nil {
			failed.reason = reasonCallerGone
		}
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseBadRequest:
		failed.reason, failed.permanent = reasonBadPath, true
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseNoConnection:
		// The connection limit of this instance was reached; the target has not
		// failed.
		failed.reason = reasonNoConnection
		return failed, AttemptCancelled
	case e.Cause == snipetarget.CauseShed && notBegun:
		failed.kind, failed.reason = sniperetry.TargetShed, "targetShed"
		return failed, AttemptShed
	case notBegun:
		return failed, AttemptDialFailed
	case e.Cause == snipetarget.CauseTimeout:
		failed.reason = reasonDeadline
	}
	return failed, AttemptFailed
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

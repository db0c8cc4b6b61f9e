package snipegate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
)

// handleFailure records an attempt that ended without a response.
func (q *request) handleFailure(t *snipefleet.Target, sent time.Time, err error) attemptResult {
	failure := &snipeconn.Error{MayHaveBegun: true, Cause: snipeconn.CauseConnectionLost, Err: err}
	errors.As(err, &failure)
	q.cause, q.reused = failure, failure.Reused
	if failure.Header != nil {
		q.recordStatements(t, q.gate.HeaderCodec.Statement(failure.Status, failure.Header))
	}
	result := snipeplacement.Result{Latency: time.Since(sent)}
	switch failure.Cause {
	case snipeconn.CauseWithdrawn:
		q.withdrawAttempt(err)
	case snipeconn.CauseDial:
		q.outcome, result.Unreachable = OutcomeUnreachable, true
	case snipeconn.CauseTimeout:
		q.outcome, result.Failed = OutcomeTimeout, true
	case snipeconn.CauseCancelled:
		q.outcome = OutcomeCallerGone
	case snipeconn.CauseConnectionLost:
		q.outcome, result.Failed = OutcomeResponseLost, true
	case snipeconn.CauseMalformed:
		q.outcome, result.Failed = OutcomeMalformed, true
	case snipeconn.CauseResponseTooLong:
		q.outcome, result.Failed = OutcomeTooLong, true
	}
	q.gate.Chooser.RecordResult(q.gate.Clock.Now(), t, result)
	if failure.MayHaveBegun {
		return mayHaveRun
	}
	q.settleNotSent(t)
	return notSent
}

// handleResponse forwards the response of a target, or returns why the request has
// to be retried or refused instead.
func (q *request) handleResponse(t *snipefleet.Target, sent time.Time, resp *snipeconn.Response) attemptResult {
	s := q.gate.HeaderCodec.Statement(resp.Status, resp.Header)
	if !s.NotRun || q.named(resp.Header) {
		q.recordStatements(t, s)
	}
	q.reused = resp.Reused
	tooSlow := resp.Status == http.StatusGatewayTimeout && !s.NotRun
	result := snipeplacement.Result{Latency: time.Since(sent), Load: s.Load, Completed: !s.NotRun && !tooSlow, Failed: tooSlow}
	if resp.Stream == nil {
		q.gate.Chooser.RecordResult(q.gate.Clock.Now(), t, result)
	} else {
		defer func() { q.recordStreamEnd(t, result) }()
	}
	switch {
	case s.NotRun:
		return q.handleRefusal(t, s, resp)
	case resp.Status < http.StatusMultipleChoices && !s.Signed:
		q.outcome = OutcomeUnsigned
		return mayHaveRun
	case impliesNotRun(resp.Status):
		// The status implies that the request has not run, but the target does not
		// state so. Forwarding it could make the caller repeat what has run.
		q.outcome = OutcomeTargetFailed
		return mayHaveRun
	case resp.Status >= http.StatusInternalServerError && q.route.Kind.Repeatable() &&
		resp.Stream == nil && q.acquireRetry(mayHaveRun):
		q.outcome = OutcomeTargetFailed
		return q.retryOrForward(resp)
	}
	q.forward(resp)
	return delivered
}

// handleRefusal handles a response that states that the target has not run the request.
func (q *request) handleRefusal(t *snipefleet.Target, s ResponseHeaders, resp *snipeconn.Response) attemptResult {
	if !q.settleRefused(t, s, resp) {
		q.outcome = OutcomeTargetFailed
		return mayHaveRun
	}
	q.outcome = OutcomeTargetRefused
	if s.WrongTarget {
		q.gate.Fleet.MarkMisaddressed(t)
		return notRun
	}
	q.retryDelay = fullTargetRetryDelay
	if hasFreeSlot(s.Load) && s.Rest == 0 {
		q.retryDelay = minRetryAfter
		q.allowTemporarilyRefused()
	}
	return notRun
}

// allowTemporarilyRefused makes the last target a candidate again, because it probably has
// the object cached. A late copy of its refusal can then pass for the response to the next
// attempt, which an idempotent request survives.
func (q *request) allowTemporarilyRefused() {
	if q.route.Kind.Repeatable() {
		q.excluded = q.excluded[:len(q.excluded)-1]
	}
}

// recordStreamEnd reports the result of a streamed response to the chooser. The load
// in the headers is left out, because it is as old as the start of the response.
func (q *request) recordStreamEnd(t *snipefleet.Target, result snipeplacement.Result) {
	var failure *snipeconn.Error
	if errors.As(q.cause, &failure) && failure.Cause != snipeconn.CauseCancelled {
		result.Completed, result.Failed = false, true
	}
	result.Load = nil
	q.gate.Chooser.RecordResult(q.gate.Clock.Now(), t, result)
}

// hasFreeSlot reports whether a target's reported load, which may be nil, leaves a
// slot free.
func hasFreeSlot(l *snipeplacement.Load) bool {
	return l != nil && l.Running+l.Waiting < l.Slots
}

// impliesNotRun reports whether callers interpret a status as a guarantee that their
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// retryOrForward retries an idempotent request to which a target responded with a
// server error, and forwards that response if the retry yields none. The caller has
// charged the retry to the budget.
func (q *request) retryOrForward(resp *snipeconn.Response) attemptResult {
	if refusal := q.chooseTarget(); refusal != nil {
		q.forward(resp)
		return delivered
	}
	q.reportRetry()
	if result := q.attempt(); result != delivered {
		q.forward(resp)
	}
	return delivered
}

// forward sends the response of a target to the caller, without the headers that
// concern only the connection to the target.
func (q *request) forward(resp *snipeconn.Response) {
	q.outcome, q.status = OutcomeAnswered, resp.Status
	if resp.Stream == nil {
		// The connection has ended the exchange, and no attempt follows. A caller that
		// reads slowly must not keep the memory of its request.
		q.body = nil
		q.releaseBodyMemory()
	}
	h := q.w.Header()
	for name, values := range resp.Header {
		if !snipeconn.IsHopByHop(name) {
			h[name] = values
		}
	}
	if resp.Length >= 0 && q.r.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(resp.Length, 10)}
	}
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(resp.Body); err != nil {
		q.abort(err)
	}
	if resp.Stream == nil {
		return
	}
	if _, err := io.Copy(q.w, resp.Stream); err != nil {
		q.abort(err)
	}
}

// abort closes the caller's connection by a panic with http.ErrAbortHandler, so that
// the caller cannot mistake a truncated response for a complete one.
func (q *request) abort(err error) {
	q.outcome, q.cause = OutcomeTruncated, err
	q.gate.recordRequest(q)
	if !q.startedEarly {
		markTruncated(q.r)
	}
	panic(http.ErrAbortHandler)
}

// markTruncated makes the closing of the caller's connection show that a response is
// truncated. To a caller of HTTP/1.1 the missing end of the body shows it.
func markTruncated(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		snipecaller.ResetOnClose(r)
	}
}

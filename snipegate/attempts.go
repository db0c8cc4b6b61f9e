package snipegate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// attemptResult is the result of an attempt, as far as retries depend on it.
type attemptResult int

const (
	// delivered means that a response was forwarded to the caller.
	delivered attemptResult = iota
	// notSent means that nothing of the request reached a target.
	notSent
	// notRun means that the target refused the request without running it.
	notRun
	// mayHaveRun means that the target can have begun the request, but sent no
	// usable response.
	mayHaveRun
)

// runAttempts sends the request until a response is forwarded to the caller. It
// refuses the request if no target is available, or if it must not be retried.
func (q *request) runAttempts() {
	for {
		if snipecaller.Disconnected(q.r) {
			q.cause = errCallerGone
			q.refuse(OutcomeCallerGone, 0)
			return
		}
		if refusal := q.chooseTarget(); refusal != nil {
			q.refuseWithoutTarget(refusal)
			return
		}
		result := q.attempt()
		switch result {
		case delivered:
			return
		case mayHaveRun:
			q.begun = true
			if q.route.Kind != snipetable.Idempotent {
				q.refuse(q.outcome, 0)
				return
			}
		case notRun, notSent:
		}
		if !q.acquireRetry(result) {
			q.refuseAfterAttempt(q.retryDelay)
			return
		}
		q.reportRetry()
	}
}

// reportRetry logs and counts a retry.
func (q *request) reportRetry() {
	q.gate.Metrics.countRetry(q.outcome)
	q.gate.Log.Info("retry", zap.String("request", q.call.ID), zap.String("reason", string(q.outcome)),
		zap.String("target", q.chosen.Target.ID), zap.Bool("reusedConnection", q.reused), zap.Error(q.cause))
	q.cause = nil
}

// fullTargetRetryDelay is after how long a caller may retry a request that a full
// target refused.
const fullTargetRetryDelay = 150 * time.Millisecond

// refuseWithoutTarget refuses a request for which no target, or no further target,
// is available. After an attempt, the outcome remains that of the attempt.
func (q *request) refuseWithoutTarget(refusal *snipeplacement.Refusal) {
	if len(q.tried) == 0 {
		q.outcome = Outcome(refusal.Reason)
	}
	q.refuseAfterAttempt(refusal.RetryAfter)
}

// refuseAfterAttempt refuses a request with the outcome of its last attempt or choice.
// The caller is told to retry after the given delay, or later if all targets rest.
func (q *request) refuseAfterAttempt(retryDelay time.Duration) {
	now := q.gate.Clock.Now()
	q.refuse(q.outcome, max(retryDelay, q.gate.Chooser.RestRemaining(now, q.gate.Fleet.View(), q.placementQuery())))
}

// chooseTarget chooses the target of the next attempt. If there is none, it returns
// the refusal.
func (q *request) chooseTarget() *snipeplacement.Refusal {
	choice, refusal := q.gate.Chooser.Choose(q.gate.Clock.Now(), q.gate.Fleet.View(), q.placementQuery())
	if refusal != nil {
		q.refusal = refusal
		return refusal
	}
	q.chosen = choice
	q.tried = append(q.tried, choice.Target)
	q.excluded = append(q.excluded, choice.Target)
	return nil
}

// placementQuery returns the description of the request for the chooser.
func (q *request) placementQuery() *snipeplacement.Query {
	return &snipeplacement.Query{
		Service:  q.service,
		Info:     q.table.Service(q.service),
		Route:    q.route,
		Object:   q.placementKey(),
		Excluded: q.excluded,
	}
}

// numSpreadKeys is the number of keys over which requests without an object are
// distributed.
const numSpreadKeys = 64

// placementKey returns the affinity key by which the target is chosen. Requests
// without an object, and those of routes that are not sticky, get a random key and
// so are distributed over all targets.
func (q *request) placementKey() string {
	if q.route.Sticky && q.call.Object != "" {
		return q.call.Object
	}
	if q.spreadKey == "" {
		q.spreadKey = "~" + strconv.Itoa(rand.IntN(numSpreadKeys))
	}
	return q.spreadKey
}

// acquireRetry reports whether the request may be sent once more after an attempt
// with the given result. It charges the retry to the retry budget, unless the request
// reached no target and so put no load on one.
func (q *request) acquireRetry(result attemptResult) bool {
	if len(q.tried) >= q.route.MaxAttempts || q.r.Context().Err() != nil {
		return false
	}
	if time.Until(q.deadline) < minAttemptTime {
		return false
	}
	return result == notSent || q.gate.spendRetry(q.service)
}

// minAttemptTime is the least time left before the deadline with which a retry is
// worth its cost.
const minAttemptTime = 50 * time.Millisecond

// attempt sends the request to the chosen target once, and forwards the response if
// it is final.
func (q *request) attempt() attemptResult {
	t := q.chosen.Target
	ctx := q.r.Context()
	if q.route.Kind != snipetable.Idempotent {
		// The target finishes such a request even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	sent := time.Now()
	resp, err := q.gate.Sender.Send(ctx, &snipeconn.Request{
		Address: t.Address, Method: q.r.Method, URI: q.uri, Host: q.r.Host, Header: q.r.Header,
		Overrides: q.gate.HeaderCodec.TargetHeaders(time.Until(q.deadline), t.ID),
		Body:      q.body, HasBody: q.r.ContentLength != 0 || q.r.Header.Get("Content-Length") != "",
		IDHeader: q.gate.HeaderCodec.IDHeader(), ID: q.call.ID, Deadline: q.deadline,
		Avoid: q.refusedOver, Confirm: func() error { return q.confirm(t) },
	})
	if err != nil {
		return q.handleFailure(t, sent, err)
	}
	defer resp.Close()
	return q.handleResponse(t, sent, resp)
}

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
	q.recordNotRun(t, reasonNotSent, "", 0)
	return notSent
}

// handleResponse forwards the response of a target, or returns why the request has
// to be retried or refused instead.
func (q *request) handleResponse(t *snipefleet.Target, sent time.Time, resp *snipeconn.Response) attemptResult {
	s := q.gate.HeaderCodec.Statement(resp.Status, resp.Header)
	q.recordStatements(t, s)
	q.reused = resp.Reused
	tooSlow := resp.Status == http.StatusGatewayTimeout && !s.NotRun
	result := snipeplacement.Result{Latency: time.Since(sent), Load: s.Load, Completed: !s.NotRun && !tooSlow, Failed: tooSlow}
	if resp.Stream == nil {
		q.gate.Chooser.RecordResult(q.gate.Clock.Now(), t, result)
	} else {
		defer func() { q.recordStreamEnd(t, result) }()
	}
	switch {
	case s.WrongTarget:
		q.gate.Fleet.MarkMisaddressed(t)
		q.recordNotRun(t, reasonMisaddressed, resp.LocalAddr(), resp.Status)
		q.outcome = OutcomeTargetRefused
		return notRun
	case s.NotRun:
		q.refusedOver = resp.LocalAddr()
		q.recordNotRun(t, reasonStated, q.refusedOver, resp.Status)
		q.outcome, q.retryDelay = OutcomeTargetRefused, fullTargetRetryDelay
		if hasFreeSlot(s.Load) && s.Rest == 0 {
			// The refusal is temporary, since the target has a free slot: it
			// remains a candidate, because it probably has the object cached.
			q.excluded = q.excluded[:len(q.excluded)-1]
			q.retryDelay = minRetryAfter
		}
		return notRun
	case resp.Status < http.StatusMultipleChoices && !s.Signed:
		q.outcome = OutcomeUnsigned
		return mayHaveRun
	case impliesNotRun(resp.Status):
		// The status implies that the request has not run, but the target does not
		// state so. Forwarding it could make the caller repeat what has run.
		q.outcome = OutcomeTargetFailed
		return mayHaveRun
	case resp.Status >= http.StatusInternalServerError && q.route.Kind == snipetable.Idempotent &&
		resp.Stream == nil && q.acquireRetry(mayHaveRun):
		q.outcome = OutcomeTargetFailed
		return q.retryOrForward(resp)
	}
	q.forward(resp)
	return delivered
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
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
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
	q.begun = true
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
	panic(http.ErrAbortHandler)
}

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

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// verdict is what follows from an attempt.
type verdict int

const (
	// final means that the caller has its answer.
	final verdict = iota
	// notSent means that nothing of the request has reached a target.
	notSent
	// notRun means that the target has refused the request without running it.
	notRun
	// uncertain means that the target can have begun it, without a full answer.
	uncertain
)

// attempts sends the request until it has an answer or must not be sent again.
func (q *request) attempts() {
	for {
		if err := q.r.Context().Err(); err != nil {
			q.cause = err
			q.refuse(OutcomeCallerGone, 0)
			return
		}
		if refusal := q.choose(); refusal != nil {
			q.giveUp(refusal)
			return
		}
		v := q.attempt()
		switch v {
		case final:
			return
		case uncertain:
			q.begun = true
			if q.route.Kind != snipetable.Idempotent {
				q.refuse(q.outcome, 0)
				return
			}
		case notRun, notSent:
		}
		if !q.again(v) {
			q.refuse(q.outcome, q.comeBack)
			return
		}
		q.reportRetry()
	}
}

// reportRetry logs and counts a request that is sent once more.
func (q *request) reportRetry() {
	q.gate.Metrics.retried(q.outcome)
	q.gate.Log.Info("retry", zap.String("request", q.call.ID), zap.String("reason", string(q.outcome)),
		zap.String("target", q.look.Target.ID), zap.Bool("reusedConnection", q.reused), zap.Error(q.cause))
	q.cause = nil
}

// fullDelay is when a caller comes back after a full target refused its request.
const fullDelay = 150 * time.Millisecond

// giveUp refuses a request for which there is no target, or no further one.
func (q *request) giveUp(refusal *snipeplacement.Refusal) {
	if len(q.tried) == 0 {
		q.outcome = Outcome(refusal.Reason)
	}
	q.refuse(q.outcome, refusal.RetryAfter)
}

// choose picks the target of the next attempt.
func (q *request) choose() *snipeplacement.Refusal {
	look, refusal := q.gate.Chooser.Choose(q.gate.Clock.Now(), q.gate.Fleet.View(), &snipeplacement.Query{
		Service: q.service,
		Info:    q.table.Service(q.service),
		Route:   q.route,
		Object:  q.object(),
		Tried:   q.excluded,
	})
	if refusal != nil {
		q.refusal = refusal
		return refusal
	}
	q.look = look
	q.tried = append(q.tried, look.Target)
	q.excluded = append(q.excluded, look.Target)
	return nil
}

// spreadKeys is the number of keys over which requests without an object spread.
const spreadKeys = 64

// object returns the key by which targets are chosen. Requests without an object,
// or of routes on which it does not matter, spread over all targets.
func (q *request) object() string {
	if q.route.Sticky && q.call.Object != "" {
		return q.call.Object
	}
	if q.spread == "" {
		q.spread = "~" + strconv.Itoa(rand.IntN(spreadKeys))
	}
	return q.spread
}

// again reports whether the request may be sent once more after an attempt that
// ended with v. What reached no target takes nothing from the budget.
func (q *request) again(v verdict) bool {
	if len(q.tried) >= q.route.Attempts || q.r.Context().Err() != nil {
		return false
	}
	if time.Until(q.deadline) < minAttemptTime {
		return false
	}
	return v == notSent || q.gate.spendRetry(q.service)
}

// minAttemptTime is the least time for which an attempt is worth its cost.
const minAttemptTime = 50 * time.Millisecond

// attempt sends the request once and passes a final answer on.
func (q *request) attempt() verdict {
	t := q.look.Target
	ctx := q.r.Context()
	if q.route.Kind != snipetable.Idempotent {
		// A target that runs such a request is left to finish it.
		ctx = context.WithoutCancel(ctx)
	}
	sent := time.Now()
	resp, err := q.gate.Sender.Send(ctx, &snipeconn.Request{
		Address: t.Address, Method: q.r.Method, URI: q.uri, Host: q.r.Host, Header: q.r.Header,
		Extra: q.gate.Dialect.Outbound(time.Until(q.deadline), t.ID),
		Body:  q.body, HasBody: q.r.ContentLength != 0 || q.r.Header.Get("Content-Length") != "",
		IDHeader: q.gate.Dialect.IDHeader(), ID: q.call.ID, Deadline: q.deadline,
	})
	if err != nil {
		return q.failed(t, sent, err)
	}
	defer resp.Close()
	return q.answered(t, sent, resp)
}

func (q *request) failed(t *snipefleet.Target, sent time.Time, err error) verdict {
	failure := &snipeconn.Error{Begun: true, Cause: snipeconn.CauseLost, Err: err}
	errors.As(err, &failure)
	q.cause, q.reused = failure, failure.Reused
	result := snipeplacement.Result{Latency: time.Since(sent)}
	switch failure.Cause {
	case snipeconn.CauseDial:
		q.outcome, result.Unreachable = OutcomeUnreachable, true
	case snipeconn.CauseTimeout:
		q.outcome, result.Broken = OutcomeTimeout, true
	case snipeconn.CauseCancelled:
		q.outcome = OutcomeCallerGone
	case snipeconn.CauseLost:
		q.outcome, result.Broken = OutcomeLost, true
	case snipeconn.CauseMalformed:
		q.outcome, result.Broken = OutcomeMalformed, true
	case snipeconn.CauseTooLong:
		q.outcome, result.Broken = OutcomeTooLong, true
	}
	q.gate.Chooser.Done(q.gate.Clock.Now(), t, result)
	if failure.Begun {
		return uncertain
	}
	return notSent
}

func (q *request) answered(t *snipefleet.Target, sent time.Time, resp *snipeconn.Response) verdict {
	s := q.gate.Dialect.Statement(resp.Status, resp.Header)
	q.reused = resp.Reused
	tooSlow := resp.Status == http.StatusGatewayTimeout && !s.NotRun
	result := snipeplacement.Result{Latency: time.Since(sent), Load: s.Load, Answered: !s.NotRun && !tooSlow, Broken: tooSlow}
	if resp.Rest == nil {
		q.gate.Chooser.Done(q.gate.Clock.Now(), t, result)
	} else {
		defer func() { q.streamed(t, result) }()
	}
	switch {
	case s.Misaddressed:
		q.gate.Fleet.Misaddressed(t)
		q.outcome = OutcomeTargetRefused
		return notRun
	case s.NotRun:
		q.outcome, q.comeBack = OutcomeTargetRefused, fullDelay
		if hasFreeSlot(s.Load) {
			// The next request may be served, by a target that knows the object.
			q.excluded = q.excluded[:len(q.excluded)-1]
			q.comeBack = minRetryAfter
		}
		return notRun
	case resp.Status < http.StatusMultipleChoices && !s.Signed:
		q.outcome = OutcomeUnsigned
		return uncertain
	case promisesNotRun(resp.Status):
		// The target does not state what its status says.
		q.outcome = OutcomeTargetFailed
		return uncertain
	case resp.Status >= http.StatusInternalServerError && q.route.Kind == snipetable.Idempotent &&
		resp.Rest == nil && q.again(uncertain):
		q.outcome = OutcomeTargetFailed
		return q.repeatOrPass(resp)
	}
	q.pass(resp)
	return final
}

// streamed notes the end of an answer that was passed on as it came. The load that
// it states is that of its beginning.
func (q *request) streamed(t *snipefleet.Target, result snipeplacement.Result) {
	var failure *snipeconn.Error
	if errors.As(q.cause, &failure) && failure.Cause != snipeconn.CauseCancelled {
		result.Answered, result.Broken = false, true
	}
	result.Load = nil
	q.gate.Chooser.Done(q.gate.Clock.Now(), t, result)
}

// hasFreeSlot reports whether a target states that a slot is free.
func hasFreeSlot(l *snipeplacement.Load) bool {
	return l != nil && l.Running+l.Waiting < l.Slots
}

// promisesNotRun reports whether callers take a status as a promise that their
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// repeatOrPass is called with a retry taken from the budget: a target failed an
// idempotent request.
func (q *request) repeatOrPass(resp *snipeconn.Response) verdict {
	if refusal := q.choose(); refusal != nil {
		q.pass(resp)
		return final
	}
	q.begun = true
	q.reportRetry()
	if v := q.attempt(); v != final {
		q.pass(resp)
	}
	return final
}

// pass sends the answer of a target to the caller.
func (q *request) pass(resp *snipeconn.Response) {
	q.outcome, q.status = OutcomeAnswered, resp.Status
	h := q.w.Header()
	for name, values := range resp.Header {
		if !snipeconn.ConnectionHeader(name) {
			h[name] = values
		}
	}
	if resp.Length >= 0 && q.r.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(resp.Length, 10)}
	}
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(resp.Body); err != nil {
		q.cut(err)
	}
	if resp.Rest == nil {
		return
	}
	if _, err := io.Copy(q.w, resp.Rest); err != nil {
		q.cut(err)
	}
}

// cut ends the caller's connection, so that an answer that ends early cannot be
// taken for a complete one.
func (q *request) cut(err error) {
	q.outcome, q.cause = OutcomeCut, err
	q.gate.report(q)
	panic(http.ErrAbortHandler)
}

package snipegate

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
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
	if !q.route.Kind.Repeatable() {
		q.excluded = q.gate.refusals.refusedBy(q.gate.Clock.Now(), q.call.ID)
		q.refusedBefore = len(q.excluded)
	}
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
			if !q.route.Kind.Repeatable() {
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
		Tenant:   q.tenant,
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
// with the given result. It may not if its key was removed. acquireRetry charges the retry to
// the retry budget, unless the request reached no target and so put no load on one.
func (q *request) acquireRetry(result attemptResult) bool {
	if len(q.tried) >= q.route.MaxAttempts || q.r.Context().Err() != nil || q.recheckKey() != "" {
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

// firstReported returns when this front first received a report of t.
func (q *request) firstReported(t *snipefleet.Target) time.Time {
	return time.Now().Add(-q.gate.Clock.Now().Sub(t.FirstReported))
}

// attempt sends the request to the chosen target once, and forwards the response if
// it is final.
func (q *request) attempt() attemptResult {
	t := q.chosen.Target
	ctx := q.r.Context()
	if !q.route.Kind.Repeatable() {
		// The target finishes such a request even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	q.attempts.begin()
	sent := time.Now()
	resp, err := q.gate.Sender.Send(ctx, &snipeconn.Request{
		Address: t.Address, Method: q.r.Method, URI: q.uri, Host: q.r.Host, Header: q.r.Header,
		Overrides: q.gate.HeaderCodec.TargetHeaders(TargetContext{Target: t.ID, Remaining: time.Until(q.deadline), Tenant: q.tenant}),
		Omitted:   q.omittedHeaders(),
		Body:      q.body, HasBody: q.r.ContentLength != 0 || q.r.Header.Get("Content-Length") != "",
		IDHeader: q.gate.HeaderCodec.IDHeader(), ID: q.call.ID, Deadline: q.deadline,
		OpenedSince: q.firstReported(t), Confirm: func() error { return q.confirm(t) },
	})
	if err != nil {
		return q.handleFailure(t, sent, err)
	}
	defer resp.Close()
	return q.handleResponse(t, sent, resp)
}

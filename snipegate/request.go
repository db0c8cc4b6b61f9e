package snipegate

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// request is the state of one request of a caller while it is handled.
type request struct {
	gate *Gate
	w    http.ResponseWriter
	r    *http.Request
	// arrived is when the request arrived, and pipelineWait is how long it waited for
	// the responses to earlier requests on its connection.
	arrived      time.Time
	pipelineWait time.Duration
	// startedEarly is set if the request was sent before the responses to earlier
	// requests on its connection were delivered.
	startedEarly bool
	call         RequestHeaders

	// checkedAt is when table was read, or 0 if nothing depends on it. recent is set if
	// table contains all revocations that must be in force at that time.
	checkedAt snipetime.Instant
	recent    bool
	table     *snipetable.Table
	route     *snipetable.Route
	// tenant is the tenant of the key, or nil for a request that needs none.
	tenant *snipetable.Tenant
	// charged is the tenant of whose quota the request holds a token, or nil.
	charged *snipetable.Tenant
	service string
	uri     string
	// spreadKey is the random affinity key of a request without an object.
	spreadKey string
	body      []byte
	// reservedBytes is the body memory that the request has reserved.
	reservedBytes int64
	// deadline is the time at which attempts end and no retry begins.
	deadline time.Time
	// tried are the targets of all attempts, in order.
	tried []*snipefleet.Target
	// excluded are the targets that are not chosen again, nor others at their addresses.
	excluded []*snipefleet.Target
	// refusedBefore is the number of targets that refused an earlier request with the same
	// identifier.
	refusedBefore int
	// reused is set if the last attempt used a kept connection.
	reused bool
	// chosen is the target of the last attempt with its load when it was chosen;
	// refusal is set if no target was available.
	chosen  snipeplacement.Candidate
	refusal *snipeplacement.Refusal
	// attempts records all attempts, including those that were not sent.
	attempts attemptRecord
	// retryDelay is the delay before a retry by the caller that the last refusal of a
	// target implies; zero means none.
	retryDelay time.Duration
	// retryAfter is the delay in the Retry-After header.
	retryAfter time.Duration

	outcome Outcome
	status  int
	cause   error
}

// serve handles the request from admission to the response.
func (q *request) serve() {
	if !q.admit() {
		return
	}
	if !q.readBody() {
		return
	}
	if revoked := q.recheckKey(); revoked != "" {
		q.refuse(revoked, disabledRetryDelay)
		return
	}
	q.service = q.route.PickService(rand.Float64())
	q.gate.recordFirstAttempt(q.service)
	q.runAttempts()
}

// admit determines the route, the tenant and the deadline. It refuses requests that cannot
// be routed, are not allowed or have no time left, and then returns false.
func (q *request) admit() bool {
	if q.table == nil {
		q.checkedAt, q.recent, q.table = q.gate.configuration()
	}
	if q.table == nil {
		q.refuse(OutcomeNoConfiguration, time.Second)
		return false
	}
	if q.call.ID == "" {
		q.refuse(OutcomeNoID, 0)
		return false
	}
	q.uri = requestURI(q.r)
	q.route = matchRoute(q.table, q.r)
	if q.route == nil {
		q.refuse(OutcomeNoRoute, 0)
		return false
	}
	if !q.authenticate() {
		return false
	}
	wait := q.route.Timeout
	if q.call.Timeout > 0 {
		wait = min(wait, q.call.Timeout)
	}
	q.deadline = q.arrived.Add(wait)
	if !time.Now().Before(q.deadline) {
		q.refuse(OutcomeTimeout, 0)
		return false
	}
	if q.gate.rejectsWhileStopping(time.Now(), q.deadline) {
		q.refuse(OutcomeStopping, 0)
		return false
	}
	if !q.chargeQuota() {
		return false
	}
	// A response that is ready at the deadline can still be written.
	q.setConnDeadline("write", http.NewResponseController(q.w).SetWriteDeadline, q.deadline.Add(writeGrace))
	return true
}

// minLoggedWait is the pipelineWait above which the wait is logged.
const minLoggedWait = time.Millisecond

// writeGrace is how long after the deadline of a request its response may still be
// written to the caller.
const writeGrace = 5 * time.Second

// setConnDeadline calls set, which sets the read or the write deadline of the
// caller's connection, and logs an error under the given name.
func (q *request) setConnDeadline(name string, set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil {
		q.gate.Log.Warn("deadline of a caller's connection is not set", zap.String("request", q.call.ID),
			zap.String("deadline", name), zap.Error(err))
	}
}

// refuse writes a response of the front itself, with retryAfter raised to
// minRetryAfter.
func (q *request) refuse(o Outcome, retryAfter time.Duration) {
	q.outcome = o
	q.retryAfter = max(retryAfter, minRetryAfter)
	if q.call.ID != "" {
		// The caller can tell by it to which of its requests the refusal belongs.
		q.w.Header().Set(q.gate.HeaderCodec.IDHeader(), q.call.ID)
	}
	p := q.attempts.promise()
	if p != nil {
		q.returnToken()
	}
	q.status = writeRefusal(q.w, o, p, q.retryAfter)
}

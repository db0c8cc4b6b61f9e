package snipegate

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
)

// Reasons for which an attempt has not run.
const (
	reasonNotSent      = "notSent"
	reasonStated       = "stated"
	reasonMisaddressed = "misaddressed"
)

// notRunAttempt is an attempt of which the gate knows that the target has not run it and
// never will.
type notRunAttempt struct {
	// attempt is the number of the attempt, from 1.
	attempt int
	// target is the ID of the target that was asked, and address where it was asked.
	target, address string
	// reason says what the knowledge rests on: nothing was written, the target states it,
	// or another target has the address.
	reason string
	// after is the time from the arrival of the request to the knowledge.
	after time.Duration
	// response is the response that says so, or nil if nothing was written.
	response *refusalResponse
}

// refusalResponse describes a response that refuses a request.
type refusalResponse struct {
	status int
	// responder is the ID that the response states for the target that sent it, or empty.
	responder string
	// localAddr is the local address of the connection, age the time since it was opened,
	// and earlier the number of requests that were sent over it before.
	localAddr string
	age       time.Duration
	earlier   int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a *notRunAttempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("attempt", a.attempt)
	e.AddString("target", a.target)
	e.AddString("address", a.address)
	e.AddString("reason", a.reason)
	e.AddDuration("after", a.after)
	if a.response == nil {
		return nil
	}
	e.AddInt("status", a.response.status)
	e.AddString("responder", a.response.responder)
	e.AddString("connection", a.response.localAddr)
	e.AddDuration("connectionAge", a.response.age)
	e.AddInt("earlierRequests", a.response.earlier)
	return nil
}

// attemptRecord holds for each attempt of a request, in order, what shows that it has not
// run, or nil if nothing does.
type attemptRecord []*notRunAttempt

// begin records an attempt that is made now. It counts as one that may have run until
// settle is called.
func (r *attemptRecord) begin() { *r = append(*r, nil) }

// settle records what shows that the last attempt has not run. It sets the number of the
// attempt.
func (r attemptRecord) settle(a notRunAttempt) {
	a.attempt = len(r)
	r[len(r)-1] = &a
}

// promise returns the promise that the request has not run, or nil if an attempt may have
// run.
func (r attemptRecord) promise() *promise {
	if slices.Contains(r, nil) {
		return nil
	}
	return &promise{attempts: r}
}

// MarshalLogArray implements zapcore.ArrayMarshaler. It encodes the attempts that have not
// run.
func (r attemptRecord) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, a := range r {
		if a == nil {
			continue
		}
		if err := e.AppendObject(a); err != nil {
			return err //nolint:wrapcheck // an encoder returns its own errors
		}
	}
	return nil
}

// promise is the guarantee that a request has not run and never will. attemptRecord.promise
// returns it. A request without attempts was offered to no target.
type promise struct{ attempts attemptRecord }

// status returns the status code with which the front gives the promise.
func (*promise) status(o Outcome) int {
	switch o {
	case OutcomeBodyTimeout:
		return http.StatusRequestTimeout
	case OutcomeOverQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// settleNotSent records that nothing of the last attempt, at t, was written.
func (q *request) settleNotSent(t *snipefleet.Target) {
	q.attempts.settle(notRunAttempt{target: t.ID, address: t.Address, reason: reasonNotSent, after: time.Since(q.arrived)})
}

// named reports whether the headers of a response carry the identifier of the request.
func (q *request) named(h http.Header) bool {
	return h.Get(q.gate.HeaderCodec.IDHeader()) == q.call.ID
}

// settleRefused records that the last attempt, at t, has not run, as the response says. It
// returns false if the response does not show that.
func (q *request) settleRefused(t *snipefleet.Target, h ResponseHeaders, resp *snipeconn.Response) bool {
	// A target that says that it is not itself sends the response to an earlier request.
	contradictory := h.WrongTarget && h.Responder == t.ID
	if !h.NotRun || !q.named(resp.Header) || resp.Status < http.StatusBadRequest || contradictory {
		return false
	}
	reason := reasonStated
	if h.WrongTarget {
		reason = reasonMisaddressed
	}
	q.attempts.settle(notRunAttempt{
		target: t.ID, address: t.Address, reason: reason, after: time.Since(q.arrived),
		response: &refusalResponse{
			status: resp.Status, responder: h.Responder,
			localAddr: resp.LocalAddr(), age: time.Since(resp.ConnOpened()), earlier: resp.EarlierRequests(),
		},
	})
	if !q.route.Kind.Repeatable() {
		q.gate.refusals.add(q.gate.Clock.Now(), q.call.ID, t)
	}
	return true
}

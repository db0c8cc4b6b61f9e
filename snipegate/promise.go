package snipegate

import (
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
	// named means that the response carries the identifier of the request.
	named bool
	// responder is the ID that the response states for the target that sent it, or empty.
	responder string
	// localAddr is the local address of the connection, age the time since it was opened,
	// and earlier the number of requests that were sent over it before.
	localAddr string
	age       time.Duration
	earlier   int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a notRunAttempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("attempt", a.attempt)
	e.AddString("target", a.target)
	e.AddString("address", a.address)
	e.AddString("reason", a.reason)
	e.AddDuration("after", a.after)
	if a.response == nil {
		return nil
	}
	e.AddInt("status", a.response.status)
	e.AddBool("named", a.response.named)
	e.AddString("responder", a.response.responder)
	e.AddString("connection", a.response.localAddr)
	e.AddDuration("connectionAge", a.response.age)
	e.AddInt("earlierRequests", a.response.earlier)
	return nil
}

// notRunAttempts are the attempts on which a promise rests that a request has not run. If
// there are none, the request was offered to no target.
type notRunAttempts []notRunAttempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l notRunAttempts) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, a := range l {
		if err := e.AppendObject(a); err != nil {
			return err //nolint:wrapcheck // an encoder returns its own errors
		}
	}
	return nil
}

// recordNotSent records an attempt of which nothing was written.
func (q *request) recordNotSent(t *snipefleet.Target) {
	q.recordNotRun(t, reasonNotSent, nil)
}

// recordRefusal records an attempt whose response states that it has not run.
func (q *request) recordRefusal(t *snipefleet.Target, reason string, h ResponseHeaders, resp *snipeconn.Response) {
	q.recordNotRun(t, reason, &refusalResponse{
		status: resp.Status, named: resp.Header.Get(q.gate.HeaderCodec.IDHeader()) == q.call.ID, responder: h.Responder,
		localAddr: resp.LocalAddr(), age: time.Since(resp.ConnOpened()), earlier: resp.EarlierRequests(),
	})
}

// recordNotRun records that the last attempt, at t, has not run. response is nil if nothing
// was written.
func (q *request) recordNotRun(t *snipefleet.Target, reason string, response *refusalResponse) {
	q.notRun = append(q.notRun, notRunAttempt{
		attempt: q.attempts, target: t.ID, address: t.Address, reason: reason, after: time.Since(q.arrived), response: response,
	})
}

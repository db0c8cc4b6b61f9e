package snipegate

import (
	"go.uber.org/zap/zapcore"

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
	target string
	// reason says what the knowledge rests on: nothing was written, the target states it,
	// or another target has the address.
	reason string
	// localAddr is the local address of the connection, and status that of the response.
	// They are empty and zero if nothing was written.
	localAddr string
	status    int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a notRunAttempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("target", a.target)
	e.AddString("reason", a.reason)
	if a.localAddr != "" {
		e.AddString("connection", a.localAddr)
		e.AddInt("status", a.status)
	}
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

// recordNotRun records that an attempt has not run.
func (q *request) recordNotRun(t *snipefleet.Target, reason, localAddr string, status int) {
	q.notRun = append(q.notRun, notRunAttempt{t.ID, reason, localAddr, status})
}

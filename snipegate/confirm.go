package snipegate

import (
	"errors"
	"fmt"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
)

// unavailableError means that a target must not be sent a request for which it was chosen.
type unavailableError struct {
	target string
	reason snipeplacement.Reason
}

// Error implements error.
func (e *unavailableError) Error() string { return fmt.Sprintf("target %s: %s", e.target, e.reason) }

// errCallerGone means that the caller has closed its connection.
var errCallerGone = errors.New("caller has disconnected")

// confirm returns an error if the request must not be sent to t any more, because since t
// was chosen the caller has disconnected or t has become unavailable.
func (q *request) confirm(t *snipefleet.Target) error {
	if snipecaller.Disconnected(q.r) {
		return errCallerGone
	}
	if reason := q.gate.Chooser.Recheck(q.gate.Clock.Now(), q.gate.Fleet.View(), t); reason != "" {
		return &unavailableError{t.ID, reason}
	}
	return nil
}

// withdrawAttempt undoes the choice of the last target, to which nothing was sent because
// of err, and sets the outcome. The target is not chosen again.
func (q *request) withdrawAttempt(err error) {
	q.tried = q.tried[:len(q.tried)-1]
	q.outcome = OutcomeCallerGone
	var unavailable *unavailableError
	if errors.As(err, &unavailable) {
		q.outcome = Outcome(unavailable.reason)
	}
}

package snipedaemon

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
)

// slotAdapter implements snipeforward.Slots.
type slotAdapter struct{ f *forwardAdapter }

// Acquire implements snipeforward.Slots.
func (a slotAdapter) Acquire(ctx context.Context, r snipeforward.SlotRequest) (string, *snipeforward.Refusal) {
	group, ok := a.f.d.planning.mostFreeGroup(r.Service.Team, r.Service.Name, r.Place)
	if !ok {
		return "", &snipeforward.Refusal{Reason: "noTarget"}
	}
	target, refusal := a.f.d.slots.acquire(ctx, slotRequest{
		group: group, attemptID: r.AttemptID, budget: r.Budget, maxWait: r.MaxWait,
		excluded: r.Excluded, hedge: r.Hedge, revoke: r.Revoke,
	})
	if refusal != nil {
		return "", &snipeforward.Refusal{Reason: string(refusal.reason), RetryAfter: refusal.retryAfter}
	}
	return target, nil
}

// Release implements snipeforward.Slots.
func (a slotAdapter) Release(attemptID string, result snipeforward.AttemptResult, latency time.Duration) {
	outcome := snipeslot.OutcomeCancelled
	switch result {
	case snipeforward.AttemptDone:
		outcome = snipeslot.OutcomeDone
	case snipeforward.AttemptFailed:
		outcome = snipeslot.OutcomeFailed
	case snipeforward.AttemptDialFailed:
		outcome = snipeslot.OutcomeDialFailed
	case snipeforward.AttemptShed:
		outcome = snipeslot.OutcomeShed
	case snipeforward.AttemptCancelled:
	}
	if outcome == snipeslot.OutcomeCancelled && latency > 0 {
		// The target works on the request until it notices the cancellation, so
		// its slot is not free yet.
		a.f.d.clock.After(cancelNoticeDelay, func(snipetime.Instant) { a.f.d.slots.finishAttempt(attemptID, outcome, latency) })
		return
	}
	a.f.d.slots.finishAttempt(attemptID, outcome, latency)
}

// cancelNoticeDelay is the time within which a target notices that the
// connection of a request was closed: several one-way delays between failure
// domains.
const cancelNoticeDelay = 20 * time.Millisecond

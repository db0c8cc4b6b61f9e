package snipedaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
)

// localAttempt is an attempt of this instance that waits for a slot or runs
// under a grant.
type localAttempt struct {
	group string
	reply chan slotResult
	// revoke cancels the attempt if its grant cannot be renewed.
	revoke func()
}

// slotResult is the result of a request for a slot: the target of the grant, or
// the reason for a refusal.
type slotResult struct {
	target     string
	reason     snipeslot.Reason
	retryAfter time.Duration
}

// slotRequest asks for a slot of a group of the own region. The fields besides
// group have the meaning of those in snipeforward.SlotRequest.
type slotRequest struct {
	group     string
	attemptID string
	budget    time.Duration
	maxWait   time.Duration
	excluded  []string
	hedge     bool
	revoke    func()
}

// acquire waits for a slot of a group of the own region and returns the target.
// It returns a refusal if there is no slot or ctx ends; then the attempt must
// not start.
func (s *slots) acquire(ctx context.Context, r slotRequest) (target string, refusal *slotRefusal) {
	attempt := &localAttempt{group: r.group, reply: make(chan slotResult, 1), revoke: r.revoke}
	s.mu.Lock()
	now := s.clock.Now()
	message, ok := s.attemptHolder.Begin(now, snipeslot.Acquire{
		Group: r.group, AttemptID: r.attemptID, Budget: r.budget, MaximumWait: r.maxWait,
		Excluded: r.excluded, Hedge: r.hedge,
	})
	if !ok {
		_, known := s.groups[r.group]
		s.mu.Unlock()
		if !known {
			return "", &slotRefusal{reason: snipeslot.ReasonNoTarget}
		}
		return "", &slotRefusal{reason: snipeslot.ReasonLeaseLapsed, retryAfter: time.Second}
	}
	s.localAttempts[r.attemptID] = attempt
	s.sendAcquire(now, message)
	s.mu.Unlock()
	select {
	case result := <-attempt.reply:
		if result.reason != snipeslot.ReasonNone {
			return "", &slotRefusal{reason: result.reason, retryAfter: result.retryAfter}
		}
		return result.target, nil
	case <-ctx.Done():
	}
	return "", s.abandonRequest(r.attemptID, attempt)
}

// slotRefusal is the reason why there is no slot. The attempt was not sent to
// any target.
type slotRefusal struct {
	reason     snipeslot.Reason
	retryAfter time.Duration
}

// abandonRequest withdraws a request whose context has ended. A grant that
// arrived in the meantime is released.
func (s *slots) abandonRequest(attemptID string, attempt *localAttempt) *slotRefusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.localAttempts, attemptID)
	if c, ok := s.attemptHolder.Abandon(attemptID); ok {
		s.sendCancel(c)
	} else if release, running := s.attemptHolder.Finish(attemptID, snipeslot.OutcomeCancelled, 0); running {
		s.sendRelease(release)
	}
	select {
	case result := <-attempt.reply:
		if result.reason != snipeslot.ReasonNone {
			return &slotRefusal{reason: result.reason, retryAfter: result.retryAfter}
		}
	default:
	}
	return &slotRefusal{reason: snipeslot.ReasonDeadline}
}

// finishAttempt ends an attempt and releases its slot.
func (s *slots) finishAttempt(attemptID string, outcome snipeslot.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.localAttempts, attemptID)
	if release, ok := s.attemptHolder.Finish(attemptID, outcome, latency); ok {
		s.sendRelease(release)
	}
}

// cancelAttempts cancels attempts without a valid grant. During resumeGrace
// after a pause of the process it does nothing; a later tick returns these
// attempts again. The caller holds the lock.
func (s *slots) cancelAttempts(now snipetime.Instant, attemptIDs []string) {
	if s.resumedAt != 0 && now.Sub(s.resumedAt) < resumeGrace {
		return
	}
	for _, id := range attemptIDs {
		attempt, ok := s.localAttempts[id]
		if !ok {
			continue
		}
		s.log.Warn("attempt cancelled without a grant", zap.String("attempt", id), zap.String("group", attempt.group))
		if attempt.revoke != nil {
			attempt.revoke()
		}
	}
}

// resolveRequest passes the result of a request to the goroutine that waits in
// acquire. The caller holds the lock.
func (s *slots) resolveRequest(attemptID string, result slotResult) {
	attempt, ok := s.localAttempts[attemptID]
	if !ok {
		return
	}
	if result.reason != snipeslot.ReasonNone {
		delete(s.localAttempts, attemptID)
	}
	select {
	case attempt.reply <- result:
	default:
	}
}

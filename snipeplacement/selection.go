package snipeplacement

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// targetsPerObject is the number of targets to which an object is assigned.
const targetsPerObject = 2

// maxReportedCandidates bounds the candidates that a refusal lists.
const maxReportedCandidates = 4

// selection is the state of one search for a target below its concurrency limit.
type selection struct {
	chooser *Chooser
	now     snipetime.Instant
	view    *snipefleet.View
	query   *Query
	// considered is the number of targets that were neither suspect nor cold, and whose
	// rate limits admit the request.
	considered int
	// limitFactor is the part of the concurrency limits that the rank of the request keeps.
	limitFactor float64
	// ranked is set if requests of several ranks ask for the service, and urgent if this
	// is one of the most urgent of them.
	ranked, urgent bool
	// lowered is set if a target is full for the rank of the request, and not for the most
	// urgent one.
	lowered    bool
	refusal    Refusal
	skipped    [maxReportedCandidates]Candidate
	numSkipped int
	// soonest is the full target that is expected to be below its limit first, at
	// soonestFree.
	soonest     *targetState
	soonestFree snipetime.Instant
	// limited is the first target whose rate limit does not admit the request, and
	// numLimited the number of such targets.
	limited    *snipefleet.Target
	numLimited int
	// chosen is the state of the target that was evaluated last, and so of the chosen one.
	chosen *targetState
	// postponed is the target that is used if no other is expected to end the request
	// sooner, and postponedState its state.
	postponed      Candidate
	postponedState *targetState
}

// buildRefusal returns the refusal. If targets are full or limited, it reserves a retry
// time of its own for this caller, so that refused callers do not all retry at once.
func (s *selection) buildRefusal() *Refusal {
	out := s.refusal
	out.Candidates = slices.Clone(s.skipped[:s.numSkipped])
	switch {
	case s.soonest != nil && out.Reason == ReasonFull:
		out.RetryAfter = s.soonest.reserveRetry(s.now, s.soonestFree, s.urgent)
	case s.limited != nil && out.Reason == ReasonLimited:
		out.RetryAfter = s.chooser.limits.RetryDelay(s.now, s.limited)
	}
	return &out
}

// firstAdmitting returns the first of the targets to which the request can be sent,
// and false if there is none among the first targetsPerObject that are neither
// suspect nor cold and whose rate limits admit the request.
func (s *selection) firstAdmitting(targets []*snipefleet.Target) (Candidate, bool) {
	for _, t := range targets {
		if s.considered == targetsPerObject {
			break
		}
		if !s.query.allowsRegion(t.Place.Region) || s.query.excludes(t) {
			continue
		}
		candidate := s.evaluate(t)
		if candidate.SkipReason == "" {
			return candidate, true
		}
		if s.numSkipped < maxReportedCandidates {
			s.skipped[s.numSkipped] = candidate
			s.numSkipped++
		}
	}
	if s.postponed.Target != nil {
		s.chosen = s.postponedState
		return s.postponed, true
	}
	return Candidate{}, false
}

// merge adds the reason and the delay at another target: of the same reason, the
// shortest delay counts; ReasonFull is kept, and ReasonResting replaces no other reason
// of a target; any other reason is replaced.
func (r *Refusal) merge(reason Reason, delay time.Duration) {
	if r.Reason == reason {
		r.RetryAfter = min(r.RetryAfter, delay)
		return
	}
	if r.Reason == ReasonFull || reason == ReasonResting && r.Reason != ReasonNoTarget {
		return
	}
	r.Reason, r.RetryAfter = reason, delay
}

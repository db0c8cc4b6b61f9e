package snipeplacement

import (
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// noTargetRetryDelay is the retry delay if no target is known, or if the targets
	// are suspect. Targets register within about that time.
	noTargetRetryDelay = 500 * time.Millisecond
	// coldRetryDelay is the retry delay if the targets are cold.
	coldRetryDelay = 300 * time.Millisecond
	// defaultServiceTime is the assumed service time of a target that has not
	// responded yet.
	defaultServiceTime = 150 * time.Millisecond
	// othersDecayTime is the time constant of the exponential decay of the load that
	// other fronts were last reported to cause at a target.
	othersDecayTime = time.Second
	// maxFullRetryDelay bounds the reserved retry times at a full target. Callers
	// give up soon after.
	maxFullRetryDelay = time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeSmoothing = 0.1
)

// targetState is the state of one incarnation of a target at this front.
type targetState struct {
	born int64
	// inFlight is the number of requests that this front has in flight.
	inFlight int
	// othersLoad is the number of requests of other fronts at the time reportedAt.
	othersLoad float64
	reportedAt snipetime.Instant
	// reportedLoad is the number of requests that the target reported then.
	reportedLoad int
	// reportedSlowness is the slowness that the target reported then, or 0 if it is
	// unknown.
	reportedSlowness float64
	// slownessUnreadable is set once a statement about it could not be read.
	slownessUnreadable bool
	// serviceTime is the moving average of the latency of complete responses.
	serviceTime time.Duration
	// failures is the number of consecutive failures, and failedAt is the time of the
	// last one.
	failures int
	failedAt snipetime.Instant
	// coldBucket limits the rate of requests to a cold target.
	coldBucket tokenBucket
	// slotInterval is the expected time between two requests that end, and
	// nextRetryAt is the earliest retry time for the next refused caller. That for one of
	// the most urgent of several ranks is nextUrgentRetryAt.
	slotInterval                   time.Duration
	nextRetryAt, nextUrgentRetryAt snipetime.Instant
	rest                           rest
}

// estimatedLoad returns the estimated number of requests at the target: those of
// this front, and those of other fronts with an exponential decay since the last
// report.
func (s *targetState) estimatedLoad(now snipetime.Instant) float64 {
	age := now.Sub(s.reportedAt)
	return float64(s.inFlight) + s.othersLoad*math.Exp(-age.Seconds()/othersDecayTime.Seconds())
}

// interval returns the expected time between two requests that end at t.
func (s *targetState) interval(t *snipefleet.Target) time.Duration {
	return time.Duration(float64(s.serviceTime) / float64(max(t.Slots, 1)))
}

// ownShare returns the share of this front in the requests at the target, of which one at
// least is taken to be its own.
func (s *targetState) ownShare(now snipetime.Instant) float64 {
	own := float64(max(s.inFlight, 1))
	return min(own/s.estimatedLoad(now), 1)
}

// slotFreeAt returns the expected time at which n more requests will have ended at t, if
// a share of the slots that become free is for this front, but not before the times that
// are reserved for callers who are as urgent. It updates slotInterval.
func (s *targetState) slotFreeAt(now snipetime.Instant, t *snipefleet.Target, n, share float64, urgent bool) snipetime.Instant {
	shared := float64(s.interval(t)) / share
	s.slotInterval = time.Duration(shared * s.slowness(now))
	// Slowness lasts for a part of a second, and does not move a retry time beyond
	// maxFullRetryDelay.
	latest := max(time.Duration(n*shared), maxFullRetryDelay)
	free := max(now.Add(min(time.Duration(n*float64(s.slotInterval)), latest)), s.nextUrgentRetryAt)
	if urgent {
		return free
	}
	return max(free, s.nextRetryAt)
}

// reserveRetry reserves the time free for the retry of a refused caller, and returns
// the delay until then. Callers that are refused in succession thus retry in
// succession, at the rate at which slots become free. The less urgent do not delay the
// urgent.
func (s *targetState) reserveRetry(now, free snipetime.Instant, urgent bool) time.Duration {
	next := min(free.Add(s.slotInterval), now.Add(maxFullRetryDelay))
	if urgent {
		s.nextUrgentRetryAt = next
	} else {
		s.nextRetryAt = next
	}
	return free.Sub(now)
}

// recordLoad records the number of requests and the slowness that the target reported at a
// time, unless a later report is recorded.
func (s *targetState) recordLoad(at snipetime.Instant, requests int, slowness float64) {
	if at.Before(s.reportedAt) {
		return
	}
	s.reportedLoad = requests
	s.othersLoad = float64(max(requests-s.inFlight, 0))
	s.reportedSlowness = slowness
	s.reportedAt = at
}

// recordResult updates the load, the service time and the failures.
func (s *targetState) recordResult(now snipetime.Instant, r Result) {
	s.inFlight--
	if r.Load != nil {
		s.recordLoad(now, r.Load.Running+r.Load.Waiting, r.Load.Slowness)
	}
	switch {
	case r.Completed:
		s.failures = 0
		s.serviceTime += time.Duration(serviceTimeSmoothing * float64(r.Latency-s.serviceTime))
	case r.Unreachable:
		s.failures += suspectFailures
		s.failedAt = now
	case r.Failed:
		s.failures++
		s.failedAt = now
	}
}

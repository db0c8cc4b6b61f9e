package snipeplacement

import (
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// suspectFailures is the number of consecutive failures after which a target is
	// excluded.
	suspectFailures = 2
	// initialExclusion is how long a target is excluded at first. The time doubles
	// with each further failure, up to maxExclusion.
	initialExclusion = time.Second
	maxExclusion     = 4 * time.Second
)

const (
	// initialWindow is the window, in requests, of a target below full pace at first.
	initialWindow = 1.0
	// minWindow is the lowest window: one request in eight service times.
	minWindow = 1.0 / 8
	// windowSlack is what the estimated load may exceed the window by, because the load of
	// others decays but never reaches zero.
	windowSlack = 0.5
	// windowDecrease is the factor of the window after a bad answer.
	windowDecrease = 0.5
	// maxProbeInterval is the time after which a front may send one request to a target
	// whatever others send, so that it sees the target recover.
	maxProbeInterval = 4 * time.Second
	// slowLatency is the latency, as a factor of the usual one, from which an answer is bad.
	// An object that the target has not cached takes about three times as long as one that
	// it has.
	slowLatency = 4.0
	// usualLatencySmoothing is the weight of a new sample in the usual latency.
	usualLatencySmoothing = 0.02
	// fullPaceAfter is the time without bad answers after which a target is at full pace
	// even if there were too few requests to show it.
	fullPaceAfter = 10 * time.Second
	// listingTime is the time within which a front that starts learns the targets that run.
	listingTime = 2 * time.Second
	// initialSlots is the least number of slots that a window has to hold for full pace, so
	// that a target with one slot shows at least one good answer.
	initialSlots = 2
	// maxStartSpread bounds the time over which fronts begin to send to a target.
	maxStartSpread = 2 * time.Second
	// minReportInterval is the least time between two loads that count as different ones,
	// since fronts pass on the ages of loads in milliseconds.
	minReportInterval = 10 * time.Millisecond
)

// pace limits the requests to a target that cannot be relied on to take its full share,
// by a window that follows its answers. The zero value is full pace.
type pace struct {
	// reduced is set while the target is below full pace.
	reduced bool
	// window is the load up to which requests are admitted; below 1, it is the part of the
	// time in which one request runs.
	window float64
	// steady is set after the first bad answer. The window then grows by one in the time
	// in which as many requests as it holds end, and before that by one with each.
	steady bool
	// from is when this front begins to send.
	from snipetime.Instant
	// probeAt is from when one request is admitted whatever the load is.
	probeAt snipetime.Instant
	// badAt is the time of the last bad answer, and coldAt the last at which the target was
	// cold.
	badAt, coldAt snipetime.Instant
}

// begin reduces the pace to the initial window. No request is admitted before
// from, or before the start that an earlier call set if that is later.
func (p *pace) begin(from snipetime.Instant) {
	from = max(from, p.from)
	*p = pace{reduced: true, window: initialWindow, from: from, probeAt: from, coldAt: p.coldAt}
}

// startNow lets this front send at once if it did not begin before.
func (p *pace) startNow(now snipetime.Instant) {
	if p.reduced && now.Before(p.from) {
		p.from, p.probeAt = now, now
	}
}

// lowerWindow lowers the window after a bad answer, at most once in a service time, because
// the answers to requests that were sent together tell the same.
func (p *pace) lowerWindow(now snipetime.Instant, serviceTime time.Duration) {
	if !p.reduced || now.Before(p.from) || p.steady && now.Sub(p.badAt) < serviceTime {
		return
	}
	p.window = max(p.window*windowDecrease, minWindow)
	p.steady, p.badAt = true, now
}

// raiseWindow raises the window after a good answer with the given load, which may be nil,
// unless requests wait at the target.
func (p *pace) raiseWindow(now snipetime.Instant, l *Load) {
	if !p.reduced || now.Before(p.from) || l != nil && l.Waiting > 0 {
		return
	}
	if p.steady {
		p.window += 1 / max(p.window, 1)
	} else {
		p.window++
	}
	if l != nil {
		p.raiseTowardLoad(now, l.Running, l.Slots, float64(l.Slots))
	}
}

// raiseTowardLoad raises the window by at most step, to one more than the load that the
// target reported, which shows that it takes requests of other fronts too. If requests wait there,
// the load shows nothing.
func (p *pace) raiseTowardLoad(at snipetime.Instant, requests, slots int, step float64) {
	if !p.reduced || at.Before(p.from) || requests < 1 || requests > slots {
		return
	}
	p.window = max(p.window, min(p.window+step, float64(requests)+1))
}

// paced reports whether the target is below full pace. The pace is full once the window
// holds all slots, or after fullPaceAfter without a bad answer; paced then resets reduced.
func (s *targetState) paced(now snipetime.Instant) bool {
	p := &s.pace
	if !p.reduced {
		return false
	}
	excluded := s.failures >= suspectFailures
	calm := now.Sub(max(p.from, p.badAt, p.coldAt)) >= fullPaceAfter
	if !excluded && (calm || p.window >= float64(max(s.slots, initialSlots))) {
		p.reduced = false
	}
	return p.reduced
}

// admitsPace reports whether the pace of the target admits a request now.
func (s *targetState) admitsPace(now snipetime.Instant) bool {
	if !s.paced(now) {
		return true
	}
	p := &s.pace
	switch {
	case now.Before(p.from):
		return false
	case s.inFlight == 0 && !now.Before(p.probeAt):
		return true
	default:
		return p.window >= 1 && s.estimatedLoad(now)+1 <= p.window+windowSlack
	}
}

// recordSent notes that a request is sent to the target.
func (s *targetState) recordSent(now snipetime.Instant) {
	s.inFlight++
	if p := &s.pace; p.reduced {
		p.probeAt = now.Add(min(s.probeInterval(), maxProbeInterval))
	}
}

// probeInterval returns the time between two requests that are sent whatever the load is.
func (s *targetState) probeInterval() time.Duration {
	if s.pace.window >= 1 {
		return maxProbeInterval
	}
	return time.Duration(float64(s.serviceTime) / s.pace.window)
}

// updatePace changes the pace by the result of a request, which is counted in failures.
func (s *targetState) updatePace(now snipetime.Instant, r Result) {
	slow := s.service != nil && s.service.slow(r.Latency)
	switch {
	case s.failures >= suspectFailures && (r.Failed || r.Unreachable):
		s.pace.begin(now.Add(s.exclusion()))
	case r.Failed, r.Refused, r.Completed && slow:
		s.pace.lowerWindow(now, s.serviceTime)
	case r.Completed:
		s.pace.raiseWindow(now, r.Load)
	}
	if r.Completed && !s.pace.reduced && s.service != nil {
		s.service.record(r.Latency)
	}
}

// exclusion returns how long a target is excluded after its last failure.
func (s *targetState) exclusion() time.Duration {
	if more := s.failures - suspectFailures; more < 8 {
		return min(initialExclusion<<more, maxExclusion)
	}
	return maxExclusion
}

// suspect reports whether the target is excluded because requests to it failed.
func (s *targetState) suspect(now snipetime.Instant) bool {
	return s.failures >= suspectFailures && now.Before(s.pace.from)
}

// servicePace is what the front knows about the targets of a service together.
type servicePace struct {
	// since is when the first of the targets was first reported.
	since snipetime.Instant
	// mostNew is set if more than half of the targets were added lately. Then no target is
	// held back, since there are no others that could serve its requests.
	mostNew bool
	// usual is the moving average of the latency at targets at full pace, or 0.
	usual time.Duration
}

// newServicePace returns the state of a service with the given targets.
func newServicePace(targets []*snipefleet.Target) *servicePace {
	s := &servicePace{}
	for i, t := range targets {
		if i == 0 || t.FirstReported.Before(s.since) {
			s.since = t.FirstReported
		}
	}
	return s
}

// record adds the latency of a complete response.
func (s *servicePace) record(latency time.Duration) {
	if s.usual == 0 {
		s.usual = latency
	}
	s.usual += time.Duration(usualLatencySmoothing * float64(latency-s.usual))
}

// slow reports whether a latency is much longer than the usual one.
func (s *servicePace) slow(latency time.Duration) bool {
	return s.usual > 0 && float64(latency) > slowLatency*float64(s.usual)
}

// startsSlowly reports whether a target of which this front knows nothing begins below full
// pace: it is new, or cold.
func (s *servicePace) startsSlowly(t *snipefleet.Target) bool {
	return t.ColdUntil > t.FirstReported || s.isNew(t) && !s.mostNew
}

// updateMostNew updates mostNew for the targets of the service.
func (s *servicePace) updateMostNew(targets []*snipefleet.Target) {
	newest, n := s.since, 0
	for _, t := range targets {
		newest = max(newest, t.FirstReported)
	}
	for _, t := range targets {
		if s.isNew(t) && newest.Sub(t.FirstReported) < fullPaceAfter {
			n++
		}
	}
	s.mostNew = n > len(targets)/2
}

// isNew reports whether a target was added after this front learned the running ones.
func (s *servicePace) isNew(t *snipefleet.Target) bool {
	return t.FirstReported.Sub(s.since) >= listingTime
}

// startAt returns when this front begins to send to a target that all fronts may use from a
// time on. The fronts begin one after the other, in a random order, as fast as the target
// frees slots. The caller holds the lock.
func (c *Chooser) startAt(t *snipefleet.Target, s *targetState, at snipetime.Instant) snipetime.Instant {
	spread := min(time.Duration(max(c.numFronts-1, 0))*s.interval(t), maxStartSpread)
	return at.Add(time.Duration(uniformHash(c.name, t.ID) * float64(spread)))
}

// beginAfterEvacuation reduces the pace of a target once the evacuation of its failure
// domain has ended. The caller holds the lock.
func (c *Chooser) beginAfterEvacuation(v *snipefleet.View, t *snipefleet.Target, s *targetState) {
	if at, ok := v.EvacuationEnd(t.Place.Domain); ok && at > s.evacuationEnd {
		s.evacuationEnd = at
		s.pace.begin(c.startAt(t, s, at))
	}
}

// NumPaced returns the number of targets below full pace.
func (c *Chooser) NumPaced(now snipetime.Instant) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s.paced(now) {
			n++
		}
	}
	return n
}

// paceDelay returns the time until the pace of the target is expected to admit a request.
func (s *targetState) paceDelay(now snipetime.Instant) time.Duration {
	next := now.Add(s.serviceTime / time.Duration(max(s.slots, 1)))
	if s.pace.window < 1 {
		next = max(next, s.pace.probeAt)
	}
	return min(max(next, s.pace.from).Sub(now), maxFullRetryDelay)
}

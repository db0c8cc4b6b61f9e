package sniperoute

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Observe records the result of an attempt and ejects the target if it fails or
// is too slow. latency is the time that the target needed for its response; it
// counts for Completed only.
func (c *Chooser) Observe(now snipetime.Instant, address string, r Result, latency time.Duration) {
	t := c.targets[address]
	if t == nil || r == Neutral {
		return
	}
	t.samples++
	if r == Completed {
		t.failures = 0
		t.failureRate -= smoothingFactor * t.failureRate
		c.observeLatency(t, latency)
	} else {
		t.failures++
		t.failureRate += smoothingFactor * (1 - t.failureRate)
	}
	enough := t.samples >= c.settings.MinimumSamples
	failing := t.failures >= c.settings.Failures || enough && t.failureRate >= c.settings.FailureRatio
	if t.ejected {
		t.ejectedForLatency = t.ejectedForLatency && !failing
		return
	}
	// A new target is expected to be slow, and its slow start limits its load
	// already.
	inSlowStart := t.ejections == 0 && c.slowStartWeight(now, t) < 1
	if failing || r == Completed && enough && !inSlowStart && c.isLatencyOutlier(t) {
		c.eject(now, t)
		t.ejectedForLatency = t.ejected && !failing
	}
}

func (c *Chooser) observeLatency(t *targetState, latency time.Duration) {
	sample := float64(latency)
	if t.latency == 0 {
		t.latency = sample
		return
	}
	// The first samples are averaged with equal weight.
	if t.samples < 1/latencySmoothingFactor {
		t.latency += (sample - t.latency) / float64(t.samples)
		return
	}
	t.latency += latencySmoothingFactor * (min(sample, latencyClipFactor*t.latency) - t.latency)
}

// isLatencyOutlier reports whether the latency of t exceeds LatencyFactor times
// the median of the targets that had enough samples at the last Tick.
func (c *Chooser) isLatencyOutlier(t *targetState) bool {
	return c.median > 0 && t.latency > c.settings.LatencyFactor*c.median
}

// updateMedian computes the lower median, so that the slower of two targets can
// be an outlier and a single target cannot.
func (c *Chooser) updateMedian() {
	c.latencies = c.latencies[:0]
	for _, t := range c.targets {
		if t.samples >= c.settings.MinimumSamples && t.latency > 0 {
			c.latencies = append(c.latencies, t.latency)
		}
	}
	c.median = 0
	if len(c.latencies) > 0 {
		slices.Sort(c.latencies)
		c.median = c.latencies[(len(c.latencies)-1)/2]
	}
}

// eject excludes t from selection, or prolongs its ejection. It does not eject
// another target if more than half of the targets would then be ejected.
func (c *Chooser) eject(now snipetime.Instant, t *targetState) {
	if !t.ejected {
		if 2*(c.Ejected()+1) > len(c.targets) {
			return
		}
		t.ejected = true
		t.ejections++
	}
	doublings := min(t.ejections-1, 10)
	until := now.Add(min(c.settings.Ejection<<doublings, c.settings.MaximumEjection))
	t.ejectedUntil = max(t.ejectedUntil, until)
}

// Ejected returns the number of ejected targets.
func (c *Chooser) Ejected() int {
	n := 0
	for _, t := range c.targets {
		if t.ejected {
			n++
		}
	}
	return n
}

// Tick updates the group's median latency and readmits targets whose ejection
// has ended. They begin with a slow start and without the samples that ejected
// them. A target stays ejected while its latest probe is fresh and unhealthy.
// Tick must be called at least once a second.
func (c *Chooser) Tick(now snipetime.Instant) {
	c.updateMedian()
	for _, t := range c.targets {
		if !t.ejected || now.Before(t.ejectedUntil) {
			continue
		}
		if c.probeFresh(now, t) && !t.probe.Healthy {
			continue
		}
		t.ejected, t.ejectedForLatency = false, false
		t.warm, t.slowStartBegan = false, now
		t.failures, t.failureRate, t.samples, t.latency = 0, 0, 0, 0
	}
}

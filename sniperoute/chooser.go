package sniperoute

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Defaults of ChooserSettings.
const (
	DefaultSlowStart       = 10 * time.Second
	DefaultEjection        = 10 * time.Second
	DefaultMaximumEjection = 60 * time.Second
	DefaultFailures        = 5
	DefaultFailureRatio    = 0.5
	DefaultLatencyFactor   = 3.0
	DefaultMinimumSamples  = 50
	DefaultProbeStale      = 5 * time.Second
	// smoothingFactor is the weight of a new sample in the moving averages of a
	// target's failures and of a relay's latency.
	smoothingFactor = 0.1
	// latencySmoothingFactor is the weight of a new latency sample. Service times
	// vary widely from request to request: with a larger weight, a few long
	// requests would eject a normal target.
	latencySmoothingFactor = 1.0 / 64
	// latencyClipFactor bounds a latency sample to this multiple of the smoothed
	// latency.
	latencyClipFactor      = 10.0
	initialSlowStartWeight = 0.1
	// reportedQueueMultiplier is the load of a request that waits in the target
	// according to its probe. A request in a slot is a load of 1.
	reportedQueueMultiplier = 0.5
)

// ChooserSettings are the parameters of a Chooser. Zero fields mean defaults.
type ChooserSettings struct {
	// SlowStart is the time over which the weight of a cold target rises from
	// 0.1 to 1.
	SlowStart time.Duration
	// Ejection is the duration of a first ejection; it doubles with each
	// further one up to MaximumEjection.
	Ejection, MaximumEjection time.Duration
	// Failures is the number of consecutive failures that eject a target.
	Failures int
	// FailureRatio is the smoothed share of failed attempts, from 0 to 1, that
	// ejects a target.
	FailureRatio float64
	// LatencyFactor is the multiple of the group's median latency above which a
	// target is ejected.
	LatencyFactor float64
	// MinimumSamples is the number of results from which FailureRatio and
	// LatencyFactor apply to a target.
	MinimumSamples int
	// MaxProbeAge is the age from which a probe result is ignored.
	MaxProbeAge time.Duration
}

func (s ChooserSettings) withDefaults() ChooserSettings {
	s.SlowStart = cmp.Or(s.SlowStart, DefaultSlowStart)
	s.Ejection = cmp.Or(s.Ejection, DefaultEjection)
	s.MaximumEjection = cmp.Or(s.MaximumEjection, DefaultMaximumEjection)
	s.Failures = cmp.Or(s.Failures, DefaultFailures)
	s.FailureRatio = cmp.Or(s.FailureRatio, DefaultFailureRatio)
	s.LatencyFactor = cmp.Or(s.LatencyFactor, DefaultLatencyFactor)
	s.MinimumSamples = cmp.Or(s.MinimumSamples, DefaultMinimumSamples)
	s.MaxProbeAge = cmp.Or(s.MaxProbeAge, DefaultProbeStale)
	return s
}

// Candidate is a target with a free slot.
type Candidate struct {
	Address string
	// Used is the number of slots in use out of Slots.
	Used, Slots int
}

// Result is the outcome of an attempt as it counts for the health of its target.
type Result int

// Results.
const (
	// Completed is a complete response that is not a server error.
	Completed Result = iota
	// Failed is a server error, a refused dial or a lost connection.
	Failed
	// Shed is an explicit refusal by the target.
	Shed
	// Neutral is an outcome that does not depend on the target, such as a caller
	// that disconnects.
	Neutral
)

// ProbeResult is one answer of a target's health and load endpoints. The answer
// can be late or wrong. Therefore an unhealthy one never ejects more than half
// of the targets, and a reported queue only affects the choice between two
// targets.
type ProbeResult struct {
	Healthy bool
	// Queued is the number of requests that wait inside the target.
	Queued int
}

type targetState struct {
	address           string
	slowStartBegan    snipetime.Instant
	warm              bool
	draining          bool
	ejected           bool
	ejectedForLatency bool // ejected for its latency alone, without failures
	ejections         int
	ejectedUntil      snipetime.Instant
	failures          int
	failureRate       float64
	samples           int
	latency           float64 // smoothed, in nanoseconds
	probe             ProbeResult
	probedAt          snipetime.Instant
	probed            bool
}

// Chooser selects targets of one slot group.
type Chooser struct {
	settings  ChooserSettings
	random    *rand.Rand
	targets   map[string]*targetState
	latencies []float64
	median    float64 // of the targets' latencies, in nanoseconds
}

// NewChooser returns a chooser without targets. It panics if random is nil.
func NewChooser(settings ChooserSettings, random *rand.Rand) *Chooser {
	if random == nil {
		panic("sniperoute: no random source")
	}
	return &Chooser{settings: settings.withDefaults(), random: random, targets: map[string]*targetState{}}
}

// SetTargets replaces the targets of the group and keeps the state of those that
// remain. A target that is new or returns from draining has a slow start. On the
// first call all targets count as warm instead: a new owner of the group must
// not slow down targets that are in use already. A nil draining means that no
// target drains.
func (c *Chooser) SetTargets(now snipetime.Instant, addresses []string, draining func(address string) bool) {
	initial := len(c.targets) == 0
	kept := make(map[string]*targetState, len(addresses))
	for _, a := range addresses {
		t := c.targets[a]
		if t == nil {
			t = &targetState{address: a, warm: initial, slowStartBegan: now}
		}
		drains := draining != nil && draining(a)
		if t.draining && !drains {
			t.warm, t.slowStartBegan = false, now
		}
		t.draining = drains
		kept[a] = t
	}
	c.targets = kept
}

// SetCold restarts the slow start of a target that the platform reports as
// restarted, and resets its latency and its ejection count.
func (c *Chooser) SetCold(now snipetime.Instant, address string) {
	if t := c.targets[address]; t != nil {
		t.warm, t.slowStartBegan = false, now
		t.ejections, t.samples, t.latency = 0, 0, 0
	}
}

// Choose returns the index in free of the selected target, or -1 if none may
// receive a request now. Of two random candidates it selects the one with the
// lower product of load and latency (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001).
func (c *Chooser) Choose(now snipetime.Instant, free []Candidate) int {
	first := c.randomPermitted(now, free, -1)
	if first < 0 {
		return -1
	}
	second := c.randomPermitted(now, free, first)
	if second < 0 || c.score(now, free[first]) <= c.score(now, free[second]) {
		return first
	}
	return second
}

// randomPermitted returns the index of a random permitted candidate other than
// skip, or -1 if there is none. A few random tries keep the cost independent of
// the number of candidates while most are permitted; if they fail, a scan of all
// candidates finds one.
func (c *Chooser) randomPermitted(now snipetime.Instant, free []Candidate, skip int) int {
	const tries = 4
	if len(free) == 0 {
		return -1
	}
	at := 0
	for range tries {
		at = c.random.IntN(len(free))
		if at != skip && c.permits(now, &free[at]) {
			return at
		}
	}
	for range free {
		at = (at + 1) % len(free)
		if at != skip && c.permits(now, &free[at]) {
			return at
		}
	}
	return -1
}

// permits reports whether the target is neither draining nor ejected and, during
// a slow start, uses fewer slots than its weight allows. At least one slot is
// allowed.
func (c *Chooser) permits(now snipetime.Instant, k *Candidate) bool {
	t := c.targets[k.Address]
	if t == nil {
		return true
	}
	if t.draining || t.ejected {
		return false
	}
	return k.Used == 0 || t.warm || float64(k.Used+1) <= c.slowStartWeight(now, t)*float64(k.Slots)
}

// ChooseDegraded returns the index in free of a target that Choose excludes only
// because of its latency or its slow start, or -1. The latency of the target must
// exceed the group's median by less than wait, the time for which the request
// would have to wait for another target. Of several it returns the fastest.
func (c *Chooser) ChooseDegraded(free []Candidate, wait time.Duration) int {
	best, bestLatency := -1, c.median+float64(wait)
	for i := range free {
		t := c.targets[free[i].Address]
		if t == nil || t.draining || t.latency >= bestLatency {
			continue
		}
		if t.ejectedForLatency || !t.ejected && !t.warm && t.samples > 0 {
			best, bestLatency = i, t.latency
		}
	}
	return best
}

// Weight returns the slow-start weight of a target, from 0.1 to 1, or 0 if it is
// ejected, draining or unknown.
func (c *Chooser) Weight(now snipetime.Instant, address string) float64 {
	t := c.targets[address]
	if t == nil || t.draining || t.ejected {
		return 0
	}
	return c.slowStartWeight(now, t)
}

func (c *Chooser) slowStartWeight(now snipetime.Instant, t *targetState) float64 {
	if t.warm {
		return 1
	}
	age := float64(now.Sub(t.slowStartBegan)) / float64(c.settings.SlowStart)
	if age >= 1 {
		t.warm = true
		return 1
	}
	return initialSlowStartWeight + (1-initialSlowStartWeight)*max(age, 0)
}

// score estimates the time until the target would complete one more request.
func (c *Chooser) score(now snipetime.Instant, k Candidate) float64 {
	load := float64(k.Used+1) / float64(max(k.Slots, 1))
	t := c.targets[k.Address]
	if t == nil {
		return load
	}
	if c.probeFresh(now, t) && t.probe.Queued > 0 {
		load += reportedQueueMultiplier * float64(t.probe.Queued) / float64(max(k.Slots, 1))
	}
	return load * max(t.latency, float64(time.Microsecond)) / c.slowStartWeight(now, t)
}

func (c *Chooser) probeFresh(now snipetime.Instant, t *targetState) bool {
	return t.probed && now.Sub(t.probedAt) < c.settings.MaxProbeAge
}

// Probe records a probe result. An unhealthy one ejects the target or prolongs
// its ejection.
func (c *Chooser) Probe(now snipetime.Instant, address string, p ProbeResult) {
	t := c.targets[address]
	if t == nil {
		return
	}
	t.probe, t.probedAt, t.probed = p, now, true
	if !p.Healthy {
		c.eject(now, t)
		t.ejectedForLatency = false
	}
}

package sniperoute

import (
	"cmp"
	"math/rand/v2"
	"slices"
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
	smoothing              = 0.1
	// Service times vary widely from request to request: with fewer samples, a
	// few long requests would eject a normal target.
	latencySmoothing        = 1.0 / 64
	latencyClip             = 10.0
	initialSlowStartWeight  = 0.1
	reportedQueueMultiplier = 0.5
)

// ChooserSettings are the parameters of a Chooser. Zero fields mean defaults.
type ChooserSettings struct {
	// SlowStart is the time over which the weight of a cold target rises to 1.
	SlowStart time.Duration
	// Ejection is the duration of a first ejection; it doubles with each
	// further one up to MaximumEjection.
	Ejection, MaximumEjection time.Duration
	// Failures is the number of consecutive failures that eject a target.
	Failures int
	// FailureRatio is the smoothed share of failures that ejects a target.
	FailureRatio float64
	// LatencyFactor is the multiple of the group's median latency above which a
	// target is ejected.
	LatencyFactor float64
	// MinimumSamples is the number of results that FailureRatio and
	// LatencyFactor need.
	MinimumSamples int
	// ProbeStale is the age from which a probe result is ignored.
	ProbeStale time.Duration
}

func (s ChooserSettings) withDefaults() ChooserSettings {
	s.SlowStart = cmp.Or(s.SlowStart, DefaultSlowStart)
	s.Ejection = cmp.Or(s.Ejection, DefaultEjection)
	s.MaximumEjection = cmp.Or(s.MaximumEjection, DefaultMaximumEjection)
	s.Failures = cmp.Or(s.Failures, DefaultFailures)
	s.FailureRatio = cmp.Or(s.FailureRatio, DefaultFailureRatio)
	s.LatencyFactor = cmp.Or(s.LatencyFactor, DefaultLatencyFactor)
	s.MinimumSamples = cmp.Or(s.MinimumSamples, DefaultMinimumSamples)
	s.ProbeStale = cmp.Or(s.ProbeStale, DefaultProbeStale)
	return s
}

// Candidate is a target with a free slot.
type Candidate struct {
	Address     string
	Used, Slots int
}

// Result is what an attempt showed about its target.
type Result int

// Results.
const (
	// Completed is a complete response that is not a server error.
	Completed Result = iota
	// Failed is a server error, a refused dial or a lost connection.
	Failed
	// Shed is an explicit refusal by the target.
	Shed
	// Ignored says nothing about the target, as when a caller disconnects.
	Ignored
)

// Probe is one answer of a target's health and load endpoints. It may lag or
// mislead, so that it only excludes a target within the ejection floor and only
// shifts a choice between two targets.
type Probe struct {
	Healthy bool
	// Queued is the number of requests that wait inside the target.
	Queued int
}

type targetState struct {
	address     string
	warmFrom    snipetime.Instant
	warm        bool
	draining    bool
	ejected     bool
	onlySlow    bool // ejected for its latency alone
	ejections   int
	ejectedTill snipetime.Instant
	failures    int
	failureRate float64
	samples     int
	latency     float64 // smoothed, in nanoseconds
	probe       Probe
	probedAt    snipetime.Instant
	probed      bool
}

// Chooser selects targets of one slot group.
type Chooser struct {
	settings ChooserSettings
	random   *rand.Rand
	targets  map[string]*targetState
	scratch  []float64
	median   float64 // of the targets' latencies, in nanoseconds
}

// NewChooser returns a chooser without targets. It panics if random is nil.
func NewChooser(settings ChooserSettings, random *rand.Rand) *Chooser {
	if random == nil {
		panic("sniperoute: no random source")
	}
	return &Chooser{settings: settings.withDefaults(), random: random, targets: map[string]*targetState{}}
}

// SetTargets declares the targets of the group. On the first call the targets
// count as warm, because a new owner must not restart a warm group; a target
// that appears later, or that returns from draining, has a slow start.
func (c *Chooser) SetTargets(now snipetime.Instant, addresses []string, draining func(address string) bool) {
	first := len(c.targets) == 0
	kept := make(map[string]*targetState, len(addresses))
	for _, a := range addresses {
		t := c.targets[a]
		if t == nil {
			t = &targetState{address: a, warm: first, warmFrom: now}
		}
		drains := draining != nil && draining(a)
		if t.draining && !drains {
			t.warm, t.warmFrom = false, now
		}
		t.draining = drains
		kept[a] = t
	}
	c.targets = kept
}

// SetCold restarts the slow start of a target, for one that the platform
// reports as started anew.
func (c *Chooser) SetCold(now snipetime.Instant, address string) {
	if t := c.targets[address]; t != nil {
		t.warm, t.warmFrom = false, now
		t.ejections, t.samples, t.latency = 0, 0, 0
	}
}

// Choose returns the index in free of the selected target, or -1 if none may
// take a request now. Of two random candidates it takes the one with the lower
// load and latency (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
func (c *Chooser) Choose(now snipetime.Instant, free []Candidate) int {
	first := c.pick(now, free, -1)
	if first < 0 {
		return -1
	}
	second := c.pick(now, free, first)
	if second < 0 || c.score(now, free[first]) <= c.score(now, free[second]) {
		return first
	}
	return second
}

// pick returns a random index other than skip among the permitted candidates,
// or -1. Random tries keep the cost independent of the number of candidates
// while most are permitted; the scan after them finds the rest.
func (c *Chooser) pick(now snipetime.Instant, free []Candidate, skip int) int {
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

// permits reports whether the target is in use and below its slow-start share,
// which is at least one slot.
func (c *Chooser) permits(now snipetime.Instant, k *Candidate) bool {
	t := c.targets[k.Address]
	if t == nil {
		return true
	}
	if t.draining || t.ejected {
		return false
	}
	return k.Used == 0 || t.warm || float64(k.Used+1) <= c.weight(now, t)*float64(k.Slots)
}

// ChooseSlow returns the index in free of a target that is ejected for its
// latency alone, or has used its slow-start share, and that costs a request less
// than the given wait for another one, or -1. Of several it returns the fastest.
func (c *Chooser) ChooseSlow(free []Candidate, wait time.Duration) int {
	best, bestLatency := -1, c.median+float64(wait)
	for i := range free {
		t := c.targets[free[i].Address]
		if t == nil || t.draining || t.latency >= bestLatency {
			continue
		}
		if t.onlySlow || !t.ejected && !t.warm && t.samples > 0 {
			best, bestLatency = i, t.latency
		}
	}
	return best
}

// Weight returns the slow-start weight of a target, 0 if it is ejected,
// draining or unknown.
func (c *Chooser) Weight(now snipetime.Instant, address string) float64 {
	t := c.targets[address]
	if t == nil || t.draining || t.ejected {
		return 0
	}
	return c.weight(now, t)
}

func (c *Chooser) weight(now snipetime.Instant, t *targetState) float64 {
	if t.warm {
		return 1
	}
	age := float64(now.Sub(t.warmFrom)) / float64(c.settings.SlowStart)
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
	return load * max(t.latency, float64(time.Microsecond)) / c.weight(now, t)
}

func (c *Chooser) probeFresh(now snipetime.Instant, t *targetState) bool {
	return t.probed && now.Sub(t.probedAt) < c.settings.ProbeStale
}

// Probe records a probe result and ejects or returns the target.
func (c *Chooser) Probe(now snipetime.Instant, address string, p Probe) {
	t := c.targets[address]
	if t == nil {
		return
	}
	t.probe, t.probedAt, t.probed = p, now, true
	if !p.Healthy {
		c.eject(now, t)
		t.onlySlow = false
	}
}

// Observe records the result of an attempt; latency is that of the target.
func (c *Chooser) Observe(now snipetime.Instant, address string, r Result, latency time.Duration) {
	t := c.targets[address]
	if t == nil || r == Ignored {
		return
	}
	t.samples++
	if r == Completed {
		t.failures = 0
		t.failureRate -= smoothing * t.failureRate
		c.observeLatency(t, latency)
	} else {
		t.failures++
		t.failureRate += smoothing * (1 - t.failureRate)
	}
	enough := t.samples >= c.settings.MinimumSamples
	failing := t.failures >= c.settings.Failures || enough && t.failureRate >= c.settings.FailureRatio
	if t.ejected {
		t.onlySlow = t.onlySlow && !failing
		return
	}
	// A new target is expected to be slow, and its slow start limits it already.
	starting := t.ejections == 0 && c.weight(now, t) < 1
	if failing || r == Completed && enough && !starting && c.slow(t) {
		c.eject(now, t)
		t.onlySlow = t.ejected && !failing
	}
}

func (c *Chooser) observeLatency(t *targetState, latency time.Duration) {
	sample := float64(latency)
	if t.latency == 0 {
		t.latency = sample
		return
	}
	// The first samples are averaged with equal weight.
	if t.samples < 1/latencySmoothing {
		t.latency += (sample - t.latency) / float64(t.samples)
		return
	}
	t.latency += latencySmoothing * (min(sample, latencyClip*t.latency) - t.latency)
}

// slow reports whether the latency of t is an outlier against the median of the
// targets that had enough samples at the last Tick.
func (c *Chooser) slow(t *targetState) bool {
	return c.median > 0 && t.latency > c.settings.LatencyFactor*c.median
}

// updateMedian takes the lower median, so that the slower of two targets can be
// an outlier and a single one cannot.
func (c *Chooser) updateMedian() {
	c.scratch = c.scratch[:0]
	for _, t := range c.targets {
		if t.samples >= c.settings.MinimumSamples && t.latency > 0 {
			c.scratch = append(c.scratch, t.latency)
		}
	}
	c.median = 0
	if len(c.scratch) > 0 {
		slices.Sort(c.scratch)
		c.median = c.scratch[(len(c.scratch)-1)/2]
	}
}

// eject takes t out of use unless half of the targets are ejected already.
func (c *Chooser) eject(now snipetime.Instant, t *targetState) {
	if !t.ejected {
		if 2*(c.Ejected()+1) > len(c.targets) {
			return
		}
		t.ejected = true
		t.ejections++
	}
	doublings := min(t.ejections-1, 10)
	till := now.Add(min(c.settings.Ejection<<doublings, c.settings.MaximumEjection))
	t.ejectedTill = max(t.ejectedTill, till)
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

// Tick updates the group's median latency and returns targets whose ejection
// has ended, with a slow start and without the samples that ejected them. A
// fresh unhealthy probe prolongs an ejection. It is to be called at least once
// a second.
func (c *Chooser) Tick(now snipetime.Instant) {
	c.updateMedian()
	for _, t := range c.targets {
		if !t.ejected || now.Before(t.ejectedTill) {
			continue
		}
		if c.probeFresh(now, t) && !t.probe.Healthy {
			continue
		}
		t.ejected, t.onlySlow = false, false
		t.warm, t.warmFrom = false, now
		t.failures, t.failureRate, t.samples, t.latency = 0, 0, 0, 0
	}
}

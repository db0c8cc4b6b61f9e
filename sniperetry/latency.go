package sniperetry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// rotationPeriod is the least time between two rotations of the histograms, at
	// which the older one is cleared.
	rotationPeriod = 10 * time.Second
	// minSamples is the smallest number of samples in a histogram for an estimate.
	minSamples = 20
	// maxLatencyMicros is the largest recorded latency in microseconds; longer ones
	// are recorded as this.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// refreshSamples is the number of samples between two computations of the
	// quantile, each of which scans a histogram.
	refreshSamples = 16
)

// LatencyEstimator estimates the 95th percentile of the latency of one service. It
// keeps two histograms and rotates them at most every 10 s, so that old samples are
// discarded.
type LatencyEstimator struct {
	current, previous *hdrhistogram.Histogram
	rotated           snipetime.Instant // time of the last rotation
	sinceRefresh      int               // samples since p95 was computed
	p95               time.Duration
	hasEstimate       bool
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator(now snipetime.Instant) *LatencyEstimator {
	return &LatencyEstimator{
		current:  hdrhistogram.New(1, maxLatencyMicros, 2),
		previous: hdrhistogram.New(1, maxLatencyMicros, 2),
		rotated:  now,
	}
}

// Observe records the latency of one complete attempt. Latencies are limited to 1 µs
// to 60 s.
func (l *LatencyEstimator) Observe(now snipetime.Instant, latency time.Duration) {
	if now.Sub(l.rotated) >= rotationPeriod {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotated = now
	}
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	// The value is within the range of the histogram, so this cannot fail.
	_ = l.current.RecordValue(micros)
	l.sinceRefresh++
	if l.sinceRefresh >= refreshSamples || !l.hasEstimate {
		l.refresh()
	}
}

// HedgeDelay returns the 95th percentile. It reports false until one of the
// histograms has had enough samples; afterwards it returns the latest estimate.
func (l *LatencyEstimator) HedgeDelay() (time.Duration, bool) { return l.p95, l.hasEstimate }

// refresh recomputes p95 from the histogram with more samples if that has enough.
func (l *LatencyEstimator) refresh() {
	l.sinceRefresh = 0
	h := l.current
	if h.TotalCount() < l.previous.TotalCount() {
		h = l.previous
	}
	if h.TotalCount() < minSamples {
		return
	}
	l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
	l.hasEstimate = true
}

package sniperetry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// latencyWindow is the time after which the older half of the samples is
	// discarded.
	latencyWindow = 10 * time.Second
	// latencySamples is the smallest number of samples for an estimate.
	latencySamples = 20
	// latencyMaximum is the largest recorded latency in microseconds.
	latencyMaximum = int64(60 * time.Second / time.Microsecond)
	// latencyRefresh is the number of samples between two evaluations of the
	// quantile, which scans the histogram.
	latencyRefresh = 16
)

// Latency estimates the 95th percentile of the latency of one service from two
// histograms that are rotated every 10 s, so that old samples disappear.
type Latency struct {
	current, previous *hdrhistogram.Histogram
	rotated           snipetime.Instant
	sinceRefresh      int
	p95               time.Duration
	known             bool
}

// NewLatency returns an estimator without samples.
func NewLatency(now snipetime.Instant) *Latency {
	return &Latency{
		current:  hdrhistogram.New(1, latencyMaximum, 2),
		previous: hdrhistogram.New(1, latencyMaximum, 2),
		rotated:  now,
	}
}

// Observe records the latency of one complete attempt.
func (l *Latency) Observe(now snipetime.Instant, latency time.Duration) {
	if now.Sub(l.rotated) >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotated = now
	}
	micros := min(max(latency.Microseconds(), 1), latencyMaximum)
	// The value is within the histogram's bounds, so that this cannot fail.
	_ = l.current.RecordValue(micros)
	l.sinceRefresh++
	if l.sinceRefresh >= latencyRefresh || !l.known {
		l.refresh()
	}
}

// HedgeDelay returns the 95th percentile. It reports false while there are too
// few samples.
func (l *Latency) HedgeDelay() (time.Duration, bool) { return l.p95, l.known }

func (l *Latency) refresh() {
	l.sinceRefresh = 0
	h := l.current
	if h.TotalCount() < l.previous.TotalCount() {
		h = l.previous
	}
	if h.TotalCount() < latencySamples {
		return
	}
	l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
	l.known = true
}

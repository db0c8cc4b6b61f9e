package snipeload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histogram in microseconds, and its precision in significant
// decimal digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// Count is the number of results with one outcome and reason.
type Count struct {
	// Outcome is the outcome of the results.
	Outcome Outcome `json:"outcome"`
	// Reason is the reason of the results as Result.Reason returns it; empty if
	// there was none.
	Reason string `json:"reason,omitempty"`
	// Count is the number of results.
	Count int64 `json:"count"`
}

// Report counts the results of a run and their latencies. It is safe for concurrent
// use.
type Report struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	counts  map[Count]int64
	tries   int64
	total   int64
	elapsed time.Duration
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		counts:  make(map[Count]int64),
	}
}

// Add records one result. The latencies of all outcomes are counted together; one
// above 120 s is counted as 120 s.
func (r *Report) Add(result Result, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The value is within the range of the histogram, so this cannot fail.
	_ = r.latency.RecordValue(micros)
	r.counts[Count{Outcome: result.outcome, Reason: result.reason}]++
	r.tries += int64(result.tries)
	r.total++
}

// Merge adds the results of other, which must not be r. The elapsed time becomes
// the longer one of the two.
func (r *Report) Merge(other *Report) {
	other.mu.Lock()
	defer other.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency.Merge(other.latency)
	for key, n := range other.counts {
		r.counts[key] += n
	}
	r.tries += other.tries
	r.total += other.total
	r.elapsed = max(r.elapsed, other.elapsed)
}

// Total returns the number of results.
func (r *Report) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Quantile returns the latency at quantile q in [0, 1], or 0 without results.
func (r *Report) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// Outcomes returns the number of results by outcome.
func (r *Report) Outcomes() map[Outcome]int64 {
	sums := make(map[Outcome]int64)
	for _, c := range r.Counts() {
		sums[c.Outcome] += c.Count
	}
	return sums
}

// Counts returns the number of results by outcome and reason, in this order.
func (r *Report) Counts() []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]Count, 0, len(r.counts))
	for key, n := range r.counts {
		key.Count = n
		counts = append(counts, key)
	}
	slices.SortFunc(counts, func(a, b Count) int {
		if a.Outcome != b.Outcome {
			return cmp.Compare(a.Outcome, b.Outcome)
		}
		return cmp.Compare(a.Reason, b.Reason)
	})
	return counts
}

// WriteText writes the report as text for people. It returns an error if a write to
// w fails.
func (r *Report) WriteText(w io.Writer) error {
	s := r.summary()
	_, err := fmt.Fprintf(w, "requests %d in %s (%.1f/s), tries %d\np50 %s  p90 %s  p99 %s  p99.9 %s\n",
		s.Requests, s.Elapsed, s.PerSecond, s.Tries, s.P50, s.P90, s.P99, s.P999)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, c := range s.Counts {
		if _, err := fmt.Fprintf(w, "%-8s %-24s %d\n", c.Outcome, c.Reason, c.Count); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (r *Report) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(r.summary())
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return data, nil
}

// summary is the JSON form of a Report. Latencies and the elapsed time are in the
// format of time.Duration.
type summary struct {
	Requests  int64   `json:"requests"`
	Tries     int64   `json:"tries"`
	Elapsed   string  `json:"elapsed"`
	PerSecond float64 `json:"perSecond"`
	P50       string  `json:"p50"`
	P90       string  `json:"p90"`
	P99       string  `json:"p99"`
	P999      string  `json:"p999"`
	Counts    []Count `json:"counts"`
}

func (r *Report) summary() summary {
	counts := r.Counts()
	p50, p90, p99, p999 := r.Quantile(0.5), r.Quantile(0.9), r.Quantile(0.99), r.Quantile(0.999)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := summary{
		Requests: r.total, Tries: r.tries, Elapsed: r.elapsed.Round(time.Millisecond).String(),
		P50: p50.String(), P90: p90.String(), P99: p99.String(), P999: p999.String(), Counts: counts,
	}
	if r.elapsed > 0 {
		s.PerSecond = float64(r.total) / r.elapsed.Seconds()
	}
	return s
}

// setElapsed sets the time from the start of the run until its last result.
func (r *Report) setElapsed(d time.Duration) {
	r.mu.Lock()
	r.elapsed = d
	r.mu.Unlock()
}

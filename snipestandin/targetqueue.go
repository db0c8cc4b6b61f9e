package snipestandin

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// acquire takes a slot, or waits for one in the queue. It reports false if the
// request is to be shed or ctx ends first.
func (t *Target) acquire(ctx context.Context) bool {
	t.mu.Lock()
	if t.faults.Draining {
		t.stats.Shed++
		t.mu.Unlock()
		return false
	}
	if t.busy < t.settings.Slots {
		t.take()
		t.mu.Unlock()
		return true
	}
	t.stats.SlotExcess++
	if len(t.waiting) >= t.settings.Queue {
		t.stats.Shed++
		t.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	t.waiting = append(t.waiting, ready)
	t.recordLoad()
	t.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return t.abandon(ready)
	}
}

// abandon leaves the queue, unless the slot was handed over already. It reports
// whether the caller has the slot.
func (t *Target) abandon(ready chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.waiting, ready)
	if i < 0 {
		return true
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.recordLoad()
	return false
}

func (t *Target) take() {
	t.busy++
	t.stats.MaxBusy = max(t.stats.MaxBusy, t.busy)
	t.recordLoad()
}

// release hands the slot to the first waiting request, or frees it.
func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
	} else {
		t.busy--
	}
	t.recordLoad()
}

// begin records that a request starts to run, and returns its service time.
func (t *Target) begin(e *Execution) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e.Started = now
	t.stats.Executed++
	t.stats.LastStart = now
	t.runs[e.RequestID]++
	t.keyRuns[e.Key]++
	if len(t.executions) >= maxExecutions {
		t.executions = t.executions[1:]
	}
	t.executions = append(t.executions, e)
	return t.serviceTime(now)
}

func (t *Target) finish(e *Execution, cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Finished = t.clock.Now()
	e.Cancelled = cancelled
	if cancelled {
		t.stats.Cancelled++
	}
	// The weight of the latest request in the reported latency is 1/8.
	t.latency += (e.Finished.Sub(e.Started) - t.latency) / 8
}

// serviceTime draws a service time. The caller holds the lock.
func (t *Target) serviceTime(now snipetime.Instant) time.Duration {
	d := float64(t.settings.MedianServiceTime) * math.Exp(t.settings.Sigma*t.random.NormFloat64())
	if age := now.Sub(t.started); age < t.settings.ColdFade {
		d *= 1 + t.settings.ColdPenalty*(1-float64(age)/float64(t.settings.ColdFade))
	}
	d *= 1 + t.faults.Slowdown
	debt := t.debt
	t.debt = 0
	return time.Duration(d) + debt
}

// addDebt adds a cost to the service time of the next request.
func (t *Target) addDebt(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.debt += d
}

// loadSample is the load from an instant on.
type loadSample struct {
	at   snipetime.Instant
	load loadWire
}

// recordLoad appends the current load and drops samples that no report can
// show any more. The caller holds the lock.
func (t *Target) recordLoad() {
	now := t.clock.Now()
	t.loads = append(t.loads, loadSample{at: now, load: loadWire{
		Slots:         t.settings.Slots,
		Busy:          t.busy,
		Queued:        len(t.waiting),
		LatencyMicros: t.latency.Microseconds(),
	}})
	t.loads = t.loads[t.visibleLoad(now):]
}

// visibleLoad returns the index of the sample that a report shows.
func (t *Target) visibleLoad(now snipetime.Instant) int {
	limit := now.Add(-t.settings.LoadLag)
	i, _ := slices.BinarySearchFunc(t.loads, limit, func(s loadSample, limit snipetime.Instant) int {
		return cmp.Compare(s.at, limit+1)
	})
	return max(i-1, 0)
}

// load returns the load that a report shows. The caller holds the lock.
func (t *Target) load() loadWire {
	return t.loads[t.visibleLoad(t.clock.Now())].load
}

package snipestandin

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// acquire occupies a slot, or waits for one in the queue. It reports false if the
// target drains, if the queue is full or if ctx ends first.
func (t *Target) acquire(ctx context.Context) bool {
	t.mu.Lock()
	if t.faults.Draining {
		t.stats.Shed++
		t.mu.Unlock()
		return false
	}
	if t.busy < t.settings.Slots {
		t.occupySlot()
		t.mu.Unlock()
		return true
	}
	t.stats.SlotExcess++
	if len(t.waiters) >= t.settings.Queue {
		t.stats.Shed++
		t.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	t.waiters = append(t.waiters, ready)
	t.recordLoad()
	t.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return t.leaveQueue(ready)
	}
}

// leaveQueue removes a waiting request from the queue, unless release has given
// it a slot in the meantime. It reports whether the request has a slot.
func (t *Target) leaveQueue(ready chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.waiters, ready)
	if i < 0 {
		return true
	}
	t.waiters = slices.Delete(t.waiters, i, i+1)
	t.recordLoad()
	return false
}

// occupySlot counts one more busy slot. The caller holds the lock.
func (t *Target) occupySlot() {
	t.busy++
	t.stats.MaxBusy = max(t.stats.MaxBusy, t.busy)
	t.recordLoad()
}

// release passes the slot to the first waiting request, or frees it.
func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiters) > 0 {
		close(t.waiters[0])
		t.waiters = t.waiters[1:]
	} else {
		t.busy--
	}
	t.recordLoad()
}

// beginExecution records that a request starts to run, and returns its service
// time.
func (t *Target) beginExecution(e *Execution) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e.Started = now
	t.stats.Executed++
	t.stats.LastStart = now
	t.runsByID[e.RequestID]++
	t.runsByKey[e.Key]++
	if len(t.executions) >= maxExecutions {
		t.executions = t.executions[1:]
	}
	t.executions = append(t.executions, e)
	return t.serviceTime(now)
}

// finishExecution records the end of a request and updates the reported latency.
func (t *Target) finishExecution(e *Execution, cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Finished = t.clock.Now()
	e.Cancelled = cancelled
	if cancelled {
		t.stats.Cancelled++
	}
	// The latest request has a weight of 1/8 in the moving average.
	t.smoothedLatency += (e.Finished.Sub(e.Started) - t.smoothedLatency) / 8
}

// serviceTime draws a random service time and adds the pending cost. The caller
// holds the lock.
func (t *Target) serviceTime(now snipetime.Instant) time.Duration {
	d := float64(t.settings.MedianServiceTime) * math.Exp(t.settings.Sigma*t.random.NormFloat64())
	if age := now.Sub(t.started); age < t.settings.ColdFade {
		d *= 1 + t.settings.ColdPenalty*(1-float64(age)/float64(t.settings.ColdFade))
	}
	d *= 1 + t.faults.Slowdown
	cost := t.pendingCost
	t.pendingCost = 0
	return time.Duration(d) + cost
}

// addCost adds a cost to the service time of the next request.
func (t *Target) addCost(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingCost += d
}

// loadSample is the load from an instant until that of the next sample.
type loadSample struct {
	at   snipetime.Instant
	load loadWire
}

// recordLoad appends the current load and drops the samples that are too old for
// any later report. The caller holds the lock.
func (t *Target) recordLoad() {
	now := t.clock.Now()
	t.loadSamples = append(t.loadSamples, loadSample{at: now, load: loadWire{
		Slots:         t.settings.Slots,
		Busy:          t.busy,
		Queued:        len(t.waiters),
		LatencyMicros: t.smoothedLatency.Microseconds(),
	}})
	t.loadSamples = t.loadSamples[t.reportedSample(now):]
}

// reportedSample returns the index of the sample that a report shows: the newest
// that is at least as old as the lag, or else the first one. The caller holds the
// lock.
func (t *Target) reportedSample(now snipetime.Instant) int {
	limit := now.Add(-t.settings.LoadLag)
	i, _ := slices.BinarySearchFunc(t.loadSamples, limit, func(s loadSample, limit snipetime.Instant) int {
		return cmp.Compare(s.at, limit+1)
	})
	return max(i-1, 0)
}

// reportedLoad returns the load that a report shows now. The caller holds the
// lock.
func (t *Target) reportedLoad() loadWire {
	return t.loadSamples[t.reportedSample(t.clock.Now())].load
}

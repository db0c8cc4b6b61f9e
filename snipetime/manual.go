package snipetime

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service for tests. Time stands still between calls of
// Advance, which runs due callbacks in order on the calling goroutine.
type Manual struct {
	mu     sync.Mutex
	now    Instant
	next   uint64
	timers timerHeap
}

// NewManual returns a manual clock that shows start.
func NewManual(start Instant) *Manual { return &Manual{now: start} }

// Now returns the instant that the clock shows.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls f once per period of stepped time until the returned function is
// called. It panics if period is not positive.
func (m *Manual) Every(period time.Duration, f func(Instant)) (cancel func()) {
	if period <= 0 {
		panic("snipetime: period is not positive")
	}
	return m.add(period, period, f)
}

// After calls f once when time has been stepped by delay.
func (m *Manual) After(delay time.Duration, f func(Instant)) (cancel func()) {
	return m.add(delay, 0, f)
}

// Advance steps time by d and runs each callback at the instant it is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for len(m.timers) > 0 && !m.timers[0].due.After(end) {
		t := heap.Pop(&m.timers).(*manualTimer)
		if t.cancelled {
			continue
		}
		if t.due.After(m.now) {
			m.now = t.due
		}
		if t.period > 0 {
			t.due = t.due.Add(t.period)
			heap.Push(&m.timers, t)
		}
		now := m.now
		m.mu.Unlock()
		t.f(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

func (m *Manual) add(delay, period time.Duration, f func(Instant)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	t := &manualTimer{due: m.now.Add(delay), order: m.next, period: period, f: f}
	heap.Push(&m.timers, t)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		t.cancelled = true
	}
}

type manualTimer struct {
	due       Instant
	order     uint64
	period    time.Duration
	f         func(Instant)
	cancelled bool
}

// timerHeap orders timers by due instant, then by the order of their creation.
type timerHeap []*manualTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(*manualTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

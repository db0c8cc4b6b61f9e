package snipetime

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a clock with timers for tests. Its time changes only in Advance, which
// runs due callbacks in order on the calling goroutine. Its methods are safe for
// concurrent use.
type Manual struct {
	mu        sync.Mutex
	now       Instant
	lastOrder uint64 // order of the timer that was created last
	timers    timerHeap
}

// NewManual returns a manual clock that is set to start.
func NewManual(start Instant) *Manual { return &Manual{now: start} }

// Now returns the current instant of the clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls f whenever the clock has advanced by another period, until the returned
// function is called. f gets the instant at which it is due. Every panics if period is
// not positive.
func (m *Manual) Every(period time.Duration, f func(Instant)) (cancel func()) {
	if period <= 0 {
		panic("snipetime: period is not positive")
	}
	return m.add(period, period, f)
}

// After calls f once when the clock has advanced by delay, unless the returned
// function is called first. f gets the instant at which it runs. With a delay of zero
// or less, the next Advance calls f.
func (m *Manual) After(delay time.Duration, f func(Instant)) (cancel func()) {
	return m.add(delay, 0, f)
}

// Advance advances the clock by d and runs each callback at the instant at which it is
// due. Callbacks may use the clock, but must not call Advance.
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

// add adds a timer that is due after delay and, if period is positive, repeats. It
// returns a function that cancels the timer.
func (m *Manual) add(delay, period time.Duration, f func(Instant)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastOrder++
	t := &manualTimer{due: m.now.Add(delay), order: m.lastOrder, period: period, f: f}
	heap.Push(&m.timers, t)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		t.cancelled = true
	}
}

// manualTimer is a timer of a Manual clock.
type manualTimer struct {
	due       Instant
	order     uint64        // position in the order of creation
	period    time.Duration // zero for a timer that fires once
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

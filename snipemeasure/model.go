package snipemeasure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipemoor/snipemoor/snipetime"
)

// event is a callback at an instant; order breaks ties.
type event struct {
	at    snipetime.Instant
	order int
	f     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// request is one call; its work is the service time at a normal target.
type request struct {
	id       int
	entry    int
	place    int
	arrived  snipetime.Instant
	work     time.Duration
	complete func(service time.Duration)
}

// backend is the model of a target: slots and a FIFO queue.
type backend struct {
	index    int
	place    int
	slots    int
	busy     int
	waiting  []*request
	draining bool
	busyTime time.Duration
}

// model runs one cell of the comparison.
type model struct {
	settings Settings
	scenario Scenario
	now      snipetime.Instant
	events   eventHeap
	order    int
	backends []*backend
	half     snipetime.Instant // when the scenario's change takes place
	end      snipetime.Instant // of the last arrival
	left     int               // requests without a result

	latency *hdrhistogram.Histogram
	cell    *Cell
	drained snipetime.Instant
}

const highestLatency = int64(10 * time.Minute / time.Microsecond)

func newModel(s Settings, scenario Scenario, cell *Cell) *model {
	m := &model{settings: s, scenario: scenario, cell: cell, latency: hdrhistogram.New(1, highestLatency, 3), left: s.Requests}
	for i := range s.Targets {
		m.backends = append(m.backends, &backend{index: i, place: i % s.Places, slots: s.Slots})
	}
	return m
}

func (m *model) at(t snipetime.Instant, f func()) {
	m.order++
	heap.Push(&m.events, event{at: t, order: m.order, f: f})
}

func (m *model) after(d time.Duration, f func()) { m.at(m.now.Add(d), f) }

// arrivals schedules the requests: Poisson arrivals, log-normal work. They
// depend on the seed and the load only.
func (m *model) arrivals(load float64, arrive func(*request)) {
	s := m.settings
	random := rand.New(rand.NewPCG(s.Seed, math.Float64bits(load)))
	interval := float64(s.Service) / (load * float64(s.Targets*s.Slots))
	var t float64
	for i := range s.Requests {
		t += random.ExpFloat64() * interval
		work := float64(s.Service) * math.Exp(random.NormFloat64()*s.Sigma-s.Sigma*s.Sigma/2)
		r := &request{
			id: i, entry: random.IntN(s.Entries), place: random.IntN(s.Places),
			arrived: snipetime.Instant(t), work: time.Duration(work),
		}
		m.at(r.arrived, func() { arrive(r) })
	}
	m.end = snipetime.Instant(t)
	m.half = m.end / 2
}

func (m *model) run() {
	for m.left > 0 && len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.f()
	}
}

// every calls f periodically until all requests have a result.
func (m *model) every(period time.Duration, f func()) {
	m.after(period, func() {
		f()
		if m.left > 0 {
			m.every(period, f)
		}
	})
}

// changed is the target that the scenario is about.
func (m *model) changed() *backend { return m.backends[0] }

// factor returns the ratio of the present service time to the normal one.
func (m *model) factor(b *backend) float64 {
	if b != m.changed() {
		return 1
	}
	switch m.scenario {
	case Slow:
		return SlowFactor
	case Cold:
		age := m.now.Sub(m.half)
		if age < 0 || age >= ColdPeriod {
			return 1
		}
		return ColdFactor - (ColdFactor-1)*float64(age)/float64(ColdPeriod)
	default:
		return 1
	}
}

// submit passes a request to a target, where it may wait.
func (m *model) submit(b *backend, r *request) {
	if b.busy >= b.slots {
		b.waiting = append(b.waiting, r)
		return
	}
	b.busy++
	service := time.Duration(float64(r.work) * m.factor(b))
	b.busyTime += service
	m.after(service, func() {
		b.busy--
		r.complete(service)
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			m.submit(b, next)
		}
		if b.draining && b.busy == 0 && m.drained == 0 {
			m.drained = m.now
		}
	})
}

// finish records the latency of a request that has its response.
func (m *model) finish(r *request) {
	m.left--
	m.cell.Completed++
	micros := min(max(m.now.Sub(r.arrived).Microseconds(), 1), highestLatency)
	// The value is within the histogram's bounds, so that this cannot fail.
	_ = m.latency.RecordValue(micros)
}

// refuse records a request that the policy refused.
func (m *model) refuse() {
	m.left--
	m.cell.Refused++
}

// drain announces the drain of the changed target.
func (m *model) drain() {
	b := m.changed()
	b.draining = true
	if b.busy == 0 {
		m.drained = m.now
	}
}

// summarize fills the cell. Requests that still run after the last arrival
// extend the period over which the targets' use is averaged.
func (m *model) summarize() {
	quantile := func(q float64) time.Duration {
		return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	c := m.cell
	c.P50, c.P90, c.P99, c.P999 = quantile(50), quantile(90), quantile(99), quantile(99.9)
	busiest := 0.0
	for _, b := range m.backends {
		busiest = max(busiest, float64(b.busyTime)/float64(b.slots)/float64(max(m.now, 1)))
	}
	c.Headroom = 1 - busiest
	if m.scenario == Drained && m.drained > 0 {
		c.DrainTime = m.drained.Sub(m.half)
	}
}

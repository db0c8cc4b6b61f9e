package snipemeasure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipemoor/snipemoor/snipetime"
)

// event is a callback at an instant of simulated time. Events of the same instant
// run in the order of sequence.
type event struct {
	at       snipetime.Instant
	sequence int
	run      func()
}

// eventHeap is a priority queue of events, the next one first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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

// request is one request. entry is the index of its entry instance and place that
// of its caller's place. normalServiceTime is its service time at a target that is
// neither slow nor cold, and complete is called with the real one.
type request struct {
	id                int
	entry             int
	place             int
	arrived           snipetime.Instant
	normalServiceTime time.Duration
	complete          func(serviceTime time.Duration)
}

// target models a target as slots and a FIFO queue. busyTime is the sum of the
// service times of all slots.
type target struct {
	index    int
	place    int
	slots    int
	busy     int
	waiting  []*request
	draining bool
	busyTime time.Duration
}

// simulation is a discrete-event simulation of one cell of the comparison.
type simulation struct {
	settings    Settings
	scenario    Scenario
	now         snipetime.Instant
	events      eventHeap
	eventCount  int
	targets     []*target
	changeTime  snipetime.Instant // when the change of the scenario takes place
	lastArrival snipetime.Instant // instant of the last arrival
	unfinished  int               // requests without a result

	latency  *hdrhistogram.Histogram
	cell     *Cell
	drainEnd snipetime.Instant // when the drained target became idle; 0 before
}

// maxLatencyMicros is the upper bound of the latency histogram in microseconds.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newSimulation(s Settings, scenario Scenario, cell *Cell) *simulation {
	sim := &simulation{settings: s, scenario: scenario, cell: cell, latency: hdrhistogram.New(1, maxLatencyMicros, 3), unfinished: s.Requests}
	for i := range s.Targets {
		sim.targets = append(sim.targets, &target{index: i, place: i % s.Places, slots: s.Slots})
	}
	return sim
}

// schedule adds an event.
func (sim *simulation) schedule(at snipetime.Instant, f func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{at: at, sequence: sim.eventCount, run: f})
}

func (sim *simulation) scheduleAfter(d time.Duration, f func()) { sim.schedule(sim.now.Add(d), f) }

// scheduleArrivals schedules the requests, with Poisson arrivals and log-normal
// service times. They don't depend on the policy or the scenario, so that all cells
// with one load are compared on the same requests.
func (sim *simulation) scheduleArrivals(load float64, arrive func(*request)) {
	s := sim.settings
	random := rand.New(rand.NewPCG(s.Seed, math.Float64bits(load)))
	interval := float64(s.Service) / (load * float64(s.Targets*s.Slots))
	var t float64
	for i := range s.Requests {
		t += random.ExpFloat64() * interval
		serviceTime := float64(s.Service) * math.Exp(random.NormFloat64()*s.Sigma-s.Sigma*s.Sigma/2)
		r := &request{
			id: i, entry: random.IntN(s.Entries), place: random.IntN(s.Places),
			arrived: snipetime.Instant(t), normalServiceTime: time.Duration(serviceTime),
		}
		sim.schedule(r.arrived, func() { arrive(r) })
	}
	sim.lastArrival = snipetime.Instant(t)
	sim.changeTime = sim.lastArrival / 2
}

// run executes events until all requests have a result.
func (sim *simulation) run() {
	for sim.unfinished > 0 && len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// scheduleEvery calls f periodically until all requests have a result.
func (sim *simulation) scheduleEvery(period time.Duration, f func()) {
	sim.scheduleAfter(period, func() {
		f()
		if sim.unfinished > 0 {
			sim.scheduleEvery(period, f)
		}
	})
}

// affectedTarget returns the target that is slow, cold or drained in the scenario.
func (sim *simulation) affectedTarget() *target { return sim.targets[0] }

// slowdown returns the factor by which the service times of a target are longer
// than normal at present.
func (sim *simulation) slowdown(t *target) float64 {
	if t != sim.affectedTarget() {
		return 1
	}
	switch sim.scenario {
	case Slow:
		return SlowFactor
	case Cold:
		age := sim.now.Sub(sim.changeTime)
		if age < 0 || age >= ColdPeriod {
			return 1
		}
		return ColdFactor - (ColdFactor-1)*float64(age)/float64(ColdPeriod)
	default:
		return 1
	}
}

// submit sends a request to a target, where it waits in the queue if all slots are
// busy.
func (sim *simulation) submit(t *target, r *request) {
	if t.busy >= t.slots {
		t.waiting = append(t.waiting, r)
		return
	}
	t.busy++
	serviceTime := time.Duration(float64(r.normalServiceTime) * sim.slowdown(t))
	t.busyTime += serviceTime
	sim.scheduleAfter(serviceTime, func() {
		t.busy--
		r.complete(serviceTime)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			sim.submit(t, next)
		}
		if t.draining && t.busy == 0 && sim.drainEnd == 0 {
			sim.drainEnd = sim.now
		}
	})
}

// finish records the latency of a request whose response has arrived.
func (sim *simulation) finish(r *request) {
	sim.unfinished--
	sim.cell.Completed++
	micros := min(max(sim.now.Sub(r.arrived).Microseconds(), 1), maxLatencyMicros)
	// The value is within the histogram's bounds, so that this cannot fail.
	_ = sim.latency.RecordValue(micros)
}

// refuse records a request that the policy refused.
func (sim *simulation) refuse() {
	sim.unfinished--
	sim.cell.Refused++
}

// drain marks the affected target as draining. Requests in its queue still run.
func (sim *simulation) drain() {
	t := sim.affectedTarget()
	t.draining = true
	if t.busy == 0 {
		sim.drainEnd = sim.now
	}
}

// summarize fills in the cell. The utilization of the targets is averaged until the
// last request has ended, which is after the last arrival.
func (sim *simulation) summarize() {
	quantile := func(q float64) time.Duration {
		return time.Duration(sim.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	c := sim.cell
	c.P50, c.P90, c.P99, c.P999 = quantile(50), quantile(90), quantile(99), quantile(99.9)
	busiest := 0.0
	for _, t := range sim.targets {
		busiest = max(busiest, float64(t.busyTime)/float64(t.slots)/float64(max(sim.now, 1)))
	}
	c.Headroom = 1 - busiest
	if sim.scenario == Drained && sim.drainEnd > 0 {
		c.DrainTime = sim.drainEnd.Sub(sim.changeTime)
	}
}

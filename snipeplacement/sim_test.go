package snipeplacement

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// This is a discrete-event simulation of fronts and targets. Each target has slots,
// a queue, and an LRU cache of the objects that it handles faster than others.

const (
	// warmTime and coldTime are the mean service times with and without the object in
	// the cache.
	warmTime = 110 * time.Millisecond
	coldTime = 360 * time.Millisecond
	// latencyObjective is the latency above which a response is late.
	latencyObjective = 300 * time.Millisecond
	// cacheSize is the number of objects in the cache of a target.
	cacheSize = 60
	// slots and queueLength are the numbers of requests that run and wait at a target.
	slots       = 6
	queueLength = 18
)

// simTarget is a target of the simulation.
type simTarget struct {
	running, waiting int
	pending          []*simRequest
	lru              *list.List
	cache            map[string]*list.Element
	// slowness is the factor of the service times, which responses state; 0 is none.
	slowness float64
}

func newSimTarget() *simTarget {
	return &simTarget{lru: list.New(), cache: map[string]*list.Element{}}
}

// accessCache reports whether an object is in the cache, and inserts it if not.
func (s *simTarget) accessCache(object string) bool {
	if e := s.cache[object]; e != nil {
		s.lru.MoveToFront(e)
		return true
	}
	s.cache[object] = s.lru.PushFront(object)
	if s.lru.Len() > cacheSize {
		last := s.lru.Remove(s.lru.Back()).(string)
		delete(s.cache, last)
	}
	return false
}

// simRequest is a request of the simulation.
type simRequest struct {
	arrived snipetime.Instant
	sent    snipetime.Instant
	front   int
	target  *snipefleet.Target
	object  string
	kind    *simKind
	// retried is set if the caller was refused before and has retried.
	retried bool
}

// simKind is a kind of request, with what became of its requests.
type simKind struct {
	route  *snipetable.Route
	tenant *snipetable.Tenant
	// work is the service time as a factor of warmTime and coldTime.
	work      float64
	objective time.Duration
	// share is the share of the requests that are of the kind.
	share                                              float64
	offered, inTime, late, returned, failed, ownInTime int
}

// event is a function that the simulation calls at a time.
type event struct {
	at snipetime.Instant
	do func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim simulates the requests of many fronts to many targets.
type sim struct {
	t        *testing.T
	now      snipetime.Instant
	events   eventQueue
	rng      *rand.Rand
	registry *snipefleet.Registry
	fronts   []*Chooser
	// quotas are the tables of the stated limits, by front, and limits are what targets
	// state.
	quotas []*snipequota.Table
	limits map[string]*statedLimit
	// rests are the times in which targets refuse all requests and state until when.
	rests map[string][]statedRest
	// cut reports whether two fronts cannot hear each other; nil means that all can.
	cut     func(i, j int) bool
	targets map[string]*simTarget
	route   *snipetable.Route
	// kinds are the kinds of the generated requests; none means requests of route.
	kinds []*simKind
	// countFrom is the arrival time from which requests are counted.
	countFrom                      snipetime.Instant
	offered, inTime, late, refused int
	// latencySum is the sum of the latencies of served requests.
	latencySum time.Duration
	// hidesSlowness is set if targets do not state their slowness.
	hidesSlowness bool
	// shed counts the requests that targets refused. They also count as refused.
	shed int
	// retryOnce makes each refused caller retry once, after the delay in the refusal.
	retryOnce bool
	// startTimes and startFronts are the times at which requests were sent and the fronts
	// that sent them, by target.
	startTimes  map[string][]snipetime.Instant
	startFronts map[string][]int
}

// newSim returns a simulation with the given numbers of targets and fronts.
func newSim(t *testing.T, targets, fronts int) *sim {
	t.Helper()
	const seed = 5
	t.Logf("seed %d", seed)
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), registry: snipefleet.New(), targets: map[string]*simTarget{},
		route: &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}, startTimes: map[string][]snipetime.Instant{},
		startFronts: map[string][]int{}, limits: map[string]*statedLimit{}, rests: map[string][]statedRest{},
	}
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		s.targets[id] = newSimTarget()
		s.registry.UpdateTarget(0, snipefleet.TargetReport{
			ID: id, Service: "s", Address: id, Slots: slots, Born: 1, Place: place(i),
		})
	}
	for i := range fronts {
		self := s.member(i)
		s.registry.UpdateMember(self)
		quotas := snipequota.New(self, s.registry, zap.NewNop())
		s.fronts = append(s.fronts, New(self.Name, self.Place, quotas))
		s.quotas = append(s.quotas, quotas)
	}
	return s
}

// place distributes fronts and targets over three regions of two failure domains each.
func place(i int) snipefleet.Place {
	return snipefleet.Place{Domain: fmt.Sprintf("d%d", i%6), Region: fmt.Sprintf("r%d", i%3)}
}

// schedule adds an event.
func (s *sim) schedule(when snipetime.Instant, do func()) { heap.Push(&s.events, event{when, do}) }

// run processes the events up to a time.
func (s *sim) run(until snipetime.Instant) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// generateLoad generates a Poisson stream of requests with the given total rate, in
// requests per second. Each goes to a random front, for a random one of the given
// number of objects of the front's region.
func (s *sim) generateLoad(rate float64, objects int, until snipetime.Instant) {
	gap := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		i := s.rng.IntN(len(s.fronts))
		s.request(i, fmt.Sprintf("%s/%d", place(i).Region, s.rng.IntN(objects)))
		if at := s.now.Add(gap()); at < until {
			s.schedule(at, next)
		}
	}
	s.schedule(s.now, next)
}

// counted reports whether a request arrived after the start of counting.
func (s *sim) counted(r *simRequest) bool { return r.arrived >= s.countFrom }

// pickKind returns a kind at random.
func (s *sim) pickKind() *simKind {
	if len(s.kinds) == 0 {
		s.kinds = []*simKind{{route: s.route, work: 1, objective: latencyObjective, share: 1}}
	}
	last := len(s.kinds) - 1
	if last == 0 {
		return s.kinds[0]
	}
	draw := s.rng.Float64()
	for _, k := range s.kinds[:last] {
		if draw -= k.share; draw < 0 {
			return k
		}
	}
	return s.kinds[last]
}

// request simulates the arrival of a request at the front with the given index.
func (s *sim) request(front int, object string) {
	r := &simRequest{arrived: s.now, front: front, object: object, kind: s.pickKind()}
	if s.counted(r) {
		s.offered++
		r.kind.offered++
	}
	s.send(r)
}

// send lets the front of a request choose a target, where the request starts, waits,
// or is shed.
func (s *sim) send(r *simRequest) {
	c := s.fronts[r.front]
	r.sent = s.now
	q := s.query(r.object)
	q.Route, q.Tenant = r.kind.route, r.kind.tenant
	candidate, refusal := c.Choose(s.now, s.registry.View(), q)
	target := candidate.Target
	switch {
	case refusal != nil && s.retryOnce && !r.retried:
		r.retried = true
		if s.counted(r) {
			r.kind.returned++
		}
		s.schedule(s.now.Add(refusal.RetryAfter), func() { s.send(r) })
		return
	case refusal != nil:
		if s.counted(r) {
			s.refused++
			r.kind.failed++
		}
		return
	}
	r.target = target
	st := s.targets[target.ID]
	s.startTimes[target.ID] = append(s.startTimes[target.ID], s.now)
	s.startFronts[target.ID] = append(s.startFronts[target.ID], r.front)
	switch {
	case s.refusedByRest(r):
	case st.running < slots:
		s.begin(st, r)
	case st.waiting < queueLength:
		st.waiting++
		st.pending = append(st.pending, r)
	default:
		s.recordStatement(r.front, target)
		c.RecordResult(s.now, target, Result{Load: s.load(st)})
		if s.counted(r) {
			s.shed++
			s.refused++
		}
	}
}

func (s *sim) query(object string) *Query {
	return &Query{Service: "s", Info: &snipetable.Service{ColdDuration: 3 * time.Second, ColdRate: 13}, Route: s.route, Object: object}
}

// load returns the load that a target states.
func (s *sim) load(st *simTarget) *Load {
	if s.hidesSlowness {
		return &Load{st.running, st.waiting, slots, 0}
	}
	return &Load{st.running, st.waiting, slots, st.slowness}
}

// begin starts a request in a slot of a target.
func (s *sim) begin(st *simTarget, r *simRequest) {
	st.running++
	took := coldTime
	if st.accessCache(r.object) {
		took = warmTime
	}
	took = time.Duration(float64(took) * r.kind.work)
	if st.slowness > 0 {
		took = time.Duration(float64(took) * st.slowness)
	}
	took += time.Duration(0.15 * s.rng.NormFloat64() * float64(took))
	s.schedule(s.now.Add(took), func() { s.finish(st, r) })
}

// finish ends a request, starts the next waiting one, and reports the result.
func (s *sim) finish(st *simTarget, r *simRequest) {
	st.running--
	if len(st.pending) > 0 {
		next := st.pending[0]
		st.pending = st.pending[1:]
		st.waiting--
		s.begin(st, next)
	}
	latency := s.now.Sub(r.arrived)
	s.recordStatement(r.front, r.target)
	s.fronts[r.front].RecordResult(s.now, r.target, Result{Latency: latency, Completed: true, Load: s.load(st)})
	if s.counted(r) {
		s.latencySum += latency
		if s.now.Sub(r.sent) <= r.kind.objective {
			r.kind.ownInTime++
		}
	}
	switch {
	case !s.counted(r):
	case latency <= r.kind.objective:
		s.inTime++
		r.kind.inTime++
	default:
		s.late++
		r.kind.late++
	}
}

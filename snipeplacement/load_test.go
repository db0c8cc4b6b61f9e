package snipeplacement

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// The tests of this file play loads on stepped time. Each target has slots, a
// queue, and a cache of objects that it handles faster than others.

const (
	warmTime  = 110 * time.Millisecond
	coldTime  = 360 * time.Millisecond
	objective = 300 * time.Millisecond
	cacheSize = 60
	slots     = 6
	queue     = 18
)

// simTarget is a target of the simulation.
type simTarget struct {
	running, waiting int
	pending          []*simRequest
	order            *list.List
	cache            map[string]*list.Element
}

func newSimTarget() *simTarget {
	return &simTarget{order: list.New(), cache: map[string]*list.Element{}}
}

// touch returns whether an object is in the cache, and puts it there.
func (s *simTarget) touch(object string) bool {
	if e := s.cache[object]; e != nil {
		s.order.MoveToFront(e)
		return true
	}
	s.cache[object] = s.order.PushFront(object)
	if s.order.Len() > cacheSize {
		last := s.order.Remove(s.order.Back()).(string)
		delete(s.cache, last)
	}
	return false
}

type simRequest struct {
	arrived snipetime.Instant
	chooser *Chooser
	target  *snipefleet.Target
	object  string
}

type event struct {
	at snipetime.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim plays requests of many fronts against many targets.
type sim struct {
	t        *testing.T
	now      snipetime.Instant
	queue    events
	rng      *rand.Rand
	registry *snipefleet.Registry
	fronts   []*Chooser
	targets  map[string]*simTarget
	route    *snipetable.Route
	// from is when counting begins.
	from                          snipetime.Instant
	offered, inTime, late, denied int
	begun                         map[string][]snipetime.Instant
}

func newSim(t *testing.T, targets, fronts int) *sim {
	t.Helper()
	const seed = 5
	t.Logf("seed %d", seed)
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), registry: snipefleet.New(), targets: map[string]*simTarget{},
		route: &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}, begun: map[string][]snipetime.Instant{},
	}
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		s.targets[id] = newSimTarget()
		s.registry.Report(0, snipefleet.TargetReport{
			ID: id, Service: "s", Address: id, Slots: slots, Born: 1, Place: place(i),
		})
	}
	for i := range fronts {
		name := fmt.Sprintf("f%d", i)
		s.registry.Join(snipefleet.Member{Name: name, Place: place(i)})
		s.fronts = append(s.fronts, New(name, place(i)))
	}
	return s
}

// place spreads things over three regions of two failure domains.
func place(i int) snipefleet.Place {
	return snipefleet.Place{Domain: fmt.Sprintf("d%d", i%6), Region: fmt.Sprintf("r%d", i%3)}
}

func (s *sim) at(when snipetime.Instant, do func()) { heap.Push(&s.queue, event{when, do}) }

func (s *sim) run(until snipetime.Instant) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// offer offers requests for the objects of each region at a rate per second.
func (s *sim) offer(rate float64, objects int, until snipetime.Instant) {
	gap := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		i := s.rng.IntN(len(s.fronts))
		s.request(s.fronts[i], fmt.Sprintf("%s/%d", place(i).Region, s.rng.IntN(objects)))
		if at := s.now.Add(gap()); at < until {
			s.at(at, next)
		}
	}
	s.at(s.now, next)
}

func (s *sim) counts(r *simRequest) bool { return r.arrived >= s.from }

func (s *sim) request(c *Chooser, object string) {
	r := &simRequest{arrived: s.now, chooser: c, object: object}
	if s.counts(r) {
		s.offered++
	}
	look, refusal := c.Choose(s.now, s.registry.View(), s.query(object))
	target := look.Target
	if refusal != nil {
		if s.counts(r) {
			s.denied++
		}
		return
	}
	r.target = target
	st := s.targets[target.ID]
	s.begun[target.ID] = append(s.begun[target.ID], s.now)
	switch {
	case st.running < slots:
		s.begin(st, r)
	case st.waiting < queue:
		st.waiting++
		st.pending = append(st.pending, r)
	default:
		c.Done(s.now, target, Result{Load: &Load{st.running, st.waiting, slots}})
		if s.counts(r) {
			s.denied++
		}
	}
}

func (s *sim) query(object string) *Query {
	return &Query{Service: "s", Info: &snipetable.Service{ColdFor: 3 * time.Second, ColdRate: 13}, Route: s.route, Object: object}
}

func (s *sim) begin(st *simTarget, r *simRequest) {
	st.running++
	took := coldTime
	if st.touch(r.object) {
		took = warmTime
	}
	took += time.Duration(0.15 * s.rng.NormFloat64() * float64(took))
	s.at(s.now.Add(took), func() { s.finish(st, r) })
}

func (s *sim) finish(st *simTarget, r *simRequest) {
	st.running--
	if len(st.pending) > 0 {
		next := st.pending[0]
		st.pending = st.pending[1:]
		st.waiting--
		s.begin(st, next)
	}
	latency := s.now.Sub(r.arrived)
	r.chooser.Done(s.now, r.target, Result{Latency: latency, Answered: true, Load: &Load{st.running, st.waiting, slots}})
	switch {
	case !s.counts(r):
	case latency <= objective:
		s.inTime++
	default:
		s.late++
	}
}

const second = snipetime.Instant(time.Second)

// TestHeavyLoad guards against a load near the capacity of warm targets that
// makes most answers late, because objects spread over too many targets.
func TestHeavyLoad(t *testing.T) {
	s := newSim(t, 20, 12)
	const capacity = 20 * slots / 0.110
	s.from = 6 * second
	s.offer(0.6*capacity, 104, 20*second)
	s.run(22 * second)
	if share := float64(s.inTime) / float64(s.offered); share < 0.9 {
		t.Errorf("%.3f of %d requests in time (late %d, refused %d), want 0.9", share, s.offered, s.late, s.denied)
	}
}

// TestOverload guards against a collapse when half of the targets go and more is
// offered than the others can take: what they can take has to be served.
func TestOverload(t *testing.T) {
	s := newSim(t, 20, 12)
	const capacity = 20 * slots / 0.110
	s.offer(0.6*capacity, 104, 30*second)
	s.at(8*second, func() {
		for i := range 10 {
			s.registry.Remove(s.now, fmt.Sprintf("t%d", i))
		}
	})
	s.from = 16 * second
	s.run(32 * second)
	// Half of the capacity is left, for 0.6 of it offered.
	const possible = 0.5 / 0.6
	if share := float64(s.inTime) / float64(s.offered); share < 0.6*possible {
		t.Errorf("%.3f of %d requests in time (late %d, refused %d), want %.3f", share, s.offered, s.late, s.denied, 0.6*possible)
	}
}

// TestColdTarget guards against more requests to a cold target, summed over all
// fronts, than it bears.
func TestColdTarget(t *testing.T) {
	s := newSim(t, 20, 12)
	s.offer(600, 104, 12*second)
	s.at(5*second, func() {
		for i := range 6 {
			s.registry.Report(s.now, snipefleet.TargetReport{
				ID: fmt.Sprintf("t%d", i), Service: "s", Address: "x", Slots: slots, Born: 2, Place: place(i), Cold: 3 * time.Second,
			})
		}
	})
	s.run(14 * second)
	const most = 13*1.5 + 5
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		for j, first := range s.begun[id] {
			if first < 5*second || first >= 7*second {
				continue
			}
			n := 0
			for _, later := range s.begun[id][j:] {
				if later.Sub(first) >= time.Second {
					break
				}
				n++
			}
			if float64(n) > most {
				t.Fatalf("%s got %d requests in a second", id, n)
			}
		}
	}
}

// TestStable guards against objects that move although their target stays.
func TestStable(t *testing.T) {
	s := newSim(t, 20, 3)
	before := map[string]string{}
	first := func(object string) string {
		v := s.registry.View()
		c := s.fronts[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ranks.of(v, rankKey{"s", object, false})[0].ID
	}
	for i := range 500 {
		object := fmt.Sprint(i)
		before[object] = first(object)
	}
	s.registry.Remove(0, "t7")
	for object, id := range before {
		if now := first(object); now != id && id != "t7" {
			t.Errorf("object %s moved from %s to %s", object, id, now)
		}
	}
}

// TestFrontsAgree guards against fronts of one region that place an object
// differently.
func TestFrontsAgree(t *testing.T) {
	s := newSim(t, 20, 12)
	v := s.registry.View()
	for i := range 200 {
		key := rankKey{"s", fmt.Sprint(i), false}
		a, b := s.fronts[0].ranks.of(v, key), s.fronts[3].ranks.of(v, key)
		for j := range setSize {
			if a[j] != b[j] {
				t.Fatalf("object %d: %s and %s", i, a[j].ID, b[j].ID)
			}
		}
	}
}

// TestLargeBodies guards against large bodies that leave a failure domain with
// enough capacity, and against one without that keeps all of them.
func TestLargeBodies(t *testing.T) {
	share := func(own int) float64 {
		r := snipefleet.New()
		for i, n := range []int{2, 2, 2, 2, 3, 1} {
			for j := range n {
				id := fmt.Sprintf("%d-%d", i, j)
				r.Report(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: 3, Born: 1, Place: place(i)})
			}
			r.Join(snipefleet.Member{Name: fmt.Sprint(i), Place: place(i)})
		}
		c := New("f", place(own))
		kept := 0
		const objects = 1000
		for i := range objects {
			if c.ranks.of(r.View(), rankKey{"s", fmt.Sprint(i), true})[0].Place.Domain == place(own).Domain {
				kept++
			}
		}
		return float64(kept) / objects
	}
	if got := share(0); got < 0.95 {
		t.Errorf("a domain with enough capacity keeps %.2f of its objects", got)
	}
	if got := share(5); got < 0.4 || got > 0.6 {
		t.Errorf("a domain with half of the capacity keeps %.2f of its objects, want about 0.5", got)
	}
}

// TestSuspect guards against requests to a target that cannot be reached, and
// against one that is left out for ever.
func TestSuspect(t *testing.T) {
	s := newSim(t, 2, 1)
	c := s.fronts[0]
	v := s.registry.View()
	chosen, refusal := c.Choose(0, v, s.query("x"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	down := chosen.Target
	c.Done(0, down, Result{Unreachable: true})
	uses := func(at snipetime.Instant) bool {
		look, refusal := c.Choose(at, v, s.query("x"))
		if refusal != nil {
			return false
		}
		defer c.Done(at, look.Target, Result{Answered: true})
		return look.Target == down
	}
	if uses(second / 2) {
		t.Error("the target is used right after it could not be reached")
	}
	if !uses(2 * second) {
		t.Error("the target is not tried again")
	}
}

// TestRefusal guards against a refusal that does not say when to come back.
func TestRefusal(t *testing.T) {
	s := newSim(t, 1, 1)
	c := s.fronts[0]
	v := s.registry.View()
	for range 2 * slots {
		if _, refusal := c.Choose(0, v, s.query("x")); refusal != nil {
			t.Fatal(refusal)
		}
	}
	_, refusal := c.Choose(0, v, s.query("x"))
	if refusal == nil || refusal.Reason != ReasonFull || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second || len(refusal.Looks) != 1 {
		t.Errorf("refusal %+v", refusal)
	}
	if _, refusal = New("f", place(0)).Choose(0, snipefleet.New().View(), s.query("x")); refusal == nil || refusal.Reason != ReasonNoTarget {
		t.Errorf("refusal without targets: %+v", refusal)
	}
}

// BenchmarkChoose measures a decision at the size of today and of the plan.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ fronts, targets int }{{12, 20}, {460, 280}} {
		b.Run(fmt.Sprintf("fronts=%d/targets=%d", size.fronts, size.targets), func(b *testing.B) {
			r := snipefleet.New()
			for i := range size.targets {
				id := fmt.Sprintf("t%d", i)
				r.Report(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: slots, Born: 1, Place: place(i)})
			}
			for i := range size.fronts {
				r.Join(snipefleet.Member{Name: fmt.Sprintf("f%d", i), Place: place(i)})
			}
			c, v := New("f0", place(0)), r.View()
			route := &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}
			objects := make([]string, 300)
			for i := range objects {
				objects[i] = fmt.Sprint(i)
			}
			q := &Query{Service: "s", Route: route}
			b.ReportAllocs()
			for i := range b.N {
				q.Object = objects[i%len(objects)]
				now := snipetime.Instant(i) * 1000
				if look, refusal := c.Choose(now, v, q); refusal == nil {
					c.Done(now, look.Target, Result{Latency: warmTime, Answered: true})
				}
			}
		})
	}
}

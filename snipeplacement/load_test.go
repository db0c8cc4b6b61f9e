package snipeplacement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

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

// exchange lets the fronts of each failure domain tell each other the loads of
// targets, as often as they ask each other for changes of the store.
func (s *sim) exchange(every time.Duration, until snipetime.Instant) {
	for i, c := range s.fronts {
		for j, other := range s.fronts {
			if i != j && place(i).Domain == place(j).Domain {
				c.MergeLoads(s.now, other.RecentLoads(s.now, every))
			}
		}
	}
	if at := s.now.Add(every); at < until {
		s.at(at, func() { s.exchange(every, until) })
	}
}

// TestManyFronts guards against targets that get more than they can queue, or
// answer late, because each of many fronts sees a small part of their load.
func TestManyFronts(t *testing.T) {
	play := func(exchange bool) (served, shed float64) {
		s := newSim(t, 30, 60)
		const capacity = 30 * slots / 0.110
		s.from = 4 * second
		s.offer(0.75*capacity, 150, 16*second)
		if exchange {
			s.exchange(300*time.Millisecond, 16*second)
		}
		s.run(18 * second)
		t.Logf("exchange %v: in time %d, late %d, refused %d, shed %d of %d", exchange, s.inTime, s.late, s.denied, s.shed, s.offered)
		return float64(s.inTime) / float64(s.offered), float64(s.shed) / float64(s.offered)
	}
	alone, shedAlone := play(false)
	together, shedTogether := play(true)
	if together <= alone {
		t.Errorf("%.3f in time with exchanged loads, %.3f without", together, alone)
	}
	if shedTogether > shedAlone {
		t.Errorf("%.4f shed with exchanged loads, %.4f without", shedTogether, shedAlone)
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

// TestNearest guards against a selection of the nearest targets that differs from
// sorting all of them.
func TestNearest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 40).Draw(t, "targets")
		n := rapid.IntRange(1, 50).Draw(t, "n")
		object := rapid.String().Draw(t, "object")
		var targets []*snipefleet.Target
		var weights []float64
		var want []scored
		for i := range size {
			target := &snipefleet.Target{ID: fmt.Sprint(i)}
			weight := rapid.Float64Range(0.01, 10).Draw(t, "weight")
			targets, weights = append(targets, target), append(weights, weight)
			want = append(want, scored{target, -math.Log(uniform(target.ID, object)) / weight})
		}
		slices.SortStableFunc(want, func(a, b scored) int { return cmp.Compare(a.distance, b.distance) })
		got := nearest(targets, weights, object, n)
		if len(got) != min(n, size) {
			t.Fatalf("%d targets, want %d", len(got), min(n, size))
		}
		for i := range got {
			if got[i] != want[i].target {
				t.Fatalf("target %d is %s, want %s", i, got[i].ID, want[i].target.ID)
			}
		}
	})
}

// TestBeyondBest guards against a refusal while targets behind the best ones of an
// object have room.
func TestBeyondBest(t *testing.T) {
	const targets = 20
	v := fleetOf(1, targets).View()
	c := New("f0", place(0))
	q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent}, Object: "o"}
	now := snipetime.Instant(time.Second)
	for i := range targets {
		look, refusal := c.Choose(now, v, q)
		if refusal != nil {
			t.Fatalf("refused with %d of %d targets suspect: %s", i, targets, refusal.Reason)
		}
		c.Done(now, look.Target, Result{Unreachable: true})
	}
	if _, refusal := c.Choose(now, v, q); refusal == nil || refusal.Reason != ReasonSuspect {
		t.Errorf("refusal %+v with all targets suspect", refusal)
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

// TestReturn guards against refused callers that all come back at the same
// moment, of whom most are refused again although slots become free one by one.
func TestReturn(t *testing.T) {
	s := newSim(t, 1, 1)
	s.comeBack = true
	const crowd = 8 * slots
	s.at(second, func() {
		for range slots {
			s.request(s.fronts[0], "x") // warms the target
		}
	})
	s.from = 3 * second
	s.at(3*second, func() {
		for range crowd {
			s.request(s.fronts[0], "x")
		}
	})
	s.run(8 * second)
	if served := s.inTime + s.late; served < crowd*9/10 {
		t.Errorf("%d of %d callers were served, %d were refused twice", served, crowd, s.denied)
	}
}

// BenchmarkChoose measures a decision at the size of today and of the plan.
// fleetOf returns a registry of fronts, and of targets of one service.
func fleetOf(fronts, targets int) *snipefleet.Registry {
	r := snipefleet.New()
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		r.Report(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: slots, Born: 1, Place: place(i)})
	}
	for i := range fronts {
		r.Join(snipefleet.Member{Name: fmt.Sprintf("f%d", i), Place: place(i)})
	}
	return r
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ fronts, targets int }{{12, 20}, {460, 280}} {
		b.Run(fmt.Sprintf("fronts=%d/targets=%d", size.fronts, size.targets), func(b *testing.B) {
			r := fleetOf(size.fronts, size.targets)
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

// BenchmarkChooseAfterChange measures the first choice for an object after a change
// of the targets, which has to rank them anew.
func BenchmarkChooseAfterChange(b *testing.B) {
	for _, size := range []struct{ fronts, targets int }{{12, 20}, {195, 459}, {460, 1080}} {
		b.Run(fmt.Sprintf("fronts=%d/targets=%d", size.fronts, size.targets), func(b *testing.B) {
			r := fleetOf(size.fronts, size.targets)
			views := [2]*snipefleet.View{r.View()}
			r.Remove(0, "t1")
			views[1] = r.View()
			c := New("f0", place(0))
			q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}, Object: "o"}
			b.ReportAllocs()
			for i := range b.N {
				now := snipetime.Instant(i) * 1000
				if look, refusal := c.Choose(now, views[i%2], q); refusal == nil {
					c.Done(now, look.Target, Result{Latency: warmTime, Answered: true})
				}
			}
		})
	}
}

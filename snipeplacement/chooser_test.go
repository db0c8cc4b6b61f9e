package snipeplacement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const second = snipetime.Instant(time.Second)

// noLimits returns a table of a fleet without limited targets.
func noLimits() *snipequota.Table {
	return snipequota.New(snipefleet.Member{}, snipefleet.New(), zap.NewNop())
}

// TestHeavyLoad guards against mostly late responses at a load near the capacity of
// warm targets. This happens if objects are distributed over too many targets, whose
// caches then miss.
func TestHeavyLoad(t *testing.T) {
	s := newSim(t, 20, 12)
	const capacity = 20 * slots / 0.110
	s.countFrom = 6 * second
	s.generateLoad(0.6*capacity, 104, 20*second)
	s.run(22 * second)
	if share := float64(s.inTime) / float64(s.offered); share < 0.9 {
		t.Errorf("%.3f of %d requests in time (late %d, refused %d), want 0.9", share, s.offered, s.late, s.refused)
	}
}

// TestOverload guards against a congestion collapse when half of the targets are
// removed and the offered load exceeds the remaining capacity: most of what the
// remaining targets can serve has to be served in time.
func TestOverload(t *testing.T) {
	s := newSim(t, 20, 12)
	const capacity = 20 * slots / 0.110
	s.generateLoad(0.6*capacity, 104, 30*second)
	s.schedule(8*second, func() {
		for i := range 10 {
			s.registry.RemoveTarget(s.now, fmt.Sprintf("t%d", i))
		}
	})
	s.countFrom = 16 * second
	s.run(32 * second)
	// Half of the capacity is left, for 0.6 of it offered.
	const possible = 0.5 / 0.6
	if share := float64(s.inTime) / float64(s.offered); share < 0.6*possible {
		t.Errorf("%.3f of %d requests in time (late %d, refused %d), want %.3f", share, s.offered, s.late, s.refused, 0.6*possible)
	}
}

// TestColdTarget guards against all fronts together sending requests to a cold target
// at more than its rate limit.
func TestColdTarget(t *testing.T) {
	s := newSim(t, 20, 12)
	s.generateLoad(600, 104, 12*second)
	s.schedule(5*second, func() {
		for i := range 6 {
			s.registry.UpdateTarget(s.now, snipefleet.TargetReport{
				ID: fmt.Sprintf("t%d", i), Service: "s", Address: "x", Slots: slots, Born: 2, Place: place(i), Cold: 3 * time.Second,
			})
		}
	})
	s.run(14 * second)
	const most = 13*1.5 + 5
	for i := range 6 {
		id := fmt.Sprintf("t%d", i)
		for j, first := range s.startTimes[id] {
			if first < 5*second || first >= 7*second {
				continue
			}
			n := 0
			for _, later := range s.startTimes[id][j:] {
				if later.Sub(first) >= time.Second {
					break
				}
				n++
			}
			if float64(n) > most {
				t.Fatalf("cold target %s received %d requests in a second", id, n)
			}
		}
	}
}

// exchangeLoads makes the fronts of each failure domain exchange the loads of targets
// at an interval, as they do in production with changes of the store.
func (s *sim) exchangeLoads(every time.Duration, until snipetime.Instant) {
	for i, c := range s.fronts {
		for j, other := range s.fronts {
			if i != j && place(i).Domain == place(j).Domain {
				c.MergeLoads(s.now, other.RecentLoads(s.now, every))
			}
		}
	}
	if at := s.now.Add(every); at < until {
		s.schedule(at, func() { s.exchangeLoads(every, until) })
	}
}

// TestManyFronts guards against requests that are shed or late because each of many
// fronts observes only a small part of the load of a target. The exchange of loads
// must improve both.
func TestManyFronts(t *testing.T) {
	simulate := func(exchange bool) (served, shed float64) {
		s := newSim(t, 30, 60)
		const capacity = 30 * slots / 0.110
		s.countFrom = 4 * second
		s.generateLoad(0.75*capacity, 150, 16*second)
		if exchange {
			s.exchangeLoads(300*time.Millisecond, 16*second)
		}
		s.run(18 * second)
		t.Logf("exchange %v: in time %d, late %d, refused %d, shed %d of %d", exchange, s.inTime, s.late, s.refused, s.shed, s.offered)
		return float64(s.inTime) / float64(s.offered), float64(s.shed) / float64(s.offered)
	}
	alone, shedAlone := simulate(false)
	together, shedTogether := simulate(true)
	if together <= alone {
		t.Errorf("%.3f in time with exchanged loads, %.3f without", together, alone)
	}
	if shedTogether > shedAlone {
		t.Errorf("%.4f shed with exchanged loads, %.4f without", shedTogether, shedAlone)
	}
}

// TestRankingStable guards against objects that move to another target although
// theirs is still available.
func TestRankingStable(t *testing.T) {
	s := newSim(t, 20, 3)
	before := map[string]string{}
	first := func(object string) string {
		v := s.registry.View()
		c := s.fronts[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rankings.best(v, rankingKey{"s", object, false})[0].ID
	}
	for i := range 500 {
		object := fmt.Sprint(i)
		before[object] = first(object)
	}
	s.registry.RemoveTarget(0, "t7")
	for object, id := range before {
		if now := first(object); now != id && id != "t7" {
			t.Errorf("object %s moved from %s to %s", object, id, now)
		}
	}
}

// TestFrontsAgree guards against fronts of one region that assign an object to
// different targets.
func TestFrontsAgree(t *testing.T) {
	s := newSim(t, 20, 12)
	v := s.registry.View()
	for i := range 200 {
		key := rankingKey{"s", fmt.Sprint(i), false}
		a, b := s.fronts[0].rankings.best(v, key), s.fronts[3].rankings.best(v, key)
		for j := range targetsPerObject {
			if a[j] != b[j] {
				t.Fatalf("object %d: %s and %s", i, a[j].ID, b[j].ID)
			}
		}
	}
}

// TestRankTargets guards against a ranking that differs from the first n of all
// targets sorted by distance.
func TestRankTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 40).Draw(t, "targets")
		n := rapid.IntRange(1, 50).Draw(t, "n")
		object := rapid.String().Draw(t, "object")
		var targets []*snipefleet.Target
		var weights []float64
		var want []rankedTarget
		for i := range size {
			target := &snipefleet.Target{ID: fmt.Sprint(i)}
			weight := rapid.Float64Range(0.01, 10).Draw(t, "weight")
			targets, weights = append(targets, target), append(weights, weight)
			want = append(want, rankedTarget{target, -math.Log(uniformHash(target.ID, object)) / weight})
		}
		slices.SortStableFunc(want, func(a, b rankedTarget) int { return cmp.Compare(a.distance, b.distance) })
		got := rankTargets(targets, weights, object, n)
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

// TestTargetsBeyondCachedRanking guards against a refusal while targets that are not
// in the cached part of the ranking are available.
func TestTargetsBeyondCachedRanking(t *testing.T) {
	const targets = 20
	v := newRegistry(1, targets).View()
	c := New("f0", place(0), noLimits())
	q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent}, Object: "o"}
	now := snipetime.Instant(time.Second)
	for i := range targets {
		candidate, refusal := c.Choose(now, v, q)
		if refusal != nil {
			t.Fatalf("refused with %d of %d targets suspect: %s", i, targets, refusal.Reason)
		}
		c.RecordResult(now, candidate.Target, Result{Unreachable: true})
	}
	if _, refusal := c.Choose(now, v, q); refusal == nil || refusal.Reason != ReasonSuspect {
		t.Errorf("refusal %+v with all targets suspect", refusal)
	}
}

// TestLargeBodies guards against large bodies that are sent out of a failure domain
// with enough capacity, and against all of them staying in one without.
func TestLargeBodies(t *testing.T) {
	share := func(own int) float64 {
		r := snipefleet.New()
		for i, n := range []int{2, 2, 2, 2, 3, 1} {
			for j := range n {
				id := fmt.Sprintf("%d-%d", i, j)
				r.UpdateTarget(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: 3, Born: 1, Place: place(i)})
			}
			r.UpdateMember(snipefleet.Member{Name: fmt.Sprint(i), Place: place(i)})
		}
		c := New("f", place(own), noLimits())
		kept := 0
		const objects = 1000
		for i := range objects {
			if c.rankings.best(r.View(), rankingKey{"s", fmt.Sprint(i), true})[0].Place.Domain == place(own).Domain {
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

// TestSuspect guards against requests to an unreachable target, and against its
// exclusion for ever.
func TestSuspect(t *testing.T) {
	s := newSim(t, 2, 1)
	c := s.fronts[0]
	v := s.registry.View()
	chosen, refusal := c.Choose(0, v, s.query("x"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	unreachable := chosen.Target
	c.RecordResult(0, unreachable, Result{Unreachable: true})
	uses := func(at snipetime.Instant) bool {
		candidate, refusal := c.Choose(at, v, s.query("x"))
		if refusal != nil {
			return false
		}
		defer c.RecordResult(at, candidate.Target, Result{Completed: true})
		return candidate.Target == unreachable
	}
	if uses(second / 2) {
		t.Error("the target is used right after it could not be reached")
	}
	if !uses(2 * second) {
		t.Error("the target is not tried again")
	}
}

// TestRefusal guards against a refusal without a reason, a retry delay of at most a
// second, or its candidates.
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
	if refusal == nil || refusal.Reason != ReasonFull || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second || len(refusal.Candidates) != 1 {
		t.Errorf("refusal %+v", refusal)
	}
	if _, refusal = New("f", place(0), noLimits()).Choose(0, snipefleet.New().View(), s.query("x")); refusal == nil || refusal.Reason != ReasonNoTarget {
		t.Errorf("refusal without targets: %+v", refusal)
	}
}

// TestRetriesSpread guards against refused callers that all retry at the same moment:
// most would be refused again, since slots become free one by one.
func TestRetriesSpread(t *testing.T) {
	s := newSim(t, 1, 1)
	s.retryOnce = true
	const callers = 8 * slots
	s.schedule(second, func() {
		for range slots {
			s.request(0, "x") // fills the cache of the target
		}
	})
	s.countFrom = 3 * second
	s.schedule(3*second, func() {
		for range callers {
			s.request(0, "x")
		}
	})
	s.run(8 * second)
	if served := s.inTime + s.late; served < callers*9/10 {
		t.Errorf("%d of %d callers were served, %d were refused twice", served, callers, s.refused)
	}
}

// newRegistry returns a registry with fronts f0, f1, ... and with targets t0, t1, ...
// of service s.
func newRegistry(fronts, targets int) *snipefleet.Registry {
	r := snipefleet.New()
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		r.UpdateTarget(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: slots, Born: 1, Place: place(i)})
	}
	for i := range fronts {
		r.UpdateMember(snipefleet.Member{Name: fmt.Sprintf("f%d", i), Place: place(i)})
	}
	return r
}

// BenchmarkChoose measures a choice at the present and at the planned number of
// fronts and targets.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ fronts, targets int }{{12, 20}, {460, 280}} {
		b.Run(fmt.Sprintf("fronts=%d/targets=%d", size.fronts, size.targets), func(b *testing.B) {
			r := newRegistry(size.fronts, size.targets)
			c, v := New("f0", place(0), noLimits()), r.View()
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
				if candidate, refusal := c.Choose(now, v, q); refusal == nil {
					c.RecordResult(now, candidate.Target, Result{Latency: warmTime, Completed: true})
				}
			}
		})
	}
}

// BenchmarkChooseAfterChange measures the first choice for an object after a change
// of the targets, for which the ranking is computed anew.
func BenchmarkChooseAfterChange(b *testing.B) {
	for _, size := range []struct{ fronts, targets int }{{12, 20}, {195, 459}, {460, 1080}} {
		b.Run(fmt.Sprintf("fronts=%d/targets=%d", size.fronts, size.targets), func(b *testing.B) {
			r := newRegistry(size.fronts, size.targets)
			views := [2]*snipefleet.View{r.View()}
			r.RemoveTarget(0, "t1")
			views[1] = r.View()
			c := New("f0", place(0), noLimits())
			q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}, Object: "o"}
			b.ReportAllocs()
			for i := range b.N {
				now := snipetime.Instant(i) * 1000
				if candidate, refusal := c.Choose(now, views[i%2], q); refusal == nil {
					c.RecordResult(now, candidate.Target, Result{Latency: warmTime, Completed: true})
				}
			}
		})
	}
}

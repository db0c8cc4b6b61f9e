package snipeplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// statedRest is a time in which a target of the simulation refuses all requests and
// states when that time ends.
type statedRest struct {
	from, till snipetime.Instant
	// toldTo holds when each front was first refused, by its index.
	toldTo map[int]snipetime.Instant
}

const (
	// restAllowance is the number of requests that a front may send to a resting target
	// from restDelay after it was told until the end of the rest.
	restAllowance = 2
	restDelay     = 500 * time.Millisecond
)

// stateRest makes a target refuse all requests of a time, and state its end.
func (s *sim) stateRest(id string, from, till snipetime.Instant) {
	s.rests[id] = append(s.rests[id], statedRest{from: from, till: till, toldTo: map[int]snipetime.Instant{}})
}

// refusedByRest refuses a request if its target rests, and reports whether it did.
func (s *sim) refusedByRest(r *simRequest) bool {
	for _, rest := range s.rests[r.target.ID] {
		if s.now < rest.from || s.now >= rest.till {
			continue
		}
		if _, ok := rest.toldTo[r.front]; !ok {
			rest.toldTo[r.front] = s.now
		}
		c := s.fronts[r.front]
		c.RecordRest(s.now, r.target, rest.till.Sub(s.now))
		c.RecordResult(s.now, r.target, Result{Load: &Load{Slots: slots}})
		if s.counted(r) {
			s.refused++
		}
		return true
	}
	return false
}

// arrivals returns the number of requests that were sent to a target in a time, by the
// front with the given index, or by all for -1.
func (s *sim) arrivals(id string, front int, from, till snipetime.Instant) int {
	n := 0
	for i, at := range s.startTimes[id] {
		if at >= from && at < till && (front < 0 || s.startFronts[id][i] == front) {
			n++
		}
	}
	return n
}

// checkRests reports each front that sends a resting target more than restAllowance, and
// each target that gets a burst when its rest ends.
func (s *sim) checkRests() {
	s.t.Helper()
	const (
		burstTime = 100 * time.Millisecond
		maxBurst  = slots
	)
	for id, rests := range s.rests {
		for _, rest := range rests {
			for front, told := range rest.toldTo {
				if n := s.arrivals(id, front, told.Add(restDelay), rest.till); n > restAllowance {
					s.t.Errorf("front %d sent %d requests to resting target %s, want at most %d", front, n, id, restAllowance)
				}
			}
			if n := s.arrivals(id, -1, rest.till, rest.till.Add(burstTime)); n > maxBurst {
				s.t.Errorf("target %s got %d requests in %v after its rest, want at most %d", id, n, burstTime, maxBurst)
			}
		}
	}
}

// TestRestOverAllFronts guards against requests to targets that rest, and against callers
// that are refused although other targets can serve them.
func TestRestOverAllFronts(t *testing.T) {
	s := newSim(t, 20, 12)
	for i := range 7 {
		id := fmt.Sprintf("t%d", i)
		s.stateRest(id, 6*second, 9*second)
		s.stateRest(id, 13*second, 13*second+second/2)
	}
	s.countFrom = 6 * second
	s.generateLoad(160, 104, 18*second)
	s.run(20 * second)
	s.checkRests()
	if served := s.inTime + s.late; served < s.offered*9/10 {
		t.Errorf("%d of %d requests were served, want nine tenths", served, s.offered)
	}
}

// TestReturnAfterRest guards against all fronts and all refused callers returning to
// targets at the moment at which the rest of all of them ends.
func TestReturnAfterRest(t *testing.T) {
	s := newSim(t, 20, 12)
	for id := range s.targets {
		s.stateRest(id, 6*second, 8*second)
	}
	s.retryOnce = true
	s.countFrom = 11 * second
	s.generateLoad(420, 104, 16*second)
	s.run(18 * second)
	s.checkRests()
	if s.shed > 0 {
		t.Errorf("targets shed %d requests after their rest", s.shed)
	}
	if served := s.inTime + s.late; served < s.offered*9/10 {
		t.Errorf("%d of %d requests were served from 3 s after the rest, want nine tenths", served, s.offered)
	}
}

// restingChooser returns a chooser and a view of one target of each ID.
func restingChooser(ids ...string) (*Chooser, *snipefleet.View, *Query) {
	r := snipefleet.New()
	for _, id := range ids {
		r.UpdateTarget(0, snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: slots, Born: 1})
	}
	q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent}, Object: "x"}
	return New("f", snipefleet.Place{}, noLimits()), r.View(), q
}

// TestRestStatements guards against a rest that ends too early because of a statement that
// overtook another or of an outdated one, and against one that does not end.
func TestRestStatements(t *testing.T) {
	type statement struct {
		at   snipetime.Instant
		rest time.Duration
	}
	for name, tc := range map[string]struct {
		statements []statement
		until      snipetime.Instant
	}{
		"one":                    {[]statement{{0, 3 * time.Second}}, 3 * second},
		"longer one later":       {[]statement{{0, time.Second}, {second / 2, 3 * time.Second}}, 3*second + second/2},
		"shorter one later":      {[]statement{{0, 3 * time.Second}, {second / 2, time.Second}}, 3 * second},
		"again after the end":    {[]statement{{0, time.Second}, {5 * second, time.Second}}, 6 * second},
		"in the return after it": {[]statement{{0, time.Second}, {second + second/10, time.Second}}, 2*second + second/10},
	} {
		t.Run(name, func(t *testing.T) {
			c, v, q := restingChooser("a")
			target := v.Targets("s")[0]
			for _, s := range tc.statements {
				c.state(target)
				c.RecordRest(s.at, target, s.rest)
			}
			admitted := func(at snipetime.Instant) bool {
				candidate, refusal := c.Choose(at, v, q)
				if refusal != nil {
					if refusal.Reason != ReasonResting || at.Add(refusal.RetryAfter) < tc.until {
						t.Errorf("refused at %v with %s, to retry after %v", time.Duration(at), refusal.Reason, refusal.RetryAfter)
					}
					return false
				}
				c.RecordResult(at, candidate.Target, Result{Completed: true})
				return true
			}
			if admitted(tc.until - 1) {
				t.Error("a request is sent at the end of the rest")
			}
			if !admitted(tc.until) {
				t.Error("no request is sent after the rest")
			}
		})
	}
}

// TestRestOfIncarnation guards against a rest that is forgotten while the entry of its
// target is missing in the store or because of a late response of an earlier incarnation,
// and against one that binds a later incarnation.
func TestRestOfIncarnation(t *testing.T) {
	c, v, q := restingChooser("a")
	first := v.Targets("s")[0]
	chosen, refusal := c.Choose(0, v, q)
	if refusal != nil {
		t.Fatal(refusal)
	}
	c.RecordResult(0, chosen.Target, Result{})
	c.RecordRest(0, first, 5*time.Second)
	c.Forget(second, func(string) bool { return false })
	if c.Recheck(second, v, first) != ReasonResting {
		t.Error("the rest is forgotten when the entry is missing")
	}
	reborn := *first
	reborn.Born = 2
	later := snipefleet.New()
	later.UpdateTarget(second, snipefleet.TargetReport{ID: "a", Service: "s", Address: "a", Slots: slots, Born: 2})
	v = later.View()
	if _, refusal := c.Choose(second, v, q); refusal != nil {
		t.Fatalf("the new incarnation is not used: %+v", refusal)
	}
	if c.RecordRest(second, first, 9*time.Second) || c.Recheck(second, v, &reborn) != "" {
		t.Error("a late statement of the earlier incarnation binds the new one")
	}
	c.RecordRest(second, &reborn, 5*time.Second)
	c.RecordResult(second, first, Result{Completed: true})
	if c.Recheck(2*second, v, &reborn) != ReasonResting {
		t.Error("a late result of the earlier incarnation ends the rest of the new one")
	}
	c.Forget(20*second, func(string) bool { return false })
	if c.NumResting(2*second) != 1 {
		t.Error("the state is deleted although a request is in flight")
	}
}

// TestRetryTimesOfRest guards against refused callers that are told to retry while all
// targets rest, or all at the same moment, and against a delay while a target does not
// rest.
func TestRetryTimesOfRest(t *testing.T) {
	c, v, q := restingChooser("a", "b")
	for i, target := range v.Targets("s") {
		if c.RestRemaining(0, v, q) != 0 {
			t.Errorf("delay with %d of 2 targets at rest", i)
		}
		c.state(target)
		c.RecordRest(0, target, time.Duration(3+i)*time.Second)
	}
	const callers = 20
	previous := time.Duration(0)
	for range callers {
		delay := c.RestRemaining(second, v, q)
		if delay < 2*time.Second || delay > 2*time.Second+maxFullRetryDelay || delay <= previous {
			t.Errorf("delay %v after %v, want successive ones from 2 s on", delay, previous)
		}
		previous = delay
	}
}

package snipeplacement

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// usualLatency is the latency at targets at full pace in these tests.
	usualLatency = 100 * time.Millisecond
	// addedAt is when the target "new" is added.
	addedAt = 10 * second
)

// pacedChooser returns a chooser, a view and a query of the service s with one target, which
// has just been added, and the state of that target.
func pacedChooser(fronts int) (*Chooser, *snipefleet.View, *Query, *targetState) {
	r := newRegistry(fronts, 0)
	r.UpdateTarget(0, snipefleet.TargetReport{ID: "old", Service: "s", Address: "old", Slots: slots, Born: 1})
	r.UpdateTarget(addedAt, snipefleet.TargetReport{ID: "new", Service: "s", Address: "new", Slots: slots, Born: 1})
	c, v := New("f0", snipefleet.Place{}, noLimits()), r.View()
	q := &Query{Service: "s", Route: &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true}, Excluded: []*snipefleet.Target{v.Target("s", "old")}}
	c.rankings.service(v, "s")
	s := c.state(v.Target("s", "new"))
	s.service.usual, s.serviceTime = usualLatency, usualLatency
	return c, v, q, s
}

// TestPaceOfAnswers guards against a pace that does not follow the answers, against a cold
// cache that passes for a slow target, and against a target of which no answer counts.
func TestPaceOfAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		result  Result
		rises   bool
		falls   bool
		lowest  float64
		highest float64
	}{
		"usual latency":       {Result{Completed: true, Latency: usualLatency}, true, false, slots, 1e9},
		"object not cached":   {Result{Completed: true, Latency: 33 * usualLatency / 10}, true, false, slots, 1e9},
		"slow":                {Result{Completed: true, Latency: 5 * usualLatency}, false, true, minWindow, minWindow},
		"refused":             {Result{Refused: true, Load: &Load{Slots: slots}}, false, true, minWindow, minWindow},
		"one failure":         {Result{Failed: true}, false, true, 0, 1},
		"caller gone":         {Result{}, false, false, 1, 1},
		"others wait there":   {Result{Completed: true, Latency: usualLatency, Load: &Load{slots, 3, slots, 1}}, false, false, 1, 1},
		"others run there":    {Result{Completed: true, Latency: usualLatency, Load: &Load{slots - 2, 0, slots, 1}}, true, false, slots - 1, 1e9},
		"slow with free slot": {Result{Completed: true, Latency: 5 * usualLatency, Load: &Load{1, 0, slots, 1}}, false, true, minWindow, minWindow},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, s := pacedChooser(1)
			now := addedAt
			s.inFlight = 1
			s.recordResult(now, tc.result)
			if got := s.pace.window; got > 1 != tc.rises || got < 1 != tc.falls {
				t.Errorf("window %v after one answer, rises %v, falls %v", got, tc.rises, tc.falls)
			}
			if name == "one failure" {
				return
			}
			for range 10 {
				now = now.Add(2 * usualLatency)
				s.inFlight = 1
				s.recordResult(now, tc.result)
			}
			if got := s.pace.window; got < tc.lowest || got > tc.highest {
				t.Errorf("window %v after many answers, want %v to %v", got, tc.lowest, tc.highest)
			}
		})
	}
}

// TestSlowStart guards against a new target that gets more than one request before its first
// answer, and against one that is held back although it answers well: with requests of one
// front only, it reaches full pace within four answers one after the other.
func TestSlowStart(t *testing.T) {
	c, v, q, s := pacedChooser(1)
	now := addedAt
	for round := range 4 {
		n := 0
		for range 3 * slots {
			if _, refusal := c.Choose(now, v, q); refusal == nil {
				n++
			} else if refusal.Reason != ReasonPaced && refusal.Reason != ReasonFull || refusal.RetryAfter <= 0 || refusal.RetryAfter > maxFullRetryDelay {
				t.Errorf("refusal %+v", refusal)
			}
		}
		if round == 0 && n != 1 {
			t.Errorf("%d requests before the first answer, want 1", n)
		}
		now = now.Add(usualLatency)
		for range n {
			c.RecordResult(now, v.Target("s", "new"), Result{Completed: true, Latency: usualLatency})
		}
	}
	if c.NumPaced(now) != 0 {
		t.Errorf("window %v after four rounds, want full pace", s.pace.window)
	}
}

// TestPaceOfRunningTargets guards against a front that, having started, treats targets which
// have run for long as new, against one that does not notice those that are, and against
// callers who are refused because most targets have just started.
func TestPaceOfRunningTargets(t *testing.T) {
	report := func(id string, born int64) snipefleet.TargetReport {
		return snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: slots, Born: born}
	}
	r := snipefleet.New()
	started := 100 * second
	r.UpdateTarget(started, report("a", 1))
	r.UpdateTarget(started+second, report("b", 0))
	r.UpdateTarget(started+second, report("d", 1))
	c := New("f", snipefleet.Place{}, noLimits())
	q := &Query{Service: "s", Route: &snipetable.Route{}, Object: "o"}
	paced := func(now snipetime.Instant) int {
		v := r.View()
		if _, refusal := c.Choose(now, v, q); refusal != nil {
			t.Fatalf("refused: %+v", refusal)
		}
		for _, target := range v.Targets("s") {
			c.state(target)
		}
		return c.NumPaced(now)
	}
	if n := paced(started + second); n != 0 {
		t.Errorf("%d targets below full pace after the start of the front", n)
	}
	r.UpdateTarget(started+20*second, report("c", 1))
	if n := paced(started + 20*second); n != 1 {
		t.Errorf("%d targets below full pace, want the added one", n)
	}
	r.UpdateTarget(started+21*second, report("a", 2))
	if n := paced(started + 21*second); n != 2 {
		t.Errorf("%d targets below full pace, want the added and the restarted one", n)
	}
	r.UpdateTarget(started+22*second, report("b", 1))
	r.UpdateTarget(started+22*second, report("e", 1))
	if n := paced(started + 22*second); n != 2 {
		t.Errorf("%d targets below full pace, want no further ones when most are new", n)
	}
	later := (started + 21*second).Add(fullPaceAfter + maxStartSpread)
	if n := c.NumPaced(later); n != 0 {
		t.Errorf("%d targets below full pace without requests for %v", n, fullPaceAfter)
	}
}

// TestBadTargetKeepsProbes guards against a target that answers badly for a long time and
// then gets no requests, or as many as before, under a load of 20 requests per second.
func TestBadTargetKeepsProbes(t *testing.T) {
	for name, result := range map[string]Result{
		"slow":    {Completed: true, Latency: 5 * usualLatency},
		"refuses": refusedResult,
	} {
		t.Run(name, func(t *testing.T) {
			c, v, q, s := pacedChooser(1)
			sent, last, longest := 0, addedAt, time.Duration(0)
			end := addedAt + 60*second
			for now := addedAt; now < end; now += second / 20 {
				// Others keep the target busy, so that its load never fits the window.
				s.recordLoad(now, slots, 1)
				if _, refusal := c.Choose(now, v, q); refusal != nil {
					continue
				}
				longest = max(longest, now.Sub(last))
				sent, last = sent+1, now
				c.RecordResult(now, v.Target("s", "new"), result)
			}
			if longest > maxProbeInterval || sent > 200 {
				t.Errorf("%d of 1200 requests sent, at most %v apart, want fewer than 200 and %v", sent, longest, maxProbeInterval)
			}
		})
	}
}

// TestPaceAfterExclusion guards against requests during an exclusion, against more than one
// at a time after it until one succeeds, and against full pace at the first success.
func TestPaceAfterExclusion(t *testing.T) {
	c, v, q, s := pacedChooser(1)
	target := v.Target("s", "new")
	s.pace = pace{}
	sendAll := func(now snipetime.Instant) (n int) {
		for range 3 * slots {
			if _, refusal := c.Choose(now, v, q); refusal == nil {
				n++
			}
		}
		return n
	}
	now := addedAt
	for wait := initialExclusion; wait <= maxExclusion; wait *= 2 {
		s.inFlight = 1
		c.RecordResult(now, target, Result{Failed: true})
		if s.failures < suspectFailures {
			s.inFlight = 1
			c.RecordResult(now, target, Result{Failed: true})
		}
		if n := sendAll(now.Add(wait - 1)); n != 0 {
			t.Errorf("%d requests while the target is excluded for %v", n, wait)
		}
		now = now.Add(wait)
		s.recordOthersLoad(now, snipefeed.Load{Requests: 2})
		s.othersLoad = 0
		if n := sendAll(now); n != 1 {
			t.Errorf("%d requests after an exclusion of %v, want 1", n, wait)
		}
	}
	c.RecordResult(now, target, Result{Completed: true, Latency: usualLatency})
	if n := sendAll(now); n == 0 || n >= slots {
		t.Errorf("%d requests after the first success, want some below %d", n, slots)
	}
}

// TestPaceFollowsOthers guards against a front that learns nothing from loads that others
// pass on, and against one that takes the load of a target which refuses all for a good one.
func TestPaceFollowsOthers(t *testing.T) {
	for name, tc := range map[string]struct {
		requests int
		interval time.Duration
		want     float64
	}{
		"busy":             {slots, 300 * time.Millisecond, 5},
		"one request":      {1, 300 * time.Millisecond, 2},
		"no request":       {0, 300 * time.Millisecond, 1},
		"requests wait":    {slots + 1, 300 * time.Millisecond, 1},
		"the same reports": {slots, time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c, _, _, s := pacedChooser(1)
			now := addedAt
			for range 4 {
				now = now.Add(tc.interval)
				c.MergeLoads(now, []snipefeed.Load{{Target: "new", Requests: tc.requests}})
			}
			if s.pace.window != tc.want {
				t.Errorf("window %v, want %v", s.pace.window, tc.want)
			}
		})
	}
}

// TestColdRateOverAllFronts guards against fronts that together send more to a cold target
// than 1.5 times its rate in a second, and against a rate that is not used, while each front
// has more requests than it may send.
func TestColdRateOverAllFronts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fronts := rapid.IntRange(1, 40).Draw(t, "fronts")
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		// The least time between two requests of a front is 50 ms, ten steps.
		const cold, step = 5 * second / 2, second / 200
		r := newRegistry(fronts, 0)
		r.UpdateTarget(0, snipefleet.TargetReport{ID: "t", Service: "s", Address: "t", Slots: 100, Born: 1, Cold: time.Duration(cold), Place: place(0)})
		v := r.View()
		info := &snipetable.Service{ColdRate: rate}
		var sent []snipetime.Instant
		choosers := make([]*Chooser, fronts)
		for i := range choosers {
			self := v.Members()[i]
			choosers[i] = New(self.Name, self.Place, snipequota.New(self, r, zap.NewNop()))
		}
		q := &Query{Service: "s", Info: info, Route: &snipetable.Route{}, Object: "o"}
		for now := snipetime.Instant(0); now < cold; now += step {
			for _, c := range choosers {
				if candidate, refusal := c.Choose(now, v, q); refusal == nil {
					sent = append(sent, now)
					c.RecordResult(now, candidate.Target, Result{Completed: true, Latency: usualLatency})
				}
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) >= time.Second {
					break
				}
				n++
			}
			if float64(n) > 1.5*rate+1 {
				t.Fatalf("%d requests in a second at a cold rate of %.1f", n, rate)
			}
		}
		if least := 0.7*rate*time.Duration(cold).Seconds() - 1; float64(len(sent)) < least {
			t.Fatalf("%d requests in %v at a cold rate of %.1f", len(sent), time.Duration(cold), rate)
		}
	})
}

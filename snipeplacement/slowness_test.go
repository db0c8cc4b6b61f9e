package snipeplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// slowPeriod is how long a target is slow at a time, slowShare the share of the targets
	// that are slow at any time, and slowFactor their slowness.
	slowPeriod = 600 * time.Millisecond
	slowShare  = 0.15
	slowFactor = 2.5
)

// slowDown makes a share of the targets slow for a period at a time, until a time.
func (s *sim) slowDown(until snipetime.Instant) {
	for i := range len(s.targets) {
		st := s.targets[fmt.Sprintf("t%d", i)]
		st.slowness = 1
		var change func()
		change = func() {
			st.slowness = 1
			if s.rng.Float64() < slowShare {
				st.slowness = slowFactor
			}
			if at := s.now.Add(slowPeriod); at < until {
				s.schedule(at, change)
			}
		}
		s.schedule(snipetime.Instant(s.rng.Int64N(int64(slowPeriod))), change)
	}
}

// TestSlowTargets guards against requests that wait for a slow target although another is
// usual, at three shares of what the targets can serve. Targets that do not state their
// slowness show what the rule gains.
func TestSlowTargets(t *testing.T) {
	for _, load := range []float64{0.4, 0.7, 0.9} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			without, latencyWithout := simulateSlowTargets(t, load, false)
			with, latencyWith := simulateSlowTargets(t, load, true)
			t.Logf("in time %.3f, with the rule %.3f; mean latency %v, with the rule %v", without, with, latencyWithout, latencyWith)
			if with < without+0.01 || latencyWith >= latencyWithout {
				t.Error("the rule gains nothing")
			}
		})
	}
}

// simulateSlowTargets returns the share of the requests of a route that is not sticky which
// are in time, and their mean latency.
func simulateSlowTargets(t *testing.T, load float64, stated bool) (inTime float64, latency time.Duration) {
	const targets, fronts, keys, until = 60, 12, 22, 14 * second
	s := newSim(t, targets, fronts)
	s.route.Sticky, s.retryOnce, s.hidesSlowness = false, true, !stated
	const meanTime = 0.110 * (1 + (slowFactor-1)*slowShare)
	s.countFrom = 4 * second
	s.generateLoad(load*targets*slots/meanTime, keys, until)
	s.exchangeLoads(300*time.Millisecond, until)
	s.slowDown(until)
	s.run(until + 3*second)
	return float64(s.inTime) / float64(s.offered), s.latencySum / time.Duration(s.inTime+s.late)
}

// TestSlowTargetOfObject guards against an object that leaves a slow target, which has it
// cached, against other requests that stay there, and against old news that counts.
func TestSlowTargetOfObject(t *testing.T) {
	for name, tc := range map[string]struct {
		sticky bool
		first  float64
		second float64
		age    time.Duration
		moves  bool
	}{
		"sticky":               {true, 2.5, 1, 0, false},
		"not sticky":           {false, 2.5, 1, 0, true},
		"both slow":            {false, 2.5, 2.6, 0, false},
		"usual":                {false, 1, 0.9, 0, false},
		"not stated":           {false, 0, 0, 0, false},
		"stated some time ago": {false, 2.5, 1, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, v, q := restingChooser("a", "b")
			q.Route = &snipetable.Route{Kind: snipetable.Idempotent, Sticky: tc.sticky}
			ranked := c.rankings.best(v, rankingKey{"s", q.Object, false})
			for i, slowness := range []float64{tc.first, tc.second} {
				c.state(ranked[i]).recordLoad(second, 0, slowness)
			}
			candidate, refusal := c.Choose(second.Add(tc.age), v, q)
			if refusal != nil || (candidate.Target == ranked[1]) != tc.moves {
				t.Errorf("chosen %v, refusal %v, want the second target: %v", candidate.Target, refusal, tc.moves)
			}
		})
	}
}

// TestSlownessStatement guards against a slowness that is lost on the way to other fronts,
// and against more than one report of statements that cannot be read.
func TestSlownessStatement(t *testing.T) {
	c, v, q := restingChooser("a")
	candidate, _ := c.Choose(second, v, q)
	c.RecordResult(second, candidate.Target, Result{Completed: true, Load: &Load{Slots: slots, Slowness: 2.5}})
	loads := c.RecentLoads(second, time.Second)
	if len(loads) != 1 || loads[0].Slowness != 2.5 {
		t.Errorf("loads %+v, want one with slowness 2.5", loads)
	}
	if !c.RecordUnreadableSlowness(candidate.Target) || c.RecordUnreadableSlowness(candidate.Target) {
		t.Error("a statement that cannot be read is not reported just once")
	}
}

// TestRetryTimeOfSlowTarget guards against callers who are told to return to a slow target
// before it has a free slot.
func TestRetryTimeOfSlowTarget(t *testing.T) {
	retryAfter := func(slowness float64) time.Duration {
		c, v, q := restingChooser("a")
		c.state(v.Targets("s")[0]).recordLoad(second, 2*slots, slowness)
		_, refusal := c.Choose(second, v, q)
		if refusal == nil {
			t.Fatal("a full target is chosen")
		}
		return refusal.RetryAfter
	}
	if usual, slow := retryAfter(1), retryAfter(slowFactor); slow < 2*usual {
		t.Errorf("retry after %v at a slow target, %v at a usual one", slow, usual)
	}
}

// TestColdTargetInsteadOfSlow guards against a request that leaves a slow target for a cold
// one, which is slower still.
func TestColdTargetInsteadOfSlow(t *testing.T) {
	c, v, q := restingChooser("a", "b")
	q.Info = &snipetable.Service{ColdRate: 10, ColdDuration: time.Second}
	ranked := c.rankings.best(v, rankingKey{"s", q.Object, false})
	c.state(ranked[0]).recordLoad(second, 0, slowFactor)
	ranked[1].ColdUntil = 2 * second
	c.name = coldSender(v.Members(), ranked[1])
	if candidate, refusal := c.Choose(second, v, q); refusal != nil || candidate.Target != ranked[0] {
		t.Errorf("chosen %v, refusal %v, want the slow target", candidate.Target, refusal)
	}
}

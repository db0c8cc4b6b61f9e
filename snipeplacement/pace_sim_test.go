package snipeplacement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// simFault is a time in which a target does not serve, and the result of requests then.
type simFault struct {
	from, till snipetime.Instant
	result     Result
}

// failedByFault ends a request at once if its target has a fault, and reports whether it has.
func (s *sim) failedByFault(r *simRequest) bool {
	f := s.faults[r.target.ID]
	if f == nil || s.now < f.from || s.now >= f.till {
		return false
	}
	s.fronts[r.front].RecordResult(s.now, r.target, f.result)
	if s.counted(r) {
		s.refused++
	}
	return true
}

const (
	// eventAt is when something happens to some targets, which are back at backAt.
	eventAt = 8 * second
	backAt  = 11 * second
	// numAffected is the number of targets to which it happens.
	numAffected = 4
	// paceEnd is the end of the load.
	paceEnd = 24 * second
)

// affected returns the IDs of the targets to which something happens. All are in one failure
// domain, so that an evacuation is of the same ones.
func (s *sim) affected() []string {
	var ids []string
	for i := 0; i < len(s.targets) && len(ids) < numAffected; i += 6 {
		ids = append(ids, fmt.Sprintf("t%d", i))
	}
	return ids
}

// start makes targets start anew with empty caches, at a slowness for a time after which it
// has fallen to the usual.
func (s *sim) start(ids []string, cold time.Duration, slowness float64, warmUp time.Duration) {
	for _, id := range ids {
		var i int
		if _, err := fmt.Sscanf(id, "t%d", &i); err != nil {
			s.t.Fatal(err)
		}
		st := s.targets[id]
		fresh := newSimTarget()
		st.lru, st.cache = fresh.lru, fresh.cache
		s.registry.UpdateTarget(s.now, snipefleet.TargetReport{
			ID: id, Service: "s", Address: id, Slots: slots, Born: 2, Place: place(i), Cold: cold,
		})
		const steps = 20
		for step := range steps + 1 {
			s.schedule(s.now.Add(warmUp*time.Duration(step)/steps), func() {
				st.slowness = slowness + (1-slowness)*float64(step)/steps
			})
		}
	}
}

// fault makes the affected targets fail all requests from eventAt to backAt.
func (s *sim) fault(result Result) {
	for _, id := range s.affected() {
		s.faults[id] = &simFault{eventAt, backAt, result}
	}
}

// removeAndStart removes the affected targets at eventAt and starts them at backAt.
func (s *sim) removeAndStart(cold time.Duration, slowness float64, warmUp time.Duration) {
	s.schedule(eventAt, func() {
		for _, id := range s.affected() {
			s.registry.RemoveTarget(s.now, id)
		}
	})
	s.schedule(backAt, func() { s.start(s.affected(), cold, slowness, warmUp) })
}

// paceCases are what can happen to targets, which are usable from backAt on.
var paceCases = []struct {
	name    string
	prepare func(s *sim)
	// inTime is the least share of the requests in time, and shareWithin the most seconds
	// after which the targets carry their share; 0 if they should not.
	inTime, shareWithin float64
	// duringFault and firstSecond are the most requests that the targets get from a second
	// after eventAt until backAt, and in the second after backAt; 0 means any number.
	duringFault, firstSecond int
}{
	{"calm", func(*sim) {}, 0.99, 0.5, 0, 0},
	{"added", func(s *sim) { s.removeAndStart(0, 1, 0) }, 0.97, 2.5, 0, 90},
	{"gets faster", func(s *sim) { s.removeAndStart(0, 6, 5*time.Second) }, 0.965, 6.5, 0, 60},
	{"stays slow", func(s *sim) { s.removeAndStart(0, 6, time.Hour) }, 0.94, 0, 0, 60},
	{"falls back", func(s *sim) {
		s.removeAndStart(0, 1, 0)
		s.schedule(backAt+second/2, func() {
			for _, id := range s.affected() {
				s.targets[id].slowness = 6
			}
		})
		s.schedule(backAt+4*second, func() {
			for _, id := range s.affected() {
				s.targets[id].slowness = 1
			}
		})
	}, 0.955, 6.5, 0, 90},
	{"all start", func(s *sim) {
		s.schedule(backAt, func() { s.start(slices.Sorted(maps.Keys(s.targets)), 0, 1, 0) })
	}, 0.9, 0.5, 0, 0},
	{"rolling restart", func(s *sim) {
		for i, id := range slices.Sorted(maps.Keys(s.targets)) {
			s.schedule(backAt+snipetime.Instant(i)*second/3, func() { s.start([]string{id}, 0, 1, 0) })
		}
	}, 0.92, 1, 0, 0},
	{"cold", func(s *sim) { s.removeAndStart(3*time.Second, 1, 0) }, 0.97, 4, 0, 4 * (13*1.5 + 5)},
	{"refuses at first", func(s *sim) {
		s.schedule(eventAt, func() { s.start(s.affected(), 0, 1, 0) })
		s.fault(refusedResult)
	}, 0.965, 3, 120, 0},
	{"rests", func(s *sim) {
		for _, id := range s.affected() {
			s.stateRest(id, eventAt, backAt)
		}
	}, 0.975, 1.5, 0, 0},
	{"unreachable", func(s *sim) { s.fault(Result{Unreachable: true}) }, 0.97, 4, 0, 0},
	{"evacuated", func(s *sim) {
		s.schedule(eventAt, func() { s.registry.SetEvacuated(s.now, place(0).Domain, true) })
		s.schedule(backAt, func() { s.registry.SetEvacuated(s.now, place(0).Domain, false) })
	}, 0.975, 4, 0, 4 * (13*1.5 + 5)},
}

// refusedResult is the result of a request that a target with free slots refused.
var refusedResult = Result{Load: &Load{Slots: slots}, Refused: true}

// simulatePace returns the simulation of one case, with a share of the capacity offered.
func simulatePace(t *testing.T, targets, fronts int, load float64, prepare func(s *sim)) *sim {
	t.Helper()
	s := newSim(t, targets, fronts)
	s.hidesSlowness, s.retryOnce = true, true
	s.countFrom = eventAt
	prepare(s)
	s.generateLoad(load*float64(targets)*slots/warmTime.Seconds(), 5*targets, paceEnd)
	s.exchangeLoads(300*time.Millisecond, paceEnd)
	s.run(paceEnd + 2*second)
	return s
}

// affectedArrivals returns the number of requests that were sent to the affected targets in a
// time.
func (s *sim) affectedArrivals(from, till snipetime.Instant) (n int) {
	for _, id := range s.affected() {
		n += s.arrivals(id, -1, from, till)
	}
	return n
}

// carriesShareAfter returns the seconds after backAt from which the affected targets get
// four fifths of the requests that they got before eventAt, in windows of a second.
func (s *sim) carriesShareAfter() float64 {
	usual := float64(s.affectedArrivals(eventAt-4*second, eventAt)) / 4
	for at := backAt; at+second <= paceEnd; at += second / 4 {
		if float64(s.affectedArrivals(at, at+second)) >= 0.8*usual {
			return time.Duration(at - backAt).Seconds()
		}
	}
	return -1
}

// TestPace guards, at 0.6 of the capacity, against callers who get less than while targets
// were paced by separate rules (where that was less), against targets that are left idle when
// they can serve, and against a flood when they cannot. 60 fronts have few requests each.
func TestPace(t *testing.T) {
	const load = 0.6
	for _, fleet := range []struct{ targets, fronts int }{{20, 12}, {30, 60}} {
		for _, tc := range paceCases {
			t.Run(fmt.Sprintf("%d fronts/%s", fleet.fronts, tc.name), func(t *testing.T) {
				s := simulatePace(t, fleet.targets, fleet.fronts, load, tc.prepare)
				inTime, share := float64(s.inTime)/float64(s.offered), s.carriesShareAfter()
				fault, first := s.affectedArrivals(eventAt+second, backAt), s.affectedArrivals(backAt, backAt+second)
				t.Logf("in time %.4f late %.4f refused %.4f, share after %.2f s, %d requests during the fault, %d in the second after it",
					inTime, float64(s.late)/float64(s.offered), float64(s.refused)/float64(s.offered), share, fault, first)
				if inTime < tc.inTime {
					t.Errorf("%.4f in time, want %.4f", inTime, tc.inTime)
				}
				if tc.shareWithin > 0 && (share < 0 || share > tc.shareWithin) {
					t.Errorf("the share is carried after %.2f s, want %.2f", share, tc.shareWithin)
				}
				if tc.duringFault > 0 && fault > tc.duringFault || tc.firstSecond > 0 && first > tc.firstSecond {
					t.Errorf("%d requests during the fault, %d in the second after it, want at most %d and %d", fault, first, tc.duringFault, tc.firstSecond)
				}
				if n := s.affectedArrivals(backAt+4*second, backAt+8*second); n < numAffected {
					t.Errorf("%d requests in 4 s, too few to see the targets recover", n)
				}
			})
		}
	}
}

// TestManyFrontsAtNewTarget guards against 60 fronts that together fill the queue of a new
// target, while 0.9 of the capacity is offered: they found it full (24 requests) before its pace
// was limited.
func TestManyFrontsAtNewTarget(t *testing.T) {
	const targets, fronts, load = 6, 60, 0.9
	most := 0
	simulatePace(t, targets, fronts, load, func(s *sim) {
		s.removeAndStart(0, 1, 0)
		for at := backAt; at < backAt+2*second; at += second / 200 {
			s.schedule(at, func() {
				st := s.targets["t0"]
				most = max(most, st.running+st.waiting)
			})
		}
	})
	t.Logf("at most %d requests at the new target", most)
	if most > 3*slots {
		t.Errorf("%d requests at the new target, want at most %d", most, 3*slots)
	}
}

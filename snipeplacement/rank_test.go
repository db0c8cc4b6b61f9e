package snipeplacement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// reads returns the kind of requests for cached objects, with a share of all requests.
func reads(share float64, tenant *snipetable.Tenant, priority int) *simKind {
	route := &snipetable.Route{Kind: snipetable.Idempotent, Sticky: true, Priority: priority}
	return &simKind{route: route, tenant: tenant, work: 1, objective: latencyObjective, share: share}
}

// uploads returns the kind of requests that take longer than reads, by 760 to 640 ms, and
// have 2.4 times their objective.
func uploads(share float64, tenant *snipetable.Tenant, priority int) *simKind {
	route := &snipetable.Route{Kind: snipetable.Upload, Sticky: true, Priority: priority}
	return &simKind{route: route, tenant: tenant, work: 760.0 / 640, objective: latencyObjective * 12 / 5, share: share}
}

// rankMixes are kinds of requests at one service, the most urgent first.
var rankMixes = map[string]func() []*simKind{
	"few uploads":  func() []*simKind { return []*simKind{reads(0.7, nil, 0), uploads(0.3, nil, 1)} },
	"most uploads": func() []*simKind { return []*simKind{reads(0.3, nil, 0), uploads(0.7, nil, 1)} },
	"three ranks":  func() []*simKind { return []*simKind{reads(0.4, nil, 0), reads(0.3, nil, 1), uploads(0.3, nil, 2)} },
	"urgent uploads": func() []*simKind {
		return []*simKind{uploads(0.3, nil, 0), reads(0.7, nil, 1)}
	},
	"tenants": func() []*simKind {
		high, low := &snipetable.Tenant{Name: "high"}, &snipetable.Tenant{Name: "low", Priority: 1}
		return []*simKind{reads(0.3, high, 0), uploads(0.1, high, 1), reads(0.5, low, 0), uploads(0.1, low, 1)}
	},
}

// simulateRanks simulates kinds of requests at a load, a factor of what targets can serve
// if reads take meanTime. Some objects are not cached.
func simulateRanks(t *testing.T, load float64, kinds []*simKind) *sim {
	t.Helper()
	const targets, fronts, objects, until = 60, 24, 500, 14 * second
	const meanTime = 140 * time.Millisecond
	s := newSim(t, targets, fronts)
	s.retryOnce, s.kinds, s.countFrom = true, kinds, 5*second
	work := 0.0
	for _, k := range kinds {
		work += k.share * k.work
	}
	s.generateLoad(load*targets*slots/(meanTime.Seconds()*work), objects, until)
	s.exchangeLoads(300*time.Millisecond, until)
	s.run(until + 3*second)
	return s
}

// answered returns the share of the requests of a kind that were served, and the share of
// these that were in time, counted from the last time the caller sent the request.
func (k *simKind) answered() (served, inTime float64) {
	n := float64(k.inTime + k.late)
	return n / float64(k.offered), float64(k.ownInTime) / n
}

// equalRanks gives all kinds the same rank.
func equalRanks(kinds []*simKind) []*simKind {
	for _, k := range kinds {
		k.route.Priority, k.tenant = 0, nil
	}
	return kinds
}

// TestRanksInOverload guards against requests that are served less often than less urgent
// ones, or late more often although there is room for them, and against less urgent ones
// that are starved, at loads of 1.3 and 1.8 times what the targets can serve.
func TestRanksInOverload(t *testing.T) {
	for name, kinds := range rankMixes {
		for _, load := range []float64{1.3, 1.8} {
			t.Run(fmt.Sprintf("%s at %v", name, load), func(t *testing.T) {
				s, without := simulateRanks(t, load, kinds()), simulateRanks(t, load, equalRanks(kinds()))
				all := float64(s.inTime+s.late) / float64(s.offered)
				t.Logf("all: served %.3f, %.3f without ranks", all, float64(without.inTime+without.late)/float64(without.offered))
				demand := 0.0
				for i, k := range s.kinds {
					demand += k.share * load
					served, inTime := k.answered()
					servedWithout, inTimeWithout := without.kinds[i].answered()
					t.Logf("%s: served %.3f (%.3f without ranks), in time %.3f (%.3f), refused again %.2f", k.route.Kind,
						served, servedWithout, inTime, inTimeWithout, float64(k.failed)/float64(max(k.returned, 1)))
					if served < all/4 {
						t.Error("starved")
					}
					for _, less := range s.kinds[i+1:] {
						if n, m := less.answered(); served < n-0.05 || demand <= 1 && inTime < m-0.15 {
							t.Errorf("less urgent: served %.3f, in time %.3f", n, m)
						}
					}
				}
				if a, b := s.kinds[0], without.kinds[0]; a.inTime <= b.inTime {
					t.Errorf("%d of the most urgent in time, %d without ranks", a.inTime, b.inTime)
				}
			})
		}
	}
}

// TestRanksAtLowLoad guards against less urgent requests that are served worse although
// there is room for all.
func TestRanksAtLowLoad(t *testing.T) {
	for name, kinds := range rankMixes {
		with, without := simulateRanks(t, 0.4, kinds()), simulateRanks(t, 0.4, equalRanks(kinds()))
		for i, k := range with.kinds {
			served, inTime := k.answered()
			servedWithout, inTimeWithout := without.kinds[i].answered()
			if served < 0.999*servedWithout || inTime < inTimeWithout-0.01 {
				t.Errorf("%s, %s: served %.3f (%.3f without ranks), in time %.3f (%.3f)", name, k.route.Kind, served, servedWithout, inTime, inTimeWithout)
			}
		}
	}
}

// TestLimitFactor guards against lower limits for the most urgent rank, for a single one,
// without a shortage or after it, for one that is served too little, and below the lowest.
func TestLimitFactor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d demand
		numRanks := rapid.IntRange(1, 4).Draw(t, "ranks")
		now := snipetime.Instant(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
			index := d.offer(now, rank{rapid.IntRange(0, numRanks-1).Draw(t, "tenant"), 0})
			factor := d.limitFactor(index)
			if factor < lowestLimit || factor > 1 {
				t.Fatalf("factor %v", factor)
			}
			if (index == 0 || numRanks == 1 || d.short.sum() == 0) && factor != 1 {
				t.Fatalf("factor %v at index %d of %d ranks with shortage %v", factor, index, numRanks, d.short)
			}
			if rapid.Bool().Draw(t, "admitted") {
				d.admit(index)
			} else {
				d.refuse(rapid.Bool().Draw(t, "lowered"))
			}
		}
		index := d.offer(now.Add(2*demandWindow), rank{numRanks, 0})
		if len(d.ranks) != 1 || d.limitFactor(index) != 1 {
			t.Fatalf("%d ranks, factor %v after the others have ended", len(d.ranks), d.limitFactor(index))
		}
	})
}

// TestStarvedRank guards against lower limits for a rank that is served too little.
func TestStarvedRank(t *testing.T) {
	var d demand
	for range 20 {
		d.admit(d.offer(0, rank{0, 0}))
		d.offer(0, rank{1, 0})
		d.refuse(false)
	}
	if factor := d.limitFactor(1); factor != 1 {
		t.Errorf("factor %v for a rank of which nothing is served", factor)
	}
	for range 20 {
		d.admit(1)
	}
	if factor := d.limitFactor(1); factor == 1 {
		t.Error("the limits are not lower for a rank that is served as often as others")
	}
}

// TestRetriesOverFronts guards against refused callers who are refused again because the
// callers of other fronts were told the same time.
func TestRetriesOverFronts(t *testing.T) {
	for _, load := range []float64{0.8, 1.3} {
		s := simulateRanks(t, load, rankMixes["three ranks"]())
		returned, again := 0, 0
		for _, k := range s.kinds {
			returned += k.returned
			again += k.failed
		}
		t.Logf("load %v: served %.3f, %d of %d who returned were refused again", load, float64(s.inTime+s.late)/float64(s.offered), again, returned)
		if 2*again > returned {
			t.Errorf("load %v: most who returned were refused again", load)
		}
	}
}

// TestFewRequestsOfARank guards against single requests by which operators test a route and
// that have a priority of their own: they must not make a service one of several ranks.
func TestFewRequestsOfARank(t *testing.T) {
	for _, tc := range []struct {
		usual, other int
		want         bool
	}{{100, 0, false}, {100, 4, false}, {90, 10, true}, {0, 3, false}} {
		var d demand
		for range tc.usual {
			d.offer(second, rank{0, 2})
		}
		for range tc.other {
			d.offer(second, rank{0, 0})
		}
		if got := d.ranked(); got != tc.want {
			t.Errorf("%d requests of one rank and %d of another: ranked is %v, want %v", tc.usual, tc.other, got, tc.want)
		}
	}
}

// TestRetryTimesOfRanks guards against callers of a service with a single rank who are told
// other times than before, and against ranked ones who are told the same times as others.
func TestRetryTimesOfRanks(t *testing.T) {
	retryAfter := func(ranked bool) time.Duration {
		c, v, q := restingChooser("a")
		c.state(v.Targets("s")[0]).recordLoad(second, 2*slots, 0)
		if ranked {
			other := *q
			other.Route = &snipetable.Route{Kind: snipetable.Idempotent, Priority: 1}
			c.Choose(second, v, &other)
		}
		_, refusal := c.Choose(second, v, q)
		return refusal.RetryAfter
	}
	if got, want := retryAfter(false), defaultServiceTime/slots; got != want {
		t.Errorf("single rank: %v, want %v", got, want)
	}
	if got, want := retryAfter(true), 2*defaultServiceTime; got != want {
		t.Errorf("two ranks, no own requests: %v, want %v", got, want)
	}
}

package snipeplacement

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetime"
)

// statedLimit is a rate limit that a target of the simulation states in its responses.
type statedLimit struct {
	perSecond  float64
	from, till snipetime.Instant
	// statedTo holds when each front first got a response with the limit, by its index.
	statedTo map[int]snipetime.Instant
}

const (
	// limitWindow, limitFactor and limitAllowance define the bound on a limited target:
	// in any limitWindow from limitSettled after it first stated its limit, it gets at
	// most limitFactor times what the limit allows and limitAllowance requests, from the
	// fronts that got a statement at least statementDelay before.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	limitSettled   = 3 * time.Second
	statementDelay = 500 * time.Millisecond
)

// checkLimit reports each limited target that gets more than the bound allows.
func (s *sim) checkLimit() {
	s.t.Helper()
	for id, l := range s.limits {
		most := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitAllowance
		arrivals := s.toldArrivals(id, l)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n].Sub(first) < limitWindow {
				n++
			}
			if n > most {
				s.t.Errorf("target %s with a limit of %.1f/s got %d requests in 4 s from %v, want at most %d",
					id, l.perSecond, n, time.Duration(first), most)
				break
			}
		}
	}
}

// toldArrivals returns the arrivals at a limited target that the bound counts, in order.
func (s *sim) toldArrivals(id string, l *statedLimit) []snipetime.Instant {
	var out []snipetime.Instant
	for i, at := range s.startTimes[id] {
		told, ok := l.statedTo[s.startFronts[id][i]]
		if at >= l.from.Add(limitSettled) && at < l.till && ok && at.Sub(told) >= statementDelay {
			out = append(out, at)
		}
	}
	return out
}

// TestStatedLimitOverAllFronts guards against a target that gets more requests from
// all fronts together than the rate limit that it states.
func TestStatedLimitOverAllFronts(t *testing.T) {
	s := newSim(t, 20, 12)
	for i := range 14 {
		s.stateLimit(fmt.Sprintf("t%d", i), 5+float64(i), 6*second, 25*second)
	}
	s.exchangeLimits()
	s.generateLoad(420, 104, 28*second)
	s.run(30 * second)
	s.checkLimit()
}

// exchangeInterval is the time between two exchanges of limits of a front.
const exchangeInterval = 300 * time.Millisecond

// exchangeLimits lets each front exchange limits with a watcher of its group, and each
// watcher send notices, again and again.
func (s *sim) exchangeLimits() {
	for i := range s.fronts {
		s.schedule(s.now.Add(time.Duration(i)*time.Millisecond), func() { s.exchange(i) })
	}
}

// exchange exchanges the limits of the front i once, and schedules the next time.
func (s *sim) exchange(i int) {
	const age = 2 * exchangeInterval
	quotas := s.quotas[i]
	notice := quotas.Tick(s.now, age)
	for _, peer := range notice.Peers {
		if j := s.frontAt(peer); s.connected(i, j) {
			s.quotas[j].MergeLimitReports(s.now, frontName(i), notice.Reports)
		}
	}
	groups := snipefeed.NewGroups(s.member(i), s.registry.View().Members())
	watcher := groups.Watchers(groups.At(place(i)))[0].Name
	if j := s.frontAt(watcher); j != i && s.connected(i, j) {
		s.quotas[j].MergeLimitReports(s.now, frontName(i), quotas.LimitReports(s.now, age))
		quotas.ApplyLimitReports(s.now, s.now, watcher, s.quotas[j].AnswerLimitReports(s.now, frontName(i), age))
	}
	s.schedule(s.now.Add(exchangeInterval), func() { s.exchange(i) })
}

// frontName returns the name of the front i, which is its peer address too.
func frontName(i int) string { return fmt.Sprintf("f%d", i) }

// member returns the entry of the front i.
func (s *sim) member(i int) snipefleet.Member {
	return snipefleet.Member{Name: frontName(i), Peer: frontName(i), Place: place(i)}
}

// frontAt returns the index of the front with a name.
func (s *sim) frontAt(name string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "f"))
	if err != nil {
		s.t.Fatal(err)
	}
	return i
}

// connected reports whether two fronts can hear each other.
func (s *sim) connected(i, j int) bool { return s.cut == nil || !s.cut(i, j) }

// stateLimit makes a target state a limit in its responses of a time.
func (s *sim) stateLimit(id string, perSecond float64, from, till snipetime.Instant) {
	s.limits[id] = &statedLimit{perSecond: perSecond, from: from, till: till, statedTo: map[int]snipetime.Instant{}}
}

// recordStatement hands the statement in a response of a target to the front i.
func (s *sim) recordStatement(i int, target *snipefleet.Target) {
	statement := snipequota.Statement{At: s.now}
	if l := s.limits[target.ID]; l != nil && s.now >= l.from && s.now < l.till {
		statement.Limited, statement.PerSecond = true, l.perSecond
		if _, ok := l.statedTo[i]; !ok {
			l.statedTo[i] = s.now
		}
	}
	s.quotas[i].Record(target, statement)
}

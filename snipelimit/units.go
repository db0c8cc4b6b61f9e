package snipelimit

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// loan is a number of units until an instant.
type loan struct {
	peer     string
	units    int
	end      snipetime.Instant
	attempt  int
	duration time.Duration
	// returned marks a loan that the borrower has ended.
	returned bool
}

func (l loan) active(now snipetime.Instant) bool { return !l.returned && now.Before(l.end) }

// oldFraction is a lower fraction that still applies until an instant.
type oldFraction struct {
	fraction float64
	until    snipetime.Instant
}

// unitAccount counts the units of one limit at one instance.
type unitAccount struct {
	positions int
	inherit   time.Duration
	holdings  []Holding
	old       []oldFraction
	lent      map[string]loan
	borrowed  map[string]loan
}

// unitState is the content of an account from one instant until next.
type unitState struct {
	own, lent, borrowed int
	usable              int
	leased              bool
	// leaseEnd is the earliest end of a valid lease.
	leaseEnd snipetime.Instant
	next     snipetime.Instant
}

// at returns the state that applies from now.
func (a *unitAccount) at(now snipetime.Instant, l Limit) unitState {
	s := unitState{next: never, leaseEnd: never}
	until := func(t snipetime.Instant) bool {
		if !now.Before(t) {
			return false
		}
		s.next = min(s.next, t)
		return true
	}
	fraction := l.Fraction
	for _, o := range a.old {
		if until(o.until) {
			fraction = min(fraction, o.fraction)
		}
	}
	each := int(fraction*UnitsPerLimit+slack) / a.positions
	for _, h := range a.holdings {
		if !until(h.LeaseEnd) {
			continue
		}
		s.leased = true
		s.leaseEnd = min(s.leaseEnd, h.LeaseEnd)
		if h.Inherited && until(h.Since.Add(a.inherit)) {
			continue
		}
		s.own += each
	}
	for _, v := range a.lent {
		if !v.returned && until(v.end) {
			s.lent += v.units
		}
	}
	for _, v := range a.borrowed {
		if until(v.end) {
			s.borrowed += v.units
			s.leased = true
		}
	}
	s.usable = max(0, s.own-s.lent) + s.borrowed
	return s
}

// expire forgets loans and fractions that have ended.
func (a *unitAccount) expire(now snipetime.Instant) {
	for id, v := range a.lent {
		if !now.Before(v.end) {
			delete(a.lent, id)
		}
	}
	for id, v := range a.borrowed {
		if !now.Before(v.end) {
			delete(a.borrowed, id)
		}
	}
	kept := a.old[:0]
	for _, o := range a.old {
		if now.Before(o.until) {
			kept = append(kept, o)
		}
	}
	a.old = kept
}

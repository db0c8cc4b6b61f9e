package snipelimit

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// loan is a number of units that is lent or borrowed until an instant.
type loan struct {
	peer     string
	units    int
	end      snipetime.Instant
	attempt  int
	duration time.Duration
	// returned is set if the borrower has ended the loan early.
	returned bool
}

func (l loan) active(now snipetime.Instant) bool { return !l.returned && now.Before(l.end) }

// fractionCap is a lower fraction that still applies until an instant.
type fractionCap struct {
	fraction float64
	until    snipetime.Instant
}

// unitAccount counts the units of one limit at one instance.
type unitAccount struct {
	positions int
	// inheritedDelay is the time after the acquisition of an inherited position
	// for which an earlier incarnation can still have lent its units.
	inheritedDelay time.Duration
	holdings       []Holding
	fractionCaps   []fractionCap
	// lent is keyed by the peer and the loan, borrowed by the loan.
	lent     map[string]loan
	borrowed map[string]loan
}

// unitState is the state of an account from one instant until nextChange.
type unitState struct {
	own, lent, borrowed int
	usable              int
	// leaseOrLoan is set if the instance has a valid lease or a borrowed loan.
	leaseOrLoan bool
	// leaseEnd is the earliest end of a valid lease.
	leaseEnd   snipetime.Instant
	nextChange snipetime.Instant
}

// stateAt returns the state that applies from now.
func (a *unitAccount) stateAt(now snipetime.Instant, l Limit) unitState {
	s := unitState{nextChange: never, leaseEnd: never}
	// pending reports whether t is in the future, and if so records it as a
	// change of the state.
	pending := func(t snipetime.Instant) bool {
		if !now.Before(t) {
			return false
		}
		s.nextChange = min(s.nextChange, t)
		return true
	}
	fraction := l.Fraction
	for _, o := range a.fractionCaps {
		if pending(o.until) {
			fraction = min(fraction, o.fraction)
		}
	}
	unitsPerPosition := int(fraction*UnitsPerLimit+roundingTolerance) / a.positions
	for _, h := range a.holdings {
		if !pending(h.LeaseEnd) {
			continue
		}
		s.leaseOrLoan = true
		s.leaseEnd = min(s.leaseEnd, h.LeaseEnd)
		if h.Inherited && pending(h.AcquiredAt.Add(a.inheritedDelay)) {
			continue
		}
		s.own += unitsPerPosition
	}
	for _, v := range a.lent {
		if !v.returned && pending(v.end) {
			s.lent += v.units
		}
	}
	for _, v := range a.borrowed {
		if pending(v.end) {
			s.borrowed += v.units
			s.leaseOrLoan = true
		}
	}
	s.usable = max(0, s.own-s.lent) + s.borrowed
	return s
}

// expire deletes loans and fraction caps that have ended.
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
	kept := a.fractionCaps[:0]
	for _, o := range a.fractionCaps {
		if now.Before(o.until) {
			kept = append(kept, o)
		}
	}
	a.fractionCaps = kept
}

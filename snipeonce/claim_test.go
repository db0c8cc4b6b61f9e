package snipeonce

import (
	"fmt"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// claim begins the claim of a work that has a lease for it.
func (w *world) claim(k *work) {
	local := snipetime.Instant(0).Add(w.time + k.p.offset)
	w.open(k.p, local)
	lease, ok := k.p.leases.For(snipetime.Instant(0).Add(k.deadline + k.p.offset))
	if !ok {
		w.finish(k, OutcomeNotRun)
		return
	}
	k.stage = claiming
	k.claim, k.action = NewClaim(k.id, k.id.String(), lease)
}

// open opens a lease if one is due. The store receives the call and answers it
// some time after it was sent.
func (w *world) open(p *proc, sent snipetime.Instant) {
	if !p.leases.Due(sent) {
		return
	}
	lease := fmt.Sprint("l", len(w.leases))
	ttl := p.leases.TTL()
	if w.fault == earlyExpiry {
		ttl = 5 * time.Second
	}
	w.leases[lease] = w.time + time.Duration(w.r.IntN(2000))*time.Millisecond + ttl
	if w.chance(2) {
		p.leases.Opened(lease, sent)
		return
	}
	w.post(func() { p.leases.Opened(lease, sent) })
}

// load returns a stored claim unless its lease has expired.
func (w *world) load(key string) (stored, bool) {
	s, ok := w.store[key]
	if !ok || w.time >= s.expires {
		return stored{}, false
	}
	return s, true
}

func (w *world) write(key string, a ClaimAction) bool {
	s, _ := w.load(key)
	expires := w.leases[a.Lease]
	if s.version != a.Version || w.time >= expires {
		return false
	}
	w.version++
	w.store[key] = stored{a.Value, w.version, expires}
	return true
}

func (w *world) stepClaim(k *work) {
	a, c := k.action, k.claim
	down, lost := w.chance(12), w.chance(4)
	switch a.Step {
	case ClaimCreate, ClaimReplace:
		switch {
		case down:
			k.action = c.Unavailable()
		case lost && w.chance(2): // The write takes effect later or never.
			w.post(func() { w.write(k.key, a) })
			k.action = c.Lost()
		case !w.write(k.key, a):
			k.action = c.Conflict()
		case lost:
			k.action = c.Lost()
		default:
			k.action = c.Written()
		}
	case ClaimRead:
		s, ok := w.load(k.key)
		switch {
		case down:
			k.action = c.Unavailable()
		case lost:
			k.action = c.Lost()
		case ok:
			k.action = c.Found(s.value, s.version)
		default:
			k.action = c.Absent()
		}
	case ClaimAsk:
		k.action = c.Issuer(w.ask(a.Other))
	case ClaimHeld:
		k.stage = ready
	case ClaimJoin:
		w.finish(k, OutcomeUnknown)
	case ClaimRefused:
		w.finish(k, a.Result.Outcome)
	}
}

func (w *world) ask(id RequestID) Status {
	if w.fault == noAsk {
		return Status{State: NeverStarted}
	}
	p := w.find(id.Incarnation)
	if p == nil {
		p = w.anyUp()
	}
	if p == nil {
		return Status{}
	}
	st := p.table.Revoke(id, w.clock(p))
	w.spoil(p)
	if w.chance(8) {
		return Status{}
	}
	return st
}

package snipeonce

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

func (w *world) write(key string, v ClaimValue, ifVersion uint64) bool {
	if w.store[key].version != ifVersion {
		return false
	}
	w.version++
	w.store[key] = stored{v, w.version}
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
			w.post(func() { w.write(k.key, a.Value, a.Version) })
			k.action = c.Lost()
		case !w.write(k.key, a.Value, a.Version):
			k.action = c.Conflict()
		case lost:
			k.action = c.Lost()
		default:
			k.action = c.Written()
		}
	case ClaimRead:
		s, ok := w.store[k.key]
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

// sweepClaims lets a process list the claims and delete the expired ones. A list
// can show an older revision, and deletions arrive at any time.
func (w *world) sweepClaims() {
	p := w.anyUp()
	if p == nil {
		return
	}
	now := snipetime.Instant(0).Add(w.time + p.offset)
	p.sweep.Seen(w.version-min(w.version, uint64(w.r.IntN(3))), now)
	for _, key := range slices.Sorted(maps.Keys(w.store)) {
		s := w.store[key]
		if !p.sweep.Expired(s.version, now) && w.fault != earlySweep {
			continue
		}
		w.post(func() {
			if w.store[key].version == s.version {
				if w.time < w.deadlines[s.value.RequestID]+keyRetention {
					w.err = fmt.Errorf("claim of %s deleted early", s.value.RequestID)
				}
				delete(w.store, key)
				w.swept[s.value.RequestID] = true
			}
		})
	}
}

// Guards against claims that are deleted before the retention, late by more than
// the distance of two marks, or never.
func TestClaimSweep(t *testing.T) {
	at := func(minutes float64) snipetime.Instant {
		return snipetime.Instant(minutes * float64(time.Minute))
	}
	// A revision is seen every minute and rises by 10.
	sweep := func() *ClaimSweep {
		s := NewClaimSweep(SweepSettings{KeyRetention: 99 * time.Minute, LongestDeadline: time.Minute})
		for minute := range 100 {
			s.Seen(uint64(10*minute), at(float64(minute)))
		}
		return s
	}
	if n := len(sweep().marks); n > marksPerRetention {
		t.Errorf("%d marks, want at most %d", n, marksPerRetention)
	}
	for version := uint64(1); version < 900; version += 7 {
		seen := float64((version + 9) / 10)
		if sweep().Expired(version, at(seen+100.9)) {
			t.Errorf("claim of version %d expires early", version)
		}
		if !sweep().Expired(version, at(seen+101+100.0/marksPerRetention+1)) {
			t.Errorf("claim of version %d does not expire", version)
		}
	}
}

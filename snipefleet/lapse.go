package snipefleet

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// LapseGrace is how long an entry that lapsed while the store did not answer stays
// in use after this front regained the store. Live targets and fronts register
// again within about two seconds after the store answers again, which this front
// detects a little later.
const LapseGrace = 1800 * time.Millisecond

// StoreLost records that the store does not answer this front. From then on,
// entries that are removed count as lapsed and stay in use.
func (r *Registry) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// StoreRegained records that the store answers again. Lapsed entries stay in
// use for LapseGrace, unless EndGrace ends that earlier.
func (r *Registry) StoreRegained(now snipetime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now.Add(LapseGrace)
}

// StoreRestored records that the store was restored from an older copy. Entries that
// the copy lacks count as lapsed, and stay in use for LapseGrace.
func (r *Registry) StoreRestored(now snipetime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = false
	r.graceEnd = now.Add(LapseGrace)
}

// EndGrace ends the grace period, so that the next RemoveLapsed removes lapsed
// entries. It is called if the missing targets and fronts left while the store
// served others.
func (r *Registry) EndGrace(now snipetime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.graceEnd.After(now) {
		r.graceEnd = now
	}
}

// CountLapsed returns the number of registered targets and fronts that are
// missing in the store, and the number of all that are registered.
func (r *Registry) CountLapsed() (missing, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countLapsed(r.targets) + countLapsed(r.members), len(r.targets) + len(r.members)
}

// countLapsed returns the number of lapsed entries.
func countLapsed[T any](entries map[string]*entry[T]) int {
	n := 0
	for _, e := range entries {
		if e.lapsed {
			n++
		}
	}
	return n
}

// GraceRemaining returns the time that remains of the grace period, or zero if
// there is none.
func (r *Registry) GraceRemaining(now snipetime.Instant) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.graceEnd.Sub(now), 0)
}

// RemoveLapsed removes lapsed entries, except during a loss of the store and
// the grace period after it. It returns the IDs of the targets and the names of
// the fronts that were removed.
func (r *Registry) RemoveLapsed(now snipetime.Instant) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inGrace(now) {
		return nil
	}
	for _, e := range r.targets {
		if e.lapsed {
			r.departTarget(e.value)
		}
	}
	removed := slices.Concat(removeLapsed(r.targets), removeLapsed(r.members))
	if len(removed) > 0 {
		r.publish()
	}
	return removed
}

// removeLapsed deletes the lapsed entries and returns their keys.
func removeLapsed[T any](entries map[string]*entry[T]) []string {
	var removed []string
	for k, e := range entries {
		if e.lapsed {
			delete(entries, k)
			removed = append(removed, k)
		}
	}
	return removed
}

// inGrace reports whether entries that are removed count as lapsed and stay in use.
// The caller holds the lock.
func (r *Registry) inGrace(now snipetime.Instant) bool {
	return r.storeLost || now.Before(r.graceEnd)
}

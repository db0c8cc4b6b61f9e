package snipefleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// coldEndTolerance is the difference between the ends of a cold phase in two reports
// below which they count as the same. Reports arrive with jitter.
const coldEndTolerance = 500 * time.Millisecond

// entry is a registered target or front. lapsed means that its entry is missing in
// the store but stays in use until the grace period ends.
type entry[T any] struct {
	value  T
	lapsed bool
}

// Registry merges reports into a View. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// targets is keyed by ID, and members by name.
	targets map[string]*entry[*Target]
	members map[string]*entry[Member]
	// departed holds, by target ID, the newest incarnation that has left.
	departed map[string]departure
	// evacuated holds the failure domains that are evacuated, and evacuationEnd when
	// this front observed the end of the last evacuation of each failure domain.
	evacuated     map[string]bool
	evacuationEnd map[string]snipetime.Instant
	// storeLost means that the store does not answer this front. graceEnd is when the
	// grace period after the store was regained ends.
	storeLost bool
	graceEnd  snipetime.Instant
	view      atomic.Pointer[View]
	// batching delays publication to the end of a Batch, and changed means that there
	// are changes to publish then.
	batching, changed bool
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{
		targets:       make(map[string]*entry[*Target]),
		members:       make(map[string]*entry[Member]),
		departed:      make(map[string]departure),
		evacuated:     make(map[string]bool),
		evacuationEnd: make(map[string]snipetime.Instant),
	}
	r.publish()
	return r
}

// View returns the current view.
func (r *Registry) View() *View { return r.view.Load() }

// Batch calls update and then publishes all changes that were made in the meantime
// as one view. Each view is built from scratch, so a batch saves the cost of a view
// per change. Batches must not be nested or run concurrently.
func (r *Registry) Batch(update func()) {
	r.mu.Lock()
	r.batching = true
	r.mu.Unlock()
	update()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batching = false
	if r.changed {
		r.publish()
	}
}

// HasIncarnation reports whether the incarnation born of a target is registered.
func (r *Registry) HasIncarnation(id string, born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[id]
	return e != nil && e.value.Born == born
}

// UpdateTarget applies a report of a target that was received at now. It
// reports whether the state of the target changed. Outdated reports, and
// reports of an incarnation that has left, are ignored.
func (r *Registry) UpdateTarget(now snipetime.Instant, t TargetReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.departed[t.ID]; ok && d.excludes(t) {
		return false
	}
	old := r.targets[t.ID]
	if old != nil && outdated(old.value, t) {
		return false
	}
	next := &Target{
		ID: t.ID, Service: t.Service, Address: t.Address, Place: t.Place, Slots: t.Slots,
		Born: t.Born, Draining: t.Draining, FirstReported: now,
	}
	if t.Cold > 0 {
		next.ColdUntil = now.Add(t.Cold)
	}
	if t.Draining {
		r.departForGood(next)
	}
	if old != nil && old.value.Born == t.Born {
		next.FirstReported = old.value.FirstReported
		next.reportState = old.value.reportState
	} else {
		next.reportState = &reportState{}
	}
	*next.reportState = reportState{sequence: t.Sequence, revision: t.Revision}
	if old != nil && old.value.Born == t.Born {
		if sameState(old.value, next) {
			old.lapsed = false
			return false
		}
	}
	r.targets[t.ID] = &entry[*Target]{value: next}
	r.publish()
	return true
}

// outdated reports whether a report is older than the registered state. The sequence
// numbers of a target without a start time may restart at any moment, so they are
// not compared.
func outdated(current *Target, t TargetReport) bool {
	if t.Born != current.Born {
		return t.Born < current.Born
	}
	return t.Born != 0 && t.Sequence < current.reportState.sequence
}

// sameState reports whether two states of one incarnation are equal, with a tolerance
// for the end of the cold phase.
func sameState(a, b *Target) bool {
	difference := a.ColdUntil.Sub(b.ColdUntil)
	return a.Service == b.Service && a.Address == b.Address && a.Place == b.Place && a.Slots == b.Slots &&
		a.Draining == b.Draining && difference.Abs() < coldEndTolerance
}

// RemoveTarget records that the entry of a target was removed from the store.
// It reports whether the target was removed from the registry. During a loss of
// the store and the grace period after it, the entry only counts as lapsed,
// unless the target is draining.
func (r *Registry) RemoveTarget(now snipetime.Instant, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.targets[id]
	if e == nil {
		return false
	}
	if r.inGrace(now) && !e.value.Draining {
		e.lapsed = true
		return false
	}
	r.departTarget(e.value)
	delete(r.targets, id)
	r.publish()
	return true
}

// UpdateMember adds or updates a front. It reports whether the front is new or
// changed.
func (r *Registry) UpdateMember(m Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[m.Name]; e != nil && e.value == m {
		e.lapsed = false
		return false
	}
	r.members[m.Name] = &entry[Member]{value: m}
	r.publish()
	return true
}

// RemoveMember records that the entry of a front was removed from the store. It
// reports whether the front was removed from the registry. During a loss of the
// store and the grace period after it, the entry only counts as lapsed.
func (r *Registry) RemoveMember(now snipetime.Instant, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.members[name]
	if e == nil {
		return false
	}
	if r.inGrace(now) {
		e.lapsed = true
		return false
	}
	delete(r.members, name)
	r.publish()
	return true
}

// SetEvacuated sets whether a failure domain is evacuated, and reports whether
// that is a change.
func (r *Registry) SetEvacuated(now snipetime.Instant, domain string, evacuated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[domain] = true
	} else {
		delete(r.evacuated, domain)
		r.evacuationEnd[domain] = now
	}
	r.publish()
	return true
}

// Listing holds the IDs of targets, the names of fronts and the names of evacuated
// failure domains in a complete listing of the store.
type Listing struct {
	Targets, Members, Evacuated map[string]bool
	// KeepEvacuated means that evacuations that are not listed have not ended.
	KeepEvacuated bool
}

// RemoveUnlisted removes everything that a complete listing does not contain,
// with the effect of RemoveTarget, RemoveMember and SetEvacuated.
func (r *Registry) RemoveUnlisted(now snipetime.Instant, listed Listing) {
	r.mu.Lock()
	targets := unlisted(r.targets, listed.Targets)
	members := unlisted(r.members, listed.Members)
	var domains []string
	if !listed.KeepEvacuated {
		domains = unlisted(r.evacuated, listed.Evacuated)
	}
	r.mu.Unlock()
	for _, id := range targets {
		r.RemoveTarget(now, id)
	}
	for _, name := range members {
		r.RemoveMember(now, name)
	}
	for _, domain := range domains {
		r.SetEvacuated(now, domain, false)
	}
}

// unlisted returns the keys that are registered but not listed.
func unlisted[V any](registered map[string]V, listed map[string]bool) []string {
	var out []string
	for k := range registered {
		if !listed[k] {
			out = append(out, k)
		}
	}
	return out
}

// publish replaces the view, or leaves that to the end of the batch in progress. It
// reuses the slices of the previous view that have not changed. The caller holds the
// lock.
func (r *Registry) publish() {
	r.changed = r.batching
	if r.batching {
		return
	}
	v := &View{
		targets:       make(map[string][]*Target),
		evacuated:     maps.Clone(r.evacuated),
		evacuationEnd: maps.Clone(r.evacuationEnd),
	}
	for _, e := range r.targets {
		t := e.value
		if t.Draining || r.evacuated[t.Place.Domain] {
			continue
		}
		v.targets[t.Service] = append(v.targets[t.Service], t)
	}
	old := r.view.Load()
	for service, list := range v.targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		if old != nil && slices.Equal(list, old.targets[service]) {
			v.targets[service] = old.targets[service]
		}
	}
	for _, e := range r.members {
		v.members = append(v.members, e.value)
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if old != nil && slices.Equal(v.members, old.members) {
		v.members = old.members
	}
	r.view.Store(v)
}

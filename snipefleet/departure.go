package snipefleet

// departure is an incarnation of a target that has left, because its entry was removed
// from the store, or for good because it drains or another target has its address.
type departure struct {
	born    int64
	forGood bool
	// address tells incarnations apart that state no start time.
	address string
	// last is the newest report before the entry was removed.
	last reportState
}

// excludes reports whether a report does not bring the target back. After its entry
// was removed only a newer report does: a store that is restored from an older copy
// lists the entry again that was removed since.
func (d departure) excludes(t TargetReport) bool {
	switch {
	case t.Born != d.born:
		return t.Born < d.born
	case d.forGood:
		return t.Born != 0 || t.Address == d.address
	default:
		return t.Sequence < d.last.sequence || t.Sequence == d.last.sequence && t.Revision == d.last.revision
	}
}

// departTarget records that the entry of t is no longer in the store. The reports of a
// target without a start time have no order, so that nothing is recorded about it. The
// caller holds the lock.
func (r *Registry) departTarget(t *Target) {
	if t.Born == 0 || t.Draining {
		return
	}
	r.departed[t.ID] = departure{born: t.Born, last: *t.reportState}
}

// departForGood records that no report returns the incarnation t to use. The caller holds
// the lock.
func (r *Registry) departForGood(t *Target) {
	if d, ok := r.departed[t.ID]; ok && d.born > t.Born {
		return
	}
	r.departed[t.ID] = departure{born: t.Born, forGood: true, address: t.Address}
}

// MarkLeaving records that the incarnation t has stated that it leaves, and reports
// whether that was not known. Like a report that the target drains, it holds whatever the
// store says later about this incarnation.
func (r *Registry) MarkLeaving(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.departed[t.ID]; ok && d.forGood && d.born == t.Born && d.address == t.Address {
		return false
	}
	r.departForGood(t)
	if e := r.targets[t.ID]; e != nil && sameIncarnation(e.value, t) {
		leaving := *e.value
		leaving.Draining = true
		e.value = &leaving
		r.publish()
	}
	return true
}

// sameIncarnation reports whether two states of a target are of one incarnation. Those
// without a start time are if they have the same address.
func sameIncarnation(a, b *Target) bool {
	return a.Born == b.Born && (a.Born != 0 || a.Address == b.Address)
}

// MarkMisaddressed records that another target answered at the address of t, over a
// connection that was opened after t was first reported. The incarnation t has therefore
// left, and is removed.
func (r *Registry) MarkMisaddressed(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Born > 0 {
		r.departForGood(t)
	}
	if e := r.targets[t.ID]; e != nil && e.value.Born == t.Born {
		delete(r.targets, t.ID)
		r.publish()
	}
}

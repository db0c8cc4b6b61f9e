package snipetable

import "sync/atomic"

// Holder keeps the table in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, or nil before the first one.
func (h *Holder) Current() *Table { return h.current.Load() }

// ReplaceVersion puts t in force if the table in force has the same version. Tenants whose
// quotas t does not know keep those of the table in force.
func (h *Holder) ReplaceVersion(t *Table) {
	old := h.current.Load()
	if old != nil && old.version == t.version {
		h.current.CompareAndSwap(old, t.inheritQuotas(old))
	}
}

// UpdateIfNewer puts t in force if there is no table in force or the version of
// t is higher. It reports whether t was put in force. Tenants whose quotas t does not know
// keep those of the table in force.
func (h *Holder) UpdateIfNewer(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && t.version <= old.version {
			return false
		}
		if h.current.CompareAndSwap(old, t.inheritQuotas(old)) {
			return true
		}
	}
}

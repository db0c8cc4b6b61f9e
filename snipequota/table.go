package snipequota

import (
	"sync"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Statement is what a target stated about its rate limit at a time.
type Statement struct {
	// Limited is false if the target stated no limit.
	Limited bool
	// PerSecond is the limit in requests per second, summed over all fronts.
	PerSecond float64
	// At is when the response with the statement arrived.
	At snipetime.Instant
}

// sameLimit reports whether two statements are of the same limit.
func (s Statement) sameLimit(o Statement) bool {
	return s.Limited == o.Limited && s.PerSecond == o.PerSecond
}

// Table holds the statements of the limited targets. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	quotas map[string]*quota
}

// quota is the state of one incarnation of a target that states a limit, or lately
// stated one.
type quota struct {
	born      int64
	statement Statement
	// unreadable is set if the last statement could not be read.
	unreadable bool
}

// New returns an empty table.
func New() *Table { return &Table{quotas: make(map[string]*quota)} }

// Record records the statement of a target. It returns the one before and whether
// the limit changed. A target without an entry that states no limit gets none.
func (t *Table) Record(target *snipefleet.Target, s Statement) (before Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil {
		if !s.Limited {
			return Statement{}, false
		}
		q = t.addQuota(target)
	}
	if s.At.Before(q.statement.At) {
		return q.statement, false
	}
	before, q.statement = q.statement, s
	q.unreadable = false
	return before, !before.sameLimit(s)
}

// RecordUnreadable records that a statement of a target could not be read. The limit
// before it stays in force. It reports whether the statement before was readable.
func (t *Table) RecordUnreadable(target *snipefleet.Target) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil {
		q = t.addQuota(target)
	}
	first = !q.unreadable
	q.unreadable = true
	return first
}

// Current returns the newest statement of a target.
func (t *Table) Current(target *snipefleet.Target) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.quota(target); q != nil {
		return q.statement
	}
	return Statement{}
}

// NumLimited returns the number of limited targets.
func (t *Table) NumLimited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, q := range t.quotas {
		if q.statement.Limited {
			n++
		}
	}
	return n
}

// Forget deletes the state of targets for whose ID known returns false.
func (t *Table) Forget(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.quotas {
		if !known(id) {
			delete(t.quotas, id)
		}
	}
}

// quota returns the state of a target, or nil if there is none.
func (t *Table) quota(target *snipefleet.Target) *quota {
	if q := t.quotas[target.ID]; q != nil && q.born == target.Born {
		return q
	}
	return nil
}

// addQuota adds the state of a target. It replaces that of another incarnation.
func (t *Table) addQuota(target *snipefleet.Target) *quota {
	q := &quota{born: target.Born}
	t.quotas[target.ID] = q
	return q
}

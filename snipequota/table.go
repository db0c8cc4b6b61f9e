package snipequota

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

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

// minChange is the relative difference from which a limit counts as changed. Smaller
// changes are enforced, but do not assign objects to other targets.
const minChange = 0.1

// differs reports whether a limit counts as changed against another one.
func (s Statement) differs(o Statement) bool {
	return s.Limited != o.Limited || math.Abs(s.PerSecond-o.PerSecond) > minChange*o.PerSecond
}

// Fleet provides the current view of targets and fronts.
type Fleet interface {
	View() *snipefleet.View
}

// Table holds the statements of the limited targets, and the shares of this front in
// their limits. It is safe for concurrent use.
type Table struct {
	self  snipefleet.Member
	fleet Fleet
	log   *zap.Logger

	mu         sync.Mutex
	quotas     map[string]*quota
	membership membership
	// limitsVersion changes when a limit or the end of one is learned.
	limitsVersion uint64
}

// quota is the state of one incarnation of a target that states a limit, or lately
// stated one.
type quota struct {
	target *snipefleet.Target
	// stated is set if statement is one of the target. Its time can be before the start of
	// this process, and so negative.
	stated    bool
	statement Statement
	// noted is the statement at the last change of the limit.
	noted Statement
	// unreadable is set if the last statement could not be read.
	unreadable bool
	// learnedAt is when this front last learned a limit that it passes on to others.
	learnedAt snipetime.Instant

	equal equalShare
	lease lease
	// limiter holds the rate of share, once a request has asked for the target.
	limiter *rate.Limiter
	share   float64
	demand  demand
	// probing is set if this front, which has no share, is to send a request, and
	// probedAt is when it last did.
	probing  bool
	probedAt snipetime.Instant
	// nextRetryAt is the earliest time at which the next refused caller retries.
	nextRetryAt snipetime.Instant
	// clients holds the senders that ask this front for leases, by name.
	clients map[string]*client
}

// New returns an empty table of the front self.
func New(self snipefleet.Member, fleet Fleet, log *zap.Logger) *Table {
	return &Table{self: self, fleet: fleet, log: log, quotas: make(map[string]*quota)}
}

// refreshInterval is the time after which a limit that has not changed is passed on
// again.
const refreshInterval = 5 * time.Second

// Record records the statement of a target. It returns the one at the last change, and
// whether the limit has changed since. A target without an entry that states no limit gets none.
func (t *Table) Record(target *snipefleet.Target, s Statement) (before Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(target, s, s.At)
}

// record is Record for a caller that holds the lock and learned s at now.
func (t *Table) record(target *snipefleet.Target, s Statement, now snipetime.Instant) (before Statement, changed bool) {
	q := t.quota(target)
	if q == nil {
		if !s.Limited {
			return Statement{}, false
		}
		if q = t.addQuota(target); q == nil {
			return Statement{}, false
		}
	}
	if q.stated && s.At.Before(q.statement.At) {
		return q.noted, false
	}
	before, q.statement, q.stated = q.noted, s, true
	q.unreadable = false
	changed = s.differs(before)
	if changed {
		q.noted = s
	}
	if changed || q.probing {
		q.probing = false
		t.limitsVersion++
	}
	if changed || now.Sub(q.learnedAt) >= refreshInterval {
		q.learnedAt = now
	}
	return before, changed
}

// RecordUnreadable records that a statement of a target could not be read. The limit
// before it stays in force. It reports whether the statement before was readable.
func (t *Table) RecordUnreadable(target *snipefleet.Target) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil {
		if q = t.addQuota(target); q == nil {
			return false
		}
	}
	first = !q.unreadable
	q.unreadable = true
	return first
}

// Current returns the newest statement of a target, and the share of its limit that
// this front last used.
func (t *Table) Current(target *snipefleet.Target) (s Statement, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.quota(target); q != nil {
		return q.statement, q.share
	}
	return Statement{}, 0
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

// endedRetention is how long the end of a limit is kept, so that it can be passed on.
const endedRetention = 10 * time.Second

// Forget deletes the state of targets for whose ID known returns false, and of those
// whose limit has ended some time ago.
func (t *Table) Forget(now snipetime.Instant, known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, q := range t.quotas {
		ended := !q.statement.Limited && now.Sub(q.learnedAt) > endedRetention
		if ended || !known(id) {
			delete(t.quotas, id)
		}
	}
}

// quota returns the state of a target, or nil if there is none.
func (t *Table) quota(target *snipefleet.Target) *quota {
	if q := t.quotas[target.ID]; q != nil && q.target.Born == target.Born {
		return q
	}
	return nil
}

// addQuota adds the state of a target. It replaces that of an earlier incarnation, and
// returns nil if there is the state of a later one.
func (t *Table) addQuota(target *snipefleet.Target) *quota {
	if q := t.quotas[target.ID]; q != nil && q.target.Born > target.Born {
		return nil
	}
	q := &quota{target: target, clients: make(map[string]*client)}
	t.quotas[target.ID] = q
	return q
}

package snipeonce

import (
	"container/heap"
	"sync"

	"github.com/snipemoor/snipemoor/snipetime"
)

// recordOverhead is the accounted size of a record without its answer: the
// structure, its map and list entries, and the strings of its identifier.
const recordOverhead = 512

const waiterSize = 16

type record struct {
	id      RequestID
	running bool
	// lapsed marks a running record that Tick turned into an unknown one.
	lapsed  bool
	result  Result
	waiters []Waiter
	keep    snipetime.Instant
	size    int
	// index is the place of the record in the expiry heap.
	index int
}

// Table holds the records of the requests that this process may start. It is
// safe for concurrent use.
type Table struct {
	self     string
	settings Settings

	mu sync.Mutex
	// now is the latest instant of any call. Calls that waited for the lock
	// may carry older instants; using the latest one keeps a window closed once
	// a caller was told that it is.
	now      snipetime.Instant
	records  map[RequestID]*record
	expiry   expiryHeap
	bytes    int
	shut     bool
	refused  closedSet
	inherits map[string]*inheritance
	notices  map[string]notice
	updates  []RequestID
	exports  uint64
}

// NewTable returns an empty table for the process incarnation self.
func NewTable(self string, settings Settings) *Table {
	s := settings.withDefaults()
	return &Table{
		self:     self,
		settings: s,
		records:  make(map[RequestID]*record),
		refused:  newClosedSet(s.MaxClosed),
		inherits: make(map[string]*inheritance),
		notices:  make(map[string]notice),
	}
}

// Begin decides about a request that arrived with the given deadline. After
// Start the caller must call Finish; after Join the waiter token is returned by
// Finish, Tick or never if Leave is called first.
func (t *Table) Begin(id RequestID, now, deadline snipetime.Instant, w Waiter) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if id.Incarnation != t.self {
		return t.beginForeign(id)
	}
	if r, ok := t.records[id]; ok {
		return t.join(r, w)
	}
	if d, ok := t.refuseStart(id, deadline); !ok {
		return d
	}
	r := &record{id: id, running: true, size: recordOverhead}
	r.keep = t.now.Add(t.settings.Retention)
	if k := deadline.Add(t.settings.Retention); k.After(r.keep) {
		r.keep = k
	}
	t.bytes += r.size
	t.records[id] = r
	heap.Push(&t.expiry, r)
	return Decision{Kind: Start}
}

// refuseStart reports whether an own identifier without a record may start.
func (t *Table) refuseStart(id RequestID, deadline snipetime.Instant) (Decision, bool) {
	if id.issued().After(t.now) {
		return refuse(ReasonBadRequestID, OutcomeUnknown), false
	}
	if st := t.absent(id); st != NeverStarted {
		return refuse(ReasonIdentifierExpired, OutcomeUnknown), false
	}
	switch {
	case t.refused.has(id):
		return refuse(ReasonIdentifierExpired, OutcomeNotRun), false
	case t.shut:
		return refuse(ReasonStopping, OutcomeNotRun), false
	case t.now.After(id.issued().Add(t.settings.StartWindow)):
		return refuse(ReasonIdentifierExpired, OutcomeNotRun), false
	case !deadline.After(t.now):
		t.closeID(id)
		return refuse(ReasonDeadline, OutcomeNotRun), false
	case t.bytes+recordOverhead > t.settings.MaxBytes:
		t.closeID(id)
		return refuse(ReasonRecordsFull, OutcomeNotRun), false
	}
	return Decision{}, true
}

// absent returns what the absence of a record says about an own identifier that
// is not from the future. A record is kept for the retention after its start,
// and the start is not before the issue; until then no record means no start.
func (t *Table) absent(id RequestID) State {
	if t.now.Before(id.issued().Add(t.settings.Retention)) {
		return NeverStarted
	}
	return StateUnknown
}

// closeID prevents any later start of an identifier that has no record.
func (t *Table) closeID(id RequestID) {
	until := id.issued().Add(t.settings.StartWindow)
	t.refused.add(id, t.now, until)
}

func (t *Table) join(r *record, w Waiter) Decision {
	if !r.running {
		return Decision{Kind: Stored, Result: r.result}
	}
	if t.bytes+waiterSize > t.settings.MaxBytes {
		return refuse(ReasonRecordsFull, OutcomeUnknown)
	}
	r.waiters = append(r.waiters, w)
	t.grow(r, waiterSize)
	return Decision{Kind: Join}
}

// Leave removes a waiter whose caller is gone.
func (t *Table) Leave(id RequestID, w Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return
	}
	for i, x := range r.waiters {
		if x == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			t.grow(r, -waiterSize)
			return
		}
	}
}

// Finish records how a started request ended and returns the waiters to
// answer. OutcomeNotRun requires that no target can have begun the request; it
// is final, a repeat receives it again and never starts. Finish without a
// running record changes nothing, except that it replaces an unknown result
// that Tick had recorded.
func (t *Table) Finish(id RequestID, result Result, now snipetime.Instant) []Waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	r, ok := t.records[id]
	if !ok || !r.running && !r.lapsed {
		return nil
	}
	r.running, r.lapsed = false, false
	waiters := r.waiters
	r.waiters = nil
	t.grow(r, -waiterSize*len(waiters))
	n := result.Answer.size()
	if n > t.settings.MaxAnswerBytes || t.bytes+n > t.settings.MaxBytes {
		result.Answer = nil
		n = 0
	}
	r.result = result
	t.grow(r, n)
	if k := t.now.Add(t.settings.Retention); k.After(r.keep) {
		r.keep = k
		heap.Fix(&t.expiry, r.index)
	}
	if t.shut {
		t.updates = append(t.updates, id)
	}
	return waiters
}

// Revoke returns the state of a request for an instance that relayed it and
// lost the reply, or that refuses it. After NeverStarted the request can never
// start.
func (t *Table) Revoke(id RequestID, now snipetime.Instant) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if id.Incarnation != t.self {
		return t.inherited(id)
	}
	if r, ok := t.records[id]; ok {
		return r.status()
	}
	if id.issued().After(t.now) {
		return Status{}
	}
	if t.absent(id) != NeverStarted {
		return Status{}
	}
	t.closeID(id)
	return Status{State: NeverStarted}
}

func (r *record) status() Status {
	switch {
	case r.running:
		return Status{State: Running}
	case r.result.Outcome == OutcomeNotRun:
		return Status{State: NeverStarted, Result: r.result}
	case r.result.Outcome == OutcomeUnknown:
		return Status{Result: r.result}
	}
	return Status{State: Finished, Result: r.result}
}

// Lapse is a running request that Tick gave up.
type Lapse struct {
	ID      RequestID
	Waiters []Waiter
}

// Tick discards expired records. A running record past its retention becomes
// unknown first; its waiters are returned.
func (t *Table) Tick(now snipetime.Instant) []Lapse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	var lapses []Lapse
	for len(t.expiry) > 0 && !t.expiry[0].keep.After(t.now) {
		r := t.expiry[0]
		if r.running {
			lapses = append(lapses, t.lapse(r))
			continue
		}
		heap.Pop(&t.expiry)
		delete(t.records, r.id)
		t.bytes -= r.size
	}
	t.refused.tick(t.now)
	t.tickInherited()
	return lapses
}

func (t *Table) lapse(r *record) Lapse {
	waiters := r.waiters
	r.waiters = nil
	t.grow(r, -waiterSize*len(waiters))
	r.running, r.lapsed = false, true
	r.result = Result{Outcome: OutcomeUnknown, Reason: ReasonDeadline}
	r.keep = t.now.Add(t.settings.Retention)
	heap.Fix(&t.expiry, r.index)
	return Lapse{ID: r.id, Waiters: waiters}
}

// Len returns the number of records and their accounted bytes.
func (t *Table) Len() (records, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.bytes
}

func (t *Table) grow(r *record, n int) {
	r.size += n
	t.bytes += n
}

func (t *Table) observe(now snipetime.Instant) {
	if now.After(t.now) {
		t.now = now
	}
}

func refuse(reason Reason, outcome Outcome) Decision {
	return Decision{Kind: Refuse, Result: Result{Outcome: outcome, Reason: reason}}
}

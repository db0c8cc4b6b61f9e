package snipeonce

import (
	"container/heap"
	"sync"

	"github.com/snipemoor/snipemoor/snipetime"
)

// recordOverhead is the accounted size, in bytes, of a record without its
// response: the structure, its map and heap entries, and the strings of its
// identifier.
const recordOverhead = 512

// waiterSize is the accounted size of one Waiter, in bytes.
const waiterSize = 16

// record is the state of one request that this process has started.
type record struct {
	id      RequestID
	running bool
	// timedOut is set if Tick gave the request up while it was running. Its
	// result is unknown until Finish replaces it.
	timedOut  bool
	result    Result
	waiters   []Waiter
	expiresAt snipetime.Instant
	size      int
	// heapIndex is the index of the record in Table.expiry.
	heapIndex int
}

// Table holds the records of the requests that this process may start. It is
// safe for concurrent use.
type Table struct {
	self     string
	settings Settings

	mu sync.Mutex
	// now is the latest instant of any call. A call that waited for the lock may
	// carry an older one. Using the latest ensures that a start window stays
	// closed once a request was refused because of it.
	now         snipetime.Instant
	records     map[RequestID]*record
	expiry      expiryHeap
	bytes       int
	closed      bool
	closedIDs   closedSet
	imported    map[string]*importedRecords
	notices     map[string]successorNotice
	updatedIDs  []RequestID
	exportCount uint64
}

// NewTable returns an empty table for the process incarnation self.
func NewTable(self string, settings Settings) *Table {
	s := settings.withDefaults()
	return &Table{
		self:      self,
		settings:  s,
		records:   make(map[RequestID]*record),
		closedIDs: newClosedSet(s.MaxClosedIDs),
		imported:  make(map[string]*importedRecords),
		notices:   make(map[string]successorNotice),
	}
}

// Begin decides whether a request with the given deadline may start. After Started
// the caller must call Finish. After Joined, Finish or Tick returns w, unless Leave
// is called first.
func (t *Table) Begin(id RequestID, now, deadline snipetime.Instant, w Waiter) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if id.Issuer != t.self {
		return t.decideOtherIssuer(id)
	}
	if r, ok := t.records[id]; ok {
		return t.join(r, w)
	}
	if d, ok := t.checkStart(id, deadline); !ok {
		return d
	}
	r := &record{id: id, running: true, size: recordOverhead}
	r.expiresAt = t.now.Add(t.settings.Retention)
	if k := deadline.Add(t.settings.Retention); k.After(r.expiresAt) {
		r.expiresAt = k
	}
	t.bytes += r.size
	t.records[id] = r
	heap.Push(&t.expiry, r)
	return Decision{Action: Started}
}

// checkStart reports whether a request that was issued by this process and has
// no record may start. If it may not, the Decision holds the refusal.
func (t *Table) checkStart(id RequestID, deadline snipetime.Instant) (Decision, bool) {
	if id.issued().After(t.now) {
		return refuse(ReasonBadRequestID, OutcomeUnknown), false
	}
	if st := t.stateWithoutRecord(id); st != NeverStarted {
		return refuse(ReasonIdentifierExpired, OutcomeUnknown), false
	}
	switch {
	case t.closedIDs.contains(id):
		return refuse(ReasonIdentifierExpired, OutcomeNotRun), false
	case t.closed:
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

// stateWithoutRecord returns the state of a request that was issued by this
// process and has no record. Its issue time must not be in the future. A record
// is kept for Settings.Retention after the start of its request, and a request
// cannot start before its issue. Up to that time after the issue, a missing
// record therefore means that the request has not started.
func (t *Table) stateWithoutRecord(id RequestID) State {
	if t.now.Before(id.issued().Add(t.settings.Retention)) {
		return NeverStarted
	}
	return StateUnknown
}

// closeID prevents any later start of a request that has no record.
func (t *Table) closeID(id RequestID) {
	until := id.issued().Add(t.settings.StartWindow)
	t.closedIDs.add(id, t.now, until)
}

// join adds a waiter to a running request or returns the result of an ended one.
func (t *Table) join(r *record, w Waiter) Decision {
	if !r.running {
		return Decision{Action: Stored, Result: r.result}
	}
	if t.bytes+waiterSize > t.settings.MaxBytes {
		return refuse(ReasonRecordsFull, OutcomeUnknown)
	}
	r.waiters = append(r.waiters, w)
	t.addSize(r, waiterSize)
	return Decision{Action: Joined}
}

// Leave removes a waiter whose caller no longer waits. It does nothing if the
// waiter is not registered.
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
			t.addSize(r, -waiterSize)
			return
		}
	}
}

// Finish records the result of a started request and returns the waiters that
// receive it. OutcomeNotRun requires that no target can have begun the request;
// it is final: a repeated request receives it again and never starts. A response
// that exceeds Settings.MaxResponseBytes or Settings.MaxBytes is not stored.
// Finish does nothing unless the request is running or Tick gave it up; in the
// latter case it replaces the unknown result.
func (t *Table) Finish(id RequestID, result Result, now snipetime.Instant) []Waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	r, ok := t.records[id]
	if !ok || !r.running && !r.timedOut {
		return nil
	}
	r.running, r.timedOut = false, false
	waiters := r.waiters
	r.waiters = nil
	t.addSize(r, -waiterSize*len(waiters))
	n := result.Response.size()
	if n > t.settings.MaxResponseBytes || t.bytes+n > t.settings.MaxBytes {
		result.Response = nil
		n = 0
	}
	r.result = result
	t.addSize(r, n)
	if k := t.now.Add(t.settings.Retention); k.After(r.expiresAt) {
		r.expiresAt = k
		heap.Fix(&t.expiry, r.heapIndex)
	}
	if t.closed {
		t.updatedIDs = append(t.updatedIDs, id)
	}
	return waiters
}

// Revoke returns the state of a request and closes its identifier if it has not
// started: after NeverStarted it can never start. It is used when an instance
// has relayed a request and lost the reply, or refuses a request.
func (t *Table) Revoke(id RequestID, now snipetime.Instant) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if id.Issuer != t.self {
		return t.importedStatus(id)
	}
	if r, ok := t.records[id]; ok {
		return r.status()
	}
	if id.issued().After(t.now) {
		return Status{}
	}
	if t.stateWithoutRecord(id) != NeverStarted {
		return Status{}
	}
	t.closeID(id)
	return Status{State: NeverStarted}
}

// status returns the state of the request, as reported to other instances.
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

// TimedOutRequest is a running request that Tick gave up, with the waiters that
// receive an unknown outcome.
type TimedOutRequest struct {
	ID      RequestID
	Waiters []Waiter
}

// Tick removes expired records, closed identifiers and imported hand-overs. A
// request that is still running when its record expires gets an unknown result
// and is returned; its record is kept for another Settings.Retention.
func (t *Table) Tick(now snipetime.Instant) []TimedOutRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	var timedOut []TimedOutRequest
	for len(t.expiry) > 0 && !t.expiry[0].expiresAt.After(t.now) {
		r := t.expiry[0]
		if r.running {
			timedOut = append(timedOut, t.timeOut(r))
			continue
		}
		heap.Pop(&t.expiry)
		delete(t.records, r.id)
		t.bytes -= r.size
	}
	t.closedIDs.expire(t.now)
	t.expireImported()
	return timedOut
}

// timeOut gives a running request an unknown result and extends its record.
func (t *Table) timeOut(r *record) TimedOutRequest {
	waiters := r.waiters
	r.waiters = nil
	t.addSize(r, -waiterSize*len(waiters))
	r.running, r.timedOut = false, true
	r.result = Result{Outcome: OutcomeUnknown, Reason: ReasonDeadline}
	r.expiresAt = t.now.Add(t.settings.Retention)
	heap.Fix(&t.expiry, r.heapIndex)
	return TimedOutRequest{ID: r.id, Waiters: waiters}
}

// Len returns the number of own records, and the accounted bytes of own and
// imported records.
func (t *Table) Len() (records, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.bytes
}

// addSize adds n bytes to the accounted size of a record; n can be negative.
func (t *Table) addSize(r *record, n int) {
	r.size += n
	t.bytes += n
}

// advanceClock sets t.now unless a later instant was passed before.
func (t *Table) advanceClock(now snipetime.Instant) {
	if now.After(t.now) {
		t.now = now
	}
}

// refuse returns a Decision that refuses a request.
func refuse(reason Reason, outcome Outcome) Decision {
	return Decision{Action: Refused, Result: Result{Outcome: outcome, Reason: reason}}
}

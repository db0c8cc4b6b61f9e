package snipeonce

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// HandoverRecord is one record in the hand-over of a closed table.
type HandoverRecord struct {
	ID RequestID
	// Result has OutcomeUnknown while the request is running.
	Result Result
}

// Handover is one message of a hand-over: a part of the records of a closed
// issuer.
type Handover struct {
	// Incarnation is the closed issuer.
	Incarnation string
	// Sender is the incarnation that made the export: the issuer itself, or a
	// successor that forwards the hand-over of the issuer.
	Sender string
	// AsOfMillis is the time of the issuer's export, as an instant of the issuer
	// in milliseconds.
	AsOfMillis uint64
	// Export is the number of the export at its sender. Chunks of different
	// exports cannot be combined, because records may have expired between them.
	Export uint64
	// Chunk is the index of the message in its export, from 0 to Chunks-1.
	// Chunks is 0 for an update, which does not count towards completeness.
	Chunk, Chunks uint32
	Records       []HandoverRecord
}

// successorNotice names the successor of a closed incarnation.
type successorNotice struct {
	successor string
	expiresAt snipetime.Instant
}

// importedRecords holds the records of another, closed incarnation. They expire
// together: if single records expired, a finished request would be reported as
// never started.
type importedRecords struct {
	records map[RequestID]Result
	bytes   int
	// chunkSets holds the received chunks by sender.
	chunkSets map[string]*chunkSet
	// complete is set once all records that the issuer had at asOf were
	// received. asOf is an instant of the issuer.
	complete  bool
	asOf      snipetime.Instant
	expiresAt snipetime.Instant
}

// chunkSet holds the indices of the received chunks of the newest export of one
// sender.
type chunkSet struct {
	export   uint64
	received map[uint32]bool
}

// Close permanently prevents the start of requests. Running requests continue,
// and Finish still records their results.
func (t *Table) Close(now snipetime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	t.closed = true
}

// Export returns all records of a closed table as messages of about maxBytes
// accounted bytes each; at least one message, or nil before Close. It includes
// the records that other closed incarnations handed over to this one, so that
// their requests keep their results when a successor stops too.
func (t *Table) Export(now snipetime.Instant, maxBytes int) []Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if !t.closed {
		return nil
	}
	t.exportCount++
	own := make([]HandoverRecord, 0, len(t.expiry))
	for _, r := range t.expiry {
		own = append(own, r.toHandoverRecord())
	}
	chunks := splitIntoChunks(t.newHandover(), own, maxBytes)
	for _, name := range slices.Sorted(maps.Keys(t.imported)) {
		chunks = append(chunks, t.exportImported(name, maxBytes)...)
	}
	return chunks
}

// exportImported returns the imported records of another incarnation. If they
// are not complete, the messages are updates, so that the receiver does not
// treat them as complete either.
func (t *Table) exportImported(name string, maxBytes int) []Handover {
	in := t.imported[name]
	records := make([]HandoverRecord, 0, len(in.records))
	for id, result := range in.records {
		records = append(records, HandoverRecord{ID: id, Result: result})
	}
	slices.SortFunc(records, func(a, b HandoverRecord) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	first := Handover{Incarnation: name, Sender: t.self, AsOfMillis: Millis(in.asOf), Export: t.exportCount}
	chunks := splitIntoChunks(first, records, maxBytes)
	if !in.complete {
		for i := range chunks {
			chunks[i].Chunk, chunks[i].Chunks = 0, 0
		}
	}
	return chunks
}

// splitIntoChunks distributes records over copies of the message first, which
// must have no records. It returns at least one message.
func splitIntoChunks(first Handover, records []HandoverRecord, maxBytes int) []Handover {
	chunks := []Handover{first}
	size := 0
	for _, r := range records {
		n := r.size()
		if size > 0 && size+n > maxBytes {
			next := first
			next.Chunk = uint32(len(chunks))
			chunks = append(chunks, next)
			size = 0
		}
		last := &chunks[len(chunks)-1]
		last.Records = append(last.Records, r)
		size += n
	}
	for i := range chunks {
		chunks[i].Chunks = uint32(len(chunks))
	}
	return chunks
}

// size returns the accounted size of the record at its receiver.
func (r HandoverRecord) size() int { return recordOverhead + r.Result.Response.size() }

// Updates returns the records of requests that finished since Close. The daemon
// resends them until the successor acknowledges them.
func (t *Table) Updates(now snipetime.Instant) Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	h := t.newHandover()
	for _, id := range t.updatedIDs {
		if r, ok := t.records[id]; ok {
			h.Records = append(h.Records, r.toHandoverRecord())
		}
	}
	return h
}

// newHandover returns a message of this table without records.
func (t *Table) newHandover() Handover {
	return Handover{Incarnation: t.self, Sender: t.self, AsOfMillis: Millis(t.now), Export: t.exportCount}
}

func (r *record) toHandoverRecord() HandoverRecord {
	if r.running {
		return HandoverRecord{ID: r.id}
	}
	return HandoverRecord{ID: r.id, Result: r.result}
}

// Import adds the records of a hand-over message. It returns false and adds
// nothing if the message is invalid, exceeds the memory bound or arrives after
// Close, when its records would not be exported any more. Messages may be lost,
// repeated and reordered: a known outcome replaces an unknown one and is itself
// never replaced.
func (t *Table) Import(h Handover, now snipetime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if t.closed || h.Incarnation == t.self || h.Chunks > 0 && h.Chunk >= h.Chunks {
		return false
	}
	size := 0
	for _, r := range h.Records {
		if r.ID.Issuer != h.Incarnation {
			return false
		}
		size += r.size()
	}
	if t.bytes+size > t.settings.MaxBytes {
		return false
	}
	in, ok := t.imported[h.Incarnation]
	if !ok {
		in = &importedRecords{records: make(map[RequestID]Result), chunkSets: make(map[string]*chunkSet)}
		t.imported[h.Incarnation] = in
	}
	in.expiresAt = t.now.Add(2 * t.settings.Retention)
	added := in.merge(h)
	in.bytes += added
	t.bytes += added
	return true
}

// merge adds the records of a message and returns the accounted bytes that it
// added.
func (in *importedRecords) merge(h Handover) int {
	added := 0
	for _, r := range h.Records {
		old, ok := in.records[r.ID]
		if ok && old.Outcome != OutcomeUnknown {
			continue
		}
		if !ok {
			added += recordOverhead
		}
		added += r.Result.Response.size()
		in.records[r.ID] = r.Result
	}
	if h.Chunks > 0 && in.addChunk(h) {
		in.complete = true
		asOf := snipetime.Instant(0).Add(time.Duration(h.AsOfMillis) * time.Millisecond)
		in.asOf = max(in.asOf, asOf)
	}
	return added
}

// addChunk records the receipt of a chunk and reports whether all chunks of its
// export were received. It ignores chunks of older exports.
func (in *importedRecords) addChunk(h Handover) bool {
	set, ok := in.chunkSets[h.Sender]
	if !ok {
		set = &chunkSet{}
		in.chunkSets[h.Sender] = set
	}
	if h.Export < set.export {
		return false
	}
	if h.Export > set.export || set.received == nil {
		set.export, set.received = h.Export, make(map[uint32]bool)
	}
	set.received[h.Chunk] = true
	return len(set.received) == int(h.Chunks)
}

// SetSuccessor records that successor decides about the requests that the
// incarnation closed has issued.
func (t *Table) SetSuccessor(closed, successor string, now snipetime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceClock(now)
	if closed == t.self || closed == successor {
		return
	}
	t.notices[closed] = successorNotice{successor: successor, expiresAt: t.now.Add(2 * t.settings.Retention)}
}

// decideOtherIssuer decides about a request that another incarnation issued: from
// its imported records, or by a relay to its last known successor or to the
// issuer itself. A relayed request is relayed at most once more; the daemon
// answers a longer chain with unknown.
func (t *Table) decideOtherIssuer(id RequestID) Decision {
	if _, ok := t.imported[id.Issuer]; ok {
		return t.decideImported(id)
	}
	if s := t.successor(id.Issuer); s != t.self {
		return Decision{Action: RelayTo, Incarnation: s}
	}
	return Decision{Action: RelayTo, Incarnation: id.Issuer}
}

// successor follows the successor notices from an incarnation to the last one.
// The number of steps is bounded because notices can form a cycle.
func (t *Table) successor(name string) string {
	for range len(t.notices) {
		n, ok := t.notices[name]
		if !ok {
			break
		}
		name = n.successor
	}
	return name
}

// decideImported decides about a request whose issuer handed its records over.
func (t *Table) decideImported(id RequestID) Decision {
	st := t.importedStatus(id)
	switch {
	case st.State == Finished, st.Result.Reason != "":
		return Decision{Action: Stored, Result: st.Result}
	case st.State == NeverStarted:
		return refuse(ReasonStopping, OutcomeNotRun)
	}
	return refuse(ReasonIssuerUnreachable, OutcomeUnknown)
}

// importedStatus returns the status of a request according to the imported
// records of its issuer.
func (t *Table) importedStatus(id RequestID) Status {
	in, ok := t.imported[id.Issuer]
	if !ok {
		return Status{}
	}
	if result, ok := in.records[id]; ok {
		r := record{result: result}
		return r.status()
	}
	// Records of older identifiers may have expired at the issuer before the
	// export. Both sides of this comparison are instants of the issuer.
	if !in.complete || !in.asOf.Before(id.issued().Add(t.settings.Retention)) {
		return Status{}
	}
	return Status{State: NeverStarted}
}

// expireImported removes expired imported records and successor notices.
func (t *Table) expireImported() {
	for name, in := range t.imported {
		if t.now.After(in.expiresAt) {
			t.bytes -= in.bytes
			delete(t.imported, name)
		}
	}
	for name, n := range t.notices {
		if t.now.After(n.expiresAt) {
			delete(t.notices, name)
		}
	}
}

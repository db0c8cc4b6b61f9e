package snipeonce

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// HandoverRecord is one record of a closed table.
type HandoverRecord struct {
	ID RequestID
	// Result has OutcomeUnknown while the request is running.
	Result Result
}

// Handover is one message of a hand-over.
type Handover struct {
	// Incarnation is the closed issuer.
	Incarnation string
	// AsOfMillis is the issuer's instant of the export.
	AsOfMillis uint64
	// Export numbers the exports of the issuer. Chunks of different exports
	// cannot be combined, because records may have expired between them.
	Export uint64
	// Chunk counts from 0 to Chunks-1. Chunks is 0 for an update, which does
	// not count towards completeness.
	Chunk, Chunks uint32
	Records       []HandoverRecord
}

type notice struct {
	successor string
	until     snipetime.Instant
}

// inheritance holds the records of another, closed incarnation. It is dropped
// as a whole: dropping single records would make a finished request look as if
// it had never started.
type inheritance struct {
	records map[RequestID]Result
	bytes   int
	// seen holds the chunks received of the export with number export.
	export   uint64
	seen     map[uint32]bool
	complete bool
	asOf     snipetime.Instant
	until    snipetime.Instant
}

// Close ends all starts for good. Running requests go on and Finish still
// records them.
func (t *Table) Close(now snipetime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	t.shut = true
}

// Export returns all records of a closed table in messages of about maxBytes
// each, and nil before Close. There is at least one message.
func (t *Table) Export(now snipetime.Instant, maxBytes int) []Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if !t.shut {
		return nil
	}
	t.exports++
	chunks := []Handover{t.newChunk(0)}
	size := 0
	for _, r := range t.expiry {
		last := &chunks[len(chunks)-1]
		if size > 0 && size+r.size > maxBytes {
			chunks = append(chunks, t.newChunk(uint32(len(chunks))))
			last = &chunks[len(chunks)-1]
			size = 0
		}
		last.Records = append(last.Records, r.handover())
		size += r.size
	}
	for i := range chunks {
		chunks[i].Chunks = uint32(len(chunks))
	}
	return chunks
}

// Updates returns the records that have finished since Close. The daemon sends
// it again until the successor has acknowledged it.
func (t *Table) Updates(now snipetime.Instant) Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	h := t.newChunk(0)
	for _, id := range t.updates {
		if r, ok := t.records[id]; ok {
			h.Records = append(h.Records, r.handover())
		}
	}
	return h
}

func (t *Table) newChunk(i uint32) Handover {
	return Handover{Incarnation: t.self, AsOfMillis: Millis(t.now), Export: t.exports, Chunk: i}
}

func (r *record) handover() HandoverRecord {
	if r.running {
		return HandoverRecord{ID: r.id}
	}
	return HandoverRecord{ID: r.id, Result: r.result}
}

// Import adds a message of a closed incarnation. It returns false, and takes
// nothing, if the message is not acceptable or does not fit in the memory
// bound. Messages may be lost, repeated and reordered: a known outcome replaces
// an unknown one and is never replaced.
func (t *Table) Import(h Handover, now snipetime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if h.Incarnation == t.self || h.Chunks > 0 && h.Chunk >= h.Chunks {
		return false
	}
	size := 0
	for _, r := range h.Records {
		if r.ID.Incarnation != h.Incarnation {
			return false
		}
		size += recordOverhead + r.Result.Answer.size()
	}
	if t.bytes+size > t.settings.MaxBytes {
		return false
	}
	in, ok := t.inherits[h.Incarnation]
	if !ok {
		in = &inheritance{records: make(map[RequestID]Result), seen: make(map[uint32]bool)}
		t.inherits[h.Incarnation] = in
	}
	in.until = t.now.Add(2 * t.settings.Retention)
	added := in.merge(h)
	in.bytes += added
	t.bytes += added
	return true
}

// merge returns the accounted bytes that the message added.
func (in *inheritance) merge(h Handover) int {
	added := 0
	for _, r := range h.Records {
		old, ok := in.records[r.ID]
		if ok && old.Outcome != OutcomeUnknown {
			continue
		}
		if !ok {
			added += recordOverhead
		}
		added += r.Result.Answer.size()
		in.records[r.ID] = r.Result
	}
	if h.Chunks == 0 || h.Export < in.export || in.complete && h.Export == in.export {
		return added
	}
	if h.Export > in.export {
		in.export = h.Export
		clear(in.seen)
	}
	in.seen[h.Chunk] = true
	if len(in.seen) == int(h.Chunks) {
		in.complete = true
		asOf := snipetime.Instant(0).Add(time.Duration(h.AsOfMillis) * time.Millisecond)
		in.asOf = max(in.asOf, asOf)
	}
	return added
}

// Notice records that successor answers for the identifiers of a closed
// incarnation.
func (t *Table) Notice(closed, successor string, now snipetime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if closed == t.self || closed == successor {
		return
	}
	t.notices[closed] = notice{successor: successor, until: t.now.Add(2 * t.settings.Retention)}
}

// beginForeign decides about an identifier of another incarnation. A relayed
// request follows RelayTo at most once more, to the successor; a longer chain
// is answered unknown by the daemon.
func (t *Table) beginForeign(id RequestID) Decision {
	if _, ok := t.inherits[id.Incarnation]; ok {
		return t.decideInherited(id)
	}
	if n, ok := t.notices[id.Incarnation]; ok && n.successor != t.self {
		return Decision{Kind: RelayTo, Incarnation: n.successor}
	}
	return Decision{Kind: RelayTo, Incarnation: id.Incarnation}
}

func (t *Table) decideInherited(id RequestID) Decision {
	st := t.inherited(id)
	switch {
	case st.State == Finished, st.Result.Reason != "":
		return Decision{Kind: Stored, Result: st.Result}
	case st.State == NeverStarted:
		return refuse(ReasonStopping, OutcomeNotRun)
	}
	return refuse(ReasonIssuerUnreachable, OutcomeUnknown)
}

// inherited returns what the hand-over of the identifier's incarnation says.
func (t *Table) inherited(id RequestID) Status {
	in, ok := t.inherits[id.Incarnation]
	if !ok {
		return Status{}
	}
	if result, ok := in.records[id]; ok {
		r := record{result: result}
		return r.status()
	}
	// The issuer may have forgotten records of older identifiers before the
	// export. Both sides of this comparison are instants of the issuer.
	if !in.complete || !in.asOf.Before(id.issued().Add(t.settings.Retention)) {
		return Status{}
	}
	return Status{State: NeverStarted}
}

func (t *Table) tickInherited() {
	for name, in := range t.inherits {
		if t.now.After(in.until) {
			t.bytes -= in.bytes
			delete(t.inherits, name)
		}
	}
	for name, n := range t.notices {
		if t.now.After(n.until) {
			delete(t.notices, name)
		}
	}
}

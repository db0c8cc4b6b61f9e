package snipeonce

import (
	"cmp"
	"maps"
	"slices"
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
	// Sender is the incarnation that made the export: the issuer itself, or a
	// successor that hands an inherited hand-over on.
	Sender string
	// AsOfMillis is the issuer's instant of the export.
	AsOfMillis uint64
	// Export numbers the exports of the sender. Chunks of different exports
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
	// sets holds the chunks received, by sender.
	sets map[string]*chunkSet
	// complete tells that all records that the issuer had at asOf are here.
	complete bool
	asOf     snipetime.Instant
	until    snipetime.Instant
}

// chunkSet holds the chunks received of the newest export of one sender.
type chunkSet struct {
	export uint64
	seen   map[uint32]bool
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
// each, and nil before Close. There is at least one message. What other closed
// incarnations handed over to this one is part of it, so that a successor that
// stops leaves no identifier without an answer.
func (t *Table) Export(now snipetime.Instant, maxBytes int) []Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if !t.shut {
		return nil
	}
	t.exports++
	own := make([]HandoverRecord, 0, len(t.expiry))
	for _, r := range t.expiry {
		own = append(own, r.handover())
	}
	chunks := split(t.newChunk(), own, maxBytes)
	for _, name := range slices.Sorted(maps.Keys(t.inherits)) {
		chunks = append(chunks, t.handOn(name, maxBytes)...)
	}
	return chunks
}

// handOn returns the inherited hand-over of another incarnation. Where it is not
// complete, its messages are updates and cannot make it complete elsewhere.
func (t *Table) handOn(name string, maxBytes int) []Handover {
	in := t.inherits[name]
	records := make([]HandoverRecord, 0, len(in.records))
	for id, result := range in.records {
		records = append(records, HandoverRecord{ID: id, Result: result})
	}
	slices.SortFunc(records, func(a, b HandoverRecord) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	first := Handover{Incarnation: name, Sender: t.self, AsOfMillis: Millis(in.asOf), Export: t.exports}
	chunks := split(first, records, maxBytes)
	if !in.complete {
		for i := range chunks {
			chunks[i].Chunk, chunks[i].Chunks = 0, 0
		}
	}
	return chunks
}

// split distributes records over messages like first, at least one.
func split(first Handover, records []HandoverRecord, maxBytes int) []Handover {
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

// size returns the accounted bytes of the record at its receiver.
func (r HandoverRecord) size() int { return recordOverhead + r.Result.Answer.size() }

// Updates returns the records that have finished since Close. The daemon sends
// it again until the successor has acknowledged it.
func (t *Table) Updates(now snipetime.Instant) Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	h := t.newChunk()
	for _, id := range t.updates {
		if r, ok := t.records[id]; ok {
			h.Records = append(h.Records, r.handover())
		}
	}
	return h
}

func (t *Table) newChunk() Handover {
	return Handover{Incarnation: t.self, Sender: t.self, AsOfMillis: Millis(t.now), Export: t.exports}
}

func (r *record) handover() HandoverRecord {
	if r.running {
		return HandoverRecord{ID: r.id}
	}
	return HandoverRecord{ID: r.id, Result: r.result}
}

// Import adds a message of a closed incarnation. It returns false, and takes
// nothing, if the message is not acceptable, does not fit in the memory bound or
// arrives after Close, when it would not be handed on. Messages may be lost, repeated and reordered: a known outcome replaces
// an unknown one and is never replaced.
func (t *Table) Import(h Handover, now snipetime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if t.shut || h.Incarnation == t.self || h.Chunks > 0 && h.Chunk >= h.Chunks {
		return false
	}
	size := 0
	for _, r := range h.Records {
		if r.ID.Incarnation != h.Incarnation {
			return false
		}
		size += r.size()
	}
	if t.bytes+size > t.settings.MaxBytes {
		return false
	}
	in, ok := t.inherits[h.Incarnation]
	if !ok {
		in = &inheritance{records: make(map[RequestID]Result), sets: make(map[string]*chunkSet)}
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
	if h.Chunks > 0 && in.collect(h) {
		in.complete = true
		asOf := snipetime.Instant(0).Add(time.Duration(h.AsOfMillis) * time.Millisecond)
		in.asOf = max(in.asOf, asOf)
	}
	return added
}

// collect notes a chunk and reports whether its export is complete.
func (in *inheritance) collect(h Handover) bool {
	set, ok := in.sets[h.Sender]
	if !ok {
		set = &chunkSet{}
		in.sets[h.Sender] = set
	}
	if h.Export < set.export {
		return false
	}
	if h.Export > set.export || set.seen == nil {
		set.export, set.seen = h.Export, make(map[uint32]bool)
	}
	set.seen[h.Chunk] = true
	return len(set.seen) == int(h.Chunks)
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
// request follows RelayTo at most once more, to the last known successor; a
// longer chain is answered unknown by the daemon.
func (t *Table) beginForeign(id RequestID) Decision {
	if _, ok := t.inherits[id.Incarnation]; ok {
		return t.decideInherited(id)
	}
	if s := t.successor(id.Incarnation); s != t.self {
		return Decision{Kind: RelayTo, Incarnation: s}
	}
	return Decision{Kind: RelayTo, Incarnation: id.Incarnation}
}

// successor follows the notices from a closed incarnation to the last one. The
// bound is for notices that name each other.
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

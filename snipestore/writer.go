package snipestore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// Outcome is the outcome of a configuration change.
type Outcome int

// The outcomes of a change.
const (
	// Committed means that the change has taken effect permanently.
	Committed Outcome = iota + 1
	// Stale means that another change was committed first. This one has no
	// effect.
	Stale
	// Unclear means that the change may have been committed, or may yet be.
	Unclear
	// StoreBehind means that the generation in the store is lower than the base
	// or MinGeneration of the change. The change has no effect.
	StoreBehind
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Committed:
		return "committed"
	case Stale:
		return "stale"
	case Unclear:
		return "unclear"
	case StoreBehind:
		return "storeBehind"
	default:
		return "unknown"
	}
}

// Change is a change of the configuration.
type Change struct {
	// Operation identifies the change. No other change may have the same
	// identifier; a retry of the change must have it.
	Operation string
	// Base is the snapshot that the change is based on, nil for the first one.
	Base *snipeconfig.Snapshot
	// MinGeneration is the highest generation that is known to be in force, 0
	// if none is.
	MinGeneration uint64
	// Set are the documents to add or replace, Delete those to remove.
	Set    []*snipeconfig.Document
	Delete []snipeconfig.Ref
}

// NewOperation returns a random operation identifier.
func NewOperation() string {
	return "op-" + strings.ToLower(rand.Text())
}

// ReplaceAll returns the change that leads from base to exactly the given
// documents, except that drains of base that are not among them are kept.
func ReplaceAll(operation string, base *snipeconfig.Snapshot, documents []*snipeconfig.Document) Change {
	change := Change{Operation: operation, Base: base, Set: documents}
	if base == nil {
		return change
	}
	keep := make(map[snipeconfig.Ref]bool, len(documents))
	for _, d := range documents {
		keep[d.Ref()] = true
	}
	for _, d := range base.Documents() {
		if d.Ref().Kind != snipeconfig.KindDrain && !keep[d.Ref()] {
			change.Delete = append(change.Delete, d.Ref())
		}
	}
	return change
}

// ChangeResult is the result of a change.
type ChangeResult struct {
	outcome    Outcome
	generation uint64
	difference []string
}

// Outcome returns the outcome of the change.
func (r ChangeResult) Outcome() Outcome { return r.outcome }

// Generation returns the generation that the change led to if it is committed,
// the one that it would lead to if the outcome is unclear, else the one in the
// store.
func (r ChangeResult) Generation() uint64 { return r.generation }

// Difference returns, for a stale change, a description of how the configuration
// in the store differs from the base of the change, one line for each difference.
func (r ChangeResult) Difference() []string { return r.difference }

// maxWriteAttempts is how often a writer sends the same write while its outcome is
// not certain.
const maxWriteAttempts = 8

// Writer changes the configuration in the store.
type Writer struct {
	client *Client
	reader *Reader
}

// NewWriter returns a writer that uses the client.
func NewWriter(client *Client) *Writer {
	return &Writer{client: client, reader: NewReader(client)}
}

// Apply makes a change (section 4.9 of the design): it writes the new documents,
// to which no head refers yet, and commits them by a compare-and-swap of the
// head. An error means that this call had no effect and will have none: the
// configuration is invalid, or the store failed before the head was written.
// Apply can be retried with the same change; an error of the retry does not show
// the outcome of earlier calls that returned Unclear.
func (w *Writer) Apply(ctx context.Context, change Change) (ChangeResult, error) {
	if !snipeconfig.ValidName(change.Operation) {
		return ChangeResult{}, fmt.Errorf("operation identifier %q is not a name", change.Operation)
	}
	head, err := w.head(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	if report, done := w.checkBase(ctx, head, change); done {
		return report, nil
	}
	snapshot, err := nextSnapshot(change)
	if err != nil {
		return ChangeResult{}, err
	}
	next := head.next(snapshot)
	if err := w.writeDocuments(ctx, snapshot, next); err != nil {
		return ChangeResult{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return ChangeResult{}, fmt.Errorf("encode configuration head: %w", err)
	}
	return w.commit(ctx, change, head, value)
}

// head reads the head and returns a zero Head if there is none yet.
func (w *Writer) head(ctx context.Context) (Head, error) {
	head, err := w.reader.Head(ctx)
	if errors.Is(err, ErrNotFound) {
		return Head{}, nil
	}
	return head, err
}

// generationOf returns the generation of s, 0 for nil.
func generationOf(s *snipeconfig.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Generation()
}

// checkBase compares head with the base of the change. It returns true and a
// report if the outcome is already certain: the change was committed before, is
// stale, or the store is behind.
func (w *Writer) checkBase(ctx context.Context, head Head, change Change) (ChangeResult, bool) {
	if generation, ok := head.Committed(change.Operation); ok {
		return ChangeResult{outcome: Committed, generation: generation}, true
	}
	base := generationOf(change.Base)
	if head.Generation() < max(base, change.MinGeneration) {
		return ChangeResult{outcome: StoreBehind, generation: head.Generation()}, true
	}
	sameDigest := change.Base == nil || head.Digest() == change.Base.Digest()
	if head.Generation() == base && sameDigest {
		return ChangeResult{}, false
	}
	return w.staleReport(ctx, head, change), true
}

// staleReport returns the report of a stale change. The outcome is certain even if
// the documents for the difference cannot be read.
func (w *Writer) staleReport(ctx context.Context, head Head, change Change) ChangeResult {
	report := ChangeResult{outcome: Stale, generation: head.Generation()}
	if current, err := w.reader.LoadHead(ctx, head, nil); err != nil {
		report.difference = []string{"difference not available: " + err.Error()}
	} else {
		report.difference = snipeconfig.Diff(change.Base, current)
	}
	return report
}

// nextSnapshot returns the snapshot that results from the change, or an error if
// it or the transition to it is invalid.
func nextSnapshot(change Change) (*snipeconfig.Snapshot, error) {
	documents := map[snipeconfig.Ref]*snipeconfig.Document{}
	if change.Base != nil {
		for _, d := range change.Base.Documents() {
			documents[d.Ref()] = d
		}
	}
	for _, ref := range change.Delete {
		delete(documents, ref)
	}
	for _, d := range change.Set {
		documents[d.Ref()] = d
	}
	list := make([]*snipeconfig.Document, 0, len(documents))
	for _, d := range documents {
		list = append(list, d)
	}
	snapshot, err := snipeconfig.Build(generationOf(change.Base)+1, change.Operation, list)
	if err != nil {
		return nil, fmt.Errorf("check change %s: %w", change.Operation, err)
	}
	if err := snipeconfig.CheckChange(change.Base, snapshot).Err(); err != nil {
		return nil, fmt.Errorf("check change %s: %w", change.Operation, err)
	}
	return snapshot, nil
}

// writeDocuments writes the documents that the change adds or replaces.
func (w *Writer) writeDocuments(ctx context.Context, snapshot *snipeconfig.Snapshot, next headJSON) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for i, entry := range next.Documents {
		if entry.Operation != snapshot.Operation() {
			continue
		}
		d := snapshot.Documents()[i]
		group.Go(func() error { return w.writeDocument(ctx, entry.key(), d) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("write documents of %s: %w", snapshot.Operation(), err)
	}
	return nil
}

// writeDocument creates an immutable document. Retries are safe, because each of
// them writes the same value to the same key.
func (w *Writer) writeDocument(ctx context.Context, key string, d *snipeconfig.Document) error {
	delays := w.client.newBackoff()
	var err error
	for range maxWriteAttempts {
		_, err = w.client.Create(ctx, key, d.Canonical(), "")
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrConflict) {
			return w.checkDocument(ctx, key, d)
		}
		if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrBudget) {
			return err
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return err
		}
	}
	return err
}

// checkDocument returns an error unless the existing document at key is d.
func (w *Writer) checkDocument(ctx context.Context, key string, d *snipeconfig.Document) error {
	item, err := w.client.Get(ctx, key)
	if err != nil {
		return err
	}
	if !sameDocument(item.Value, d) {
		return fmt.Errorf("%s exists with another content: the operation identifier was used before", key)
	}
	return nil
}

// commit writes the head. Retries are safe, because each of them expects the same
// version, so that at most one takes effect.
func (w *Writer) commit(ctx context.Context, change Change, head Head, value []byte) (ChangeResult, error) {
	delays := w.client.newBackoff()
	generation := generationOf(change.Base) + 1
	uncertain := false
	var err error
	for range maxWriteAttempts {
		_, err = w.client.Put(ctx, HeadKey, value, head.Version(), "")
		if err == nil {
			return ChangeResult{outcome: Committed, generation: generation}, nil
		}
		if errors.Is(err, ErrTooLarge) && !uncertain {
			return ChangeResult{}, fmt.Errorf("write configuration head: %w", err)
		}
		uncertain = uncertain || mayHaveTakenEffect(err)
		if uncertain {
			if report, resolved := w.resolveOutcome(ctx, change, head); resolved {
				return report, nil
			}
		}
		if !sleep(ctx, delays.NextBackOff()) {
			break
		}
	}
	if !uncertain {
		return ChangeResult{}, fmt.Errorf("write configuration head: %w", err)
	}
	return ChangeResult{outcome: Unclear, generation: generation}, nil
}

// mayHaveTakenEffect reports whether a write of the head that failed with err, or
// an earlier one of the same change, may have taken effect. Status 503 does not
// exclude it. A conflict can be caused by an earlier attempt or an earlier call
// for the same change.
func mayHaveTakenEffect(err error) bool {
	var callError *CallError
	if errors.As(err, &callError) && callError.Status() == http.StatusServiceUnavailable {
		return true
	}
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrConflict)
}

// resolveOutcome reads the head after a write of it whose outcome is uncertain,
// and returns true and a report if the outcome is now certain. As long as the
// head still has the version that the write expects, the write can take effect
// later. If more than RecentOperations changes have followed the base, the head no
// longer shows whether the write took effect.
func (w *Writer) resolveOutcome(ctx context.Context, change Change, base Head) (ChangeResult, bool) {
	head, err := w.head(ctx)
	if err != nil {
		return ChangeResult{}, false
	}
	if generation, ok := head.Committed(change.Operation); ok {
		return ChangeResult{outcome: Committed, generation: generation}, true
	}
	if head.Version() <= base.Version() {
		return ChangeResult{}, false
	}
	if head.Generation() > base.Generation()+RecentOperations {
		return ChangeResult{}, false
	}
	return w.staleReport(ctx, head, change), true
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

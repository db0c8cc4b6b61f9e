package snipestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// The keys of the configuration in the store.
const (
	// HeadKey is the key of the head. A compare-and-swap of it commits a change.
	HeadKey = "config/head"
	// DocumentPrefix is the prefix of the keys of the immutable documents.
	DocumentPrefix = "config/docs/"
)

// RecentOperations is how many operation identifiers the head keeps. A writer
// whose response was lost finds its identifier in the head if its change was
// committed and fewer than this many changes have followed.
const RecentOperations = 64

// maxParallelLoads bounds the documents that are read or written concurrently.
const maxParallelLoads = 8

// ErrStoreBehind means that the store returned a lower generation than the one in
// force.
var ErrStoreBehind = errors.New("store is behind the generation in force")

// Head lists the documents of one generation, with their digests and keys.
type Head struct {
	// version is that of the item in the store, 0 if it does not exist.
	version uint64
	content headJSON
}

// headJSON is the value of the item at HeadKey.
type headJSON struct {
	Generation uint64            `json:"generation"`
	Operation  string            `json:"operation"`
	Digest     uint64            `json:"digest,string"`
	Documents  []headDocument    `json:"documents"`
	Recent     []recentOperation `json:"recentOperations"`
}

// headDocument names a document of the generation. Operation is the change that
// wrote it, which is a part of its key.
type headDocument struct {
	Kind      snipeconfig.Kind `json:"kind"`
	Name      string           `json:"name"`
	Operation string           `json:"operation"`
	Digest    uint64           `json:"digest,string"`
}

// recentOperation is a committed change and the generation that it led to.
type recentOperation struct {
	Operation  string `json:"operation"`
	Generation uint64 `json:"generation"`
}

func (d headDocument) ref() snipeconfig.Ref {
	return snipeconfig.Ref{Kind: d.Kind, Name: d.Name}
}

func (d headDocument) key() string { return documentKey(d.ref(), d.Operation) }

// documentKey returns the key of the version of a document that an operation
// wrote.
func documentKey(ref snipeconfig.Ref, operation string) string {
	return DocumentPrefix + ref.String() + "/" + operation
}

// ParseHead decodes the head from the item of HeadKey.
func ParseHead(item Item) (Head, error) {
	h := Head{version: item.Version}
	if err := json.Unmarshal(item.Value, &h.content); err != nil {
		return Head{}, fmt.Errorf("read %s: %w", HeadKey, err)
	}
	return h, nil
}

// Generation returns the generation that the head describes, 0 for a zero Head.
func (h Head) Generation() uint64 { return h.content.Generation }

// Digest returns the digest of the generation's documents.
func (h Head) Digest() uint64 { return h.content.Digest }

// Operation returns the identifier of the change that led to the generation.
func (h Head) Operation() string { return h.content.Operation }

// Version returns the version of the item in the store.
func (h Head) Version() uint64 { return h.version }

// Committed returns the generation that an operation led to, if it is among
// the recent operations.
func (h Head) Committed(operation string) (generation uint64, ok bool) {
	for _, recent := range h.content.Recent {
		if recent.Operation == operation {
			return recent.Generation, true
		}
	}
	return 0, false
}

// Reader reads configuration from the store.
type Reader struct{ client *Client }

// NewReader returns a reader that uses the client.
func NewReader(client *Client) *Reader { return &Reader{client: client} }

// Head reads the head. The error wraps ErrNotFound if there is none.
func (r *Reader) Head(ctx context.Context) (Head, error) {
	item, err := r.client.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, fmt.Errorf("read configuration head: %w", err)
	}
	return ParseHead(item)
}

// Load reads the head and the documents that differ from current, which may be
// nil. It returns current itself if its generation and digest are those of the
// head. The error wraps ErrStoreBehind if the generation of the head is lower than
// that of current, and snipeconfig.ErrDigest if a document does not have the
// digest that the head states.
func (r *Reader) Load(ctx context.Context, current *snipeconfig.Snapshot) (*snipeconfig.Snapshot, error) {
	head, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadHead(ctx, head, current)
}

// LoadHead reads the documents of head that differ from current, as Load does
// after it has read the head. It returns the errors of Load.
func (r *Reader) LoadHead(ctx context.Context, head Head, current *snipeconfig.Snapshot) (*snipeconfig.Snapshot, error) {
	if current != nil {
		if head.Generation() < current.Generation() {
			return nil, fmt.Errorf("generation %d, in force is %d: %w", head.Generation(), current.Generation(), ErrStoreBehind)
		}
		if head.Generation() == current.Generation() && head.Digest() == current.Digest() {
			return current, nil
		}
	}
	documents, err := r.documents(ctx, head, current)
	if err != nil {
		return nil, err
	}
	snapshot, err := snipeconfig.Build(head.Generation(), head.Operation(), documents)
	if err != nil {
		return nil, fmt.Errorf("build generation %d: %w", head.Generation(), err)
	}
	if snapshot.Digest() != head.Digest() {
		return nil, fmt.Errorf("generation %d: %w", head.Generation(), snipeconfig.ErrDigest)
	}
	return snapshot, nil
}

// documents returns the documents of head. It takes those with the same digest
// from current and reads the others concurrently.
func (r *Reader) documents(ctx context.Context, head Head, current *snipeconfig.Snapshot) ([]*snipeconfig.Document, error) {
	documents := make([]*snipeconfig.Document, len(head.content.Documents))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for i, entry := range head.content.Documents {
		if current != nil {
			if d, ok := current.Document(entry.ref()); ok && d.Digest() == entry.Digest {
				documents[i] = d
				continue
			}
		}
		group.Go(func() error {
			d, err := r.document(ctx, entry)
			documents[i] = d
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("load generation %d: %w", head.Generation(), err)
	}
	return documents, nil
}

// document reads one document and checks its digest.
func (r *Reader) document(ctx context.Context, entry headDocument) (*snipeconfig.Document, error) {
	item, err := r.client.Get(ctx, entry.key())
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	d, err := snipeconfig.ParseDocument(entry.key(), item.Value)
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	if d.Ref() != entry.ref() || d.Digest() != entry.Digest {
		return nil, fmt.Errorf("document %s: %w", entry.key(), snipeconfig.ErrDigest)
	}
	return d, nil
}

// next returns the head of a snapshot that replaces the generation of h. Documents
// that did not change keep their keys.
func (h Head) next(snapshot *snipeconfig.Snapshot) headJSON {
	previous := make(map[snipeconfig.Ref]headDocument, len(h.content.Documents))
	for _, entry := range h.content.Documents {
		previous[entry.ref()] = entry
	}
	next := headJSON{
		Generation: snapshot.Generation(),
		Operation:  snapshot.Operation(),
		Digest:     snapshot.Digest(),
		Recent:     append(slices.Clone(h.content.Recent), recentOperation{snapshot.Operation(), snapshot.Generation()}),
	}
	if excess := len(next.Recent) - RecentOperations; excess > 0 {
		next.Recent = next.Recent[excess:]
	}
	for _, d := range snapshot.Documents() {
		entry := headDocument{d.Ref().Kind, d.Ref().Name, snapshot.Operation(), d.Digest()}
		if old, kept := previous[d.Ref()]; kept && old.Digest == d.Digest() {
			entry = old
		}
		next.Documents = append(next.Documents, entry)
	}
	return next
}

// sameDocument reports whether a stored value is the canonical form of d.
func sameDocument(value []byte, d *snipeconfig.Document) bool {
	return bytes.Equal(value, d.Canonical())
}

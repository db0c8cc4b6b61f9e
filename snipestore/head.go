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
	// HeadKey is the key of the index. A compare-and-swap on it commits a
	// change.
	HeadKey = "config/head"
	// DocumentPrefix is the prefix of the immutable documents.
	DocumentPrefix = "config/docs/"
)

// RecentOperations is how many operation identifiers the index keeps. A writer
// that lost an answer finds out what became of its change while at most this
// many changes have followed.
const RecentOperations = 64

// maxParallelLoads bounds the documents that are read at the same time.
const maxParallelLoads = 8

// ErrBehind means that the store shows a lower generation than is in force.
var ErrBehind = errors.New("store is behind the generation in force")

// Head is the index of one generation.
type Head struct {
	version uint64
	wire    headWire
}

type headWire struct {
	Generation uint64            `json:"generation"`
	Operation  string            `json:"operation"`
	Digest     uint64            `json:"digest,string"`
	Documents  []headDocument    `json:"documents"`
	Recent     []recentOperation `json:"recentOperations"`
}

type headDocument struct {
	Kind      snipeconfig.Kind `json:"kind"`
	Name      string           `json:"name"`
	Operation string           `json:"operation"`
	Digest    uint64           `json:"digest,string"`
}

type recentOperation struct {
	Operation  string `json:"operation"`
	Generation uint64 `json:"generation"`
}

func (d headDocument) ref() snipeconfig.Ref {
	return snipeconfig.Ref{Kind: d.Kind, Name: d.Name}
}

func (d headDocument) key() string { return documentKey(d.ref(), d.Operation) }

func documentKey(ref snipeconfig.Ref, operation string) string {
	return DocumentPrefix + ref.String() + "/" + operation
}

// ParseHead reads an index from the item of HeadKey.
func ParseHead(item Item) (Head, error) {
	h := Head{version: item.Version}
	if err := json.Unmarshal(item.Value, &h.wire); err != nil {
		return Head{}, fmt.Errorf("read %s: %w", HeadKey, err)
	}
	return h, nil
}

// Generation returns the generation that the index belongs to.
func (h Head) Generation() uint64 { return h.wire.Generation }

// Digest returns the digest of the generation's documents.
func (h Head) Digest() uint64 { return h.wire.Digest }

// Operation returns the identifier of the change that led to the generation.
func (h Head) Operation() string { return h.wire.Operation }

// Version returns the version of the item in the store.
func (h Head) Version() uint64 { return h.version }

// Committed returns the generation that an operation led to, if it is among
// the recent operations.
func (h Head) Committed(operation string) (generation uint64, ok bool) {
	for _, recent := range h.wire.Recent {
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

// Head reads the index. The error wraps ErrNotFound if there is none.
func (r *Reader) Head(ctx context.Context) (Head, error) {
	item, err := r.client.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, fmt.Errorf("read index: %w", err)
	}
	return ParseHead(item)
}

// Load reads the index and the documents that differ from have, which may be
// nil. It returns have if it has the generation and the digest of the index.
// The error wraps ErrBehind if the store shows a lower generation than have.
func (r *Reader) Load(ctx context.Context, have *snipeconfig.Snapshot) (*snipeconfig.Snapshot, error) {
	head, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadHead(ctx, head, have)
}

// LoadHead reads the documents of an index that differ from have, as Load does
// after it has read the index.
func (r *Reader) LoadHead(ctx context.Context, head Head, have *snipeconfig.Snapshot) (*snipeconfig.Snapshot, error) {
	if have != nil {
		if head.Generation() < have.Generation() {
			return nil, fmt.Errorf("generation %d, in force is %d: %w", head.Generation(), have.Generation(), ErrBehind)
		}
		if head.Generation() == have.Generation() && head.Digest() == have.Digest() {
			return have, nil
		}
	}
	documents, err := r.documents(ctx, head, have)
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

func (r *Reader) documents(ctx context.Context, head Head, have *snipeconfig.Snapshot) ([]*snipeconfig.Document, error) {
	documents := make([]*snipeconfig.Document, len(head.wire.Documents))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLoads)
	for i, entry := range head.wire.Documents {
		if have != nil {
			if d, ok := have.Document(entry.ref()); ok && d.Digest() == entry.Digest {
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

// next returns the index that follows h with the documents of a snapshot.
func (h Head) next(snapshot *snipeconfig.Snapshot) headWire {
	operations := make(map[snipeconfig.Ref]headDocument, len(h.wire.Documents))
	for _, entry := range h.wire.Documents {
		operations[entry.ref()] = entry
	}
	wire := headWire{
		Generation: snapshot.Generation(),
		Operation:  snapshot.Operation(),
		Digest:     snapshot.Digest(),
		Recent:     append(slices.Clone(h.wire.Recent), recentOperation{snapshot.Operation(), snapshot.Generation()}),
	}
	if excess := len(wire.Recent) - RecentOperations; excess > 0 {
		wire.Recent = wire.Recent[excess:]
	}
	for _, d := range snapshot.Documents() {
		entry := headDocument{d.Ref().Kind, d.Ref().Name, snapshot.Operation(), d.Digest()}
		if old, kept := operations[d.Ref()]; kept && old.Digest == d.Digest() {
			entry = old
		}
		wire.Documents = append(wire.Documents, entry)
	}
	return wire
}

// sameDocument reports whether a stored value is the canonical form of d.
func sameDocument(value []byte, d *snipeconfig.Document) bool {
	return bytes.Equal(value, d.Canonical())
}

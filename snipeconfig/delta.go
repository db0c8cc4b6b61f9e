package snipeconfig

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrDigest means that a document, or the snapshot that results from a Delta, has
// another digest than the Delta states.
var ErrDigest = errors.New("digest of the configuration does not match")

// Version identifies the content of a document by the digest of its canonical form.
type Version struct {
	Ref    Ref
	Digest uint64
}

// Delta is the difference between the documents of an instance and a newer
// generation, which the instance obtains from a peer. It consists of whole
// documents. Each team has one, so that the size grows with the number of teams
// that differ and not with the number of all teams. The scheme follows
// Jiménez-Peris, Patiño-Martínez and Alonso, "An Algorithm for Non-Intrusive,
// Parallel Recovery of Replicated Data and its Correctness", with a document as
// the partition.
type Delta struct {
	Generation uint64
	Digest     uint64
	Operation  string
	Documents  []DeltaDocument
}

// DeltaDocument is one document that differs. Body is its canonical form, or nil
// if the document is deleted; Version then holds the digest before the deletion.
type DeltaDocument struct {
	Version Version
	Body    []byte
	Deleted bool
}

// Bytes returns the sum of the sizes of all bodies in bytes.
func (c Delta) Bytes() int {
	sum := 0
	for _, d := range c.Documents {
		sum += len(d.Body)
	}
	return sum
}

// Versions returns the versions of all documents, sorted by kind and name.
func (s *Snapshot) Versions() []Version {
	versions := make([]Version, len(s.documents))
	for i, d := range s.documents {
		versions[i] = Version{Ref: d.ref, Digest: d.digest}
	}
	return versions
}

// DeltaFrom returns the difference from the given versions of documents to the
// snapshot. Without versions the result holds every document.
func (s *Snapshot) DeltaFrom(have []Version) Delta {
	c := Delta{Generation: s.generation, Digest: s.digest, Operation: s.operation}
	known := make(map[Ref]uint64, len(have))
	for _, v := range have {
		known[v.Ref] = v.Digest
		if _, kept := s.Document(v.Ref); !kept {
			c.Documents = append(c.Documents, DeltaDocument{Version: v, Deleted: true})
		}
	}
	for _, d := range s.documents {
		if digest, ok := known[d.ref]; ok && digest == d.digest {
			continue
		}
		c.Documents = append(c.Documents, DeltaDocument{
			Version: Version{Ref: d.ref, Digest: d.digest},
			Body:    d.canonical,
		})
	}
	return c
}

// Apply returns the snapshot that results from applying the difference to base. A
// nil base has no documents. The error wraps ErrDigest if a document or the whole
// result has another digest than c states, as is the case if c was computed for
// another base. An error for invalid documents wraps a *FaultsError.
func (c Delta) Apply(base *Snapshot) (*Snapshot, error) {
	documents := map[Ref]*Document{}
	if base != nil {
		documents = indexByRef(base.documents)
	}
	for _, change := range c.Documents {
		if change.Deleted {
			delete(documents, change.Version.Ref)
			continue
		}
		d, err := change.parseVerified()
		if err != nil {
			return nil, err
		}
		documents[d.ref] = d
	}
	list := make([]*Document, 0, len(documents))
	for _, d := range documents {
		list = append(list, d)
	}
	s, err := Build(c.Generation, c.Operation, list)
	if err != nil {
		return nil, fmt.Errorf("build generation %d: %w", c.Generation, err)
	}
	if s.digest != c.Digest {
		return nil, fmt.Errorf("generation %d: %w", c.Generation, ErrDigest)
	}
	return s, nil
}

// parseVerified parses the document and checks that its reference and its digest
// are those of its version.
func (d DeltaDocument) parseVerified() (*Document, error) {
	if xxhash.Sum64(d.Body) != d.Version.Digest {
		return nil, fmt.Errorf("document %s: %w", d.Version.Ref, ErrDigest)
	}
	doc, err := ParseDocument(d.Version.Ref.String(), d.Body)
	if err != nil {
		return nil, fmt.Errorf("document %s: %w", d.Version.Ref, err)
	}
	if doc.ref != d.Version.Ref || doc.digest != d.Version.Digest {
		return nil, fmt.Errorf("document %s: %w", d.Version.Ref, ErrDigest)
	}
	return doc, nil
}

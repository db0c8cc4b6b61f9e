package snipecli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestore"
)

// storeCallsPerSecond is the rate limit of the store calls of one command. It is
// higher than that of an instance, 20 by default, because an apply writes one value
// per changed document and then ends.
const storeCallsPerSecond = 100

// openStore returns a client of the store, or a usage error if an address is invalid.
func (f *storeFlags) openStore() (*snipestore.Client, error) {
	for _, address := range f.Store {
		if err := checkAddress("--store", address); err != nil {
			return nil, err
		}
	}
	return snipestore.New(snipestore.Settings{Addresses: f.Store, CallsPerSecond: storeCallsPerSecond}), nil
}

// loadSnapshot reads the configuration in the store, and returns nil if there is
// none.
func loadSnapshot(ctx context.Context, client *snipestore.Client) (*snipeconfig.Snapshot, error) {
	snapshot, err := snipestore.NewReader(client).Load(ctx, nil)
	if errors.Is(err, snipestore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return snapshot, nil
}

// generationOf returns the generation of a snapshot, or 0 if it is nil.
func generationOf(snapshot *snipeconfig.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Generation()
}

// diffResult is the output of diff.
type diffResult struct {
	Generation  uint64   `json:"generation"`
	Differences []string `json:"differences"`
}

func (r diffResult) writeText(w io.Writer) error {
	if len(r.Differences) == 0 {
		return printf(w, "no difference from generation %d\n", r.Generation)
	}
	if err := printf(w, "differences from generation %d:\n", r.Generation); err != nil {
		return err
	}
	return printLines(w, r.Differences)
}

// Run implements the command.
func (c *diffCommand) Run(ctx context.Context, s *session) error {
	local, err := readDeployment(c.Directory)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client, err := c.openStore()
	if err != nil {
		return err
	}
	defer client.Close()
	stored, err := loadSnapshot(ctx, client)
	if err != nil {
		return err
	}
	lines := snipeconfig.Diff(stored, withDrains(local, stored))
	return s.print(diffResult{Generation: generationOf(stored), Differences: append([]string{}, lines...)})
}

// withDrains returns local with the drains of the store, which apply keeps. It
// returns local itself if a drain is invalid in it, for example because its target
// was removed; apply reports that.
func withDrains(local, stored *snipeconfig.Snapshot) *snipeconfig.Snapshot {
	if stored == nil {
		return local
	}
	documents := slices.Clone(local.Documents())
	for _, d := range stored.Documents() {
		if _, known := local.Document(d.Ref()); d.Ref().Kind == snipeconfig.KindDrain && !known {
			documents = append(documents, d)
		}
	}
	merged, err := snipeconfig.Build(1, "local", documents)
	if err != nil {
		return local
	}
	return merged
}

// getResult is the output of get without a document.
type getResult struct {
	Generation uint64        `json:"generation"`
	Operation  string        `json:"operation"`
	Documents  []versionWire `json:"documents"`
}

// versionWire is the JSON form of a document's reference and digest.
type versionWire struct {
	Document string `json:"document"`
	Digest   string `json:"digest"`
}

func (r getResult) writeText(w io.Writer) error {
	if err := printf(w, "generation %d by operation %s\n", r.Generation, r.Operation); err != nil {
		return err
	}
	for _, d := range r.Documents {
		if err := printf(w, "%s  %s\n", d.Digest, d.Document); err != nil {
			return err
		}
	}
	return nil
}

// documentResult is the output of get for one document.
type documentResult json.RawMessage

// MarshalJSON implements json.Marshaler.
func (r documentResult) MarshalJSON() ([]byte, error) { return r, nil }

func (r documentResult) writeText(w io.Writer) error {
	text, err := json.MarshalIndent(json.RawMessage(r), "", "  ")
	if err != nil {
		return fmt.Errorf("format document: %w", err)
	}
	return printf(w, "%s\n", text)
}

// Run implements the command.
func (c *getCommand) Run(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client, err := c.openStore()
	if err != nil {
		return err
	}
	defer client.Close()
	stored, err := loadSnapshot(ctx, client)
	if err != nil {
		return err
	}
	if stored == nil {
		return errors.New("the store holds no configuration")
	}
	result := getResult{Generation: stored.Generation(), Operation: stored.Operation()}
	for _, d := range stored.Documents() {
		if d.Ref().String() == c.Document {
			return s.print(documentResult(d.Canonical()))
		}
		result.Documents = append(result.Documents, versionWire{d.Ref().String(), fmt.Sprintf("%016x", d.Digest())})
	}
	if c.Document != "" {
		return fmt.Errorf("generation %d has no document %s", stored.Generation(), c.Document)
	}
	return s.print(result)
}

// Run implements the command.
func (c *applyCommand) Run(ctx context.Context, s *session) error {
	local, err := readDeployment(c.Directory)
	if err != nil {
		return err
	}
	return c.applyChange(ctx, s, func(operation string, base *snipeconfig.Snapshot) (snipestore.Change, error) {
		return snipestore.ReplaceAll(operation, base, local.Documents()), nil
	})
}

// Run implements the command.
func (c *drainCommand) Run(ctx context.Context, s *session) error {
	body, err := json.Marshal(drainWire{
		Kind: snipeconfig.KindDrain, Name: c.Name, Target: c.Target, Instance: c.Instance, Place: c.Place,
	})
	if err != nil {
		return fmt.Errorf("encode drain: %w", err)
	}
	document, err := snipeconfig.ParseDocument("drain "+c.Name, body)
	if err != nil {
		return fmt.Errorf("check drain: %w", err)
	}
	return c.applyChange(ctx, s, func(operation string, base *snipeconfig.Snapshot) (snipestore.Change, error) {
		if base == nil {
			return snipestore.Change{}, errors.New("the store holds no configuration")
		}
		return snipestore.Change{Operation: operation, Base: base, Set: []*snipeconfig.Document{document}}, nil
	})
}

// drainWire is the JSON form of a drain document.
type drainWire struct {
	Kind     snipeconfig.Kind `json:"kind"`
	Name     string           `json:"name"`
	Target   string           `json:"target,omitempty"`
	Instance string           `json:"instance,omitempty"`
	Place    string           `json:"place,omitempty"`
}

// Run implements the command.
func (c *undrainCommand) Run(ctx context.Context, s *session) error {
	ref := snipeconfig.Ref{Kind: snipeconfig.KindDrain, Name: c.Name}
	return c.applyChange(ctx, s, func(operation string, base *snipeconfig.Snapshot) (snipestore.Change, error) {
		if base == nil {
			return snipestore.Change{}, errors.New("the store holds no configuration")
		}
		if _, known := base.Document(ref); !known {
			return snipestore.Change{}, fmt.Errorf("generation %d has no drain %s", base.Generation(), c.Name)
		}
		return snipestore.Change{Operation: operation, Base: base, Delete: []snipeconfig.Ref{ref}}, nil
	})
}

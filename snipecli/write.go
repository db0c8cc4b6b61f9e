package snipecli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestore"
)

// changeResult is the output of a command that changes the configuration.
type changeResult struct {
	Outcome    string   `json:"outcome"`
	Operation  string   `json:"operation"`
	Generation uint64   `json:"generation"`
	Difference []string `json:"difference,omitempty"`
	Awaited    bool     `json:"awaited"`
	InForce    bool     `json:"inForce"`
	Instances  int      `json:"instances"`
	Missing    []member `json:"missing,omitempty"`
}

func (r changeResult) writeText(w io.Writer) error {
	if r.Outcome != snipestore.Committed.String() {
		return printLines(w, r.Difference)
	}
	if err := printf(w, "generation %d committed by operation %s\n", r.Generation, r.Operation); err != nil {
		return err
	}
	switch {
	case !r.Awaited:
		return printf(w, "did not wait for the instances\n")
	case r.Instances == 0:
		return printf(w, "no live instance has reported\n")
	case r.InForce:
		return printf(w, "in force on all %d live instances\n", r.Instances)
	}
	return printf(w, "in force on %d of %d live instances\n", r.Instances-len(r.Missing), r.Instances)
}

// changeBuilder returns the change that a command makes to base, the snapshot in the
// store, which is nil if the store holds no configuration.
type changeBuilder func(operation string, base *snipeconfig.Snapshot) (snipestore.Change, error)

// applyChange writes a change to the store, waits until it is in force if --admin is
// given, and prints the outcome. A change that is not committed is an error.
func (f *changeFlags) applyChange(ctx context.Context, s *session, build changeBuilder) error {
	operation := f.Operation
	if operation == "" {
		operation = snipestore.NewOperation()
	}
	if !snipeconfig.ValidName(operation) {
		return withStatus(ExitUsage, fmt.Errorf("--operation: %q is not a name of lower-case letters, digits and hyphens", operation))
	}
	if f.Admin != "" {
		if err := checkAddress("--admin", f.Admin); err != nil {
			return err
		}
	}
	client, err := f.openStore()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := f.writeChange(ctx, client, operation, build)
	if err != nil {
		return err
	}
	if result.Outcome == snipestore.Committed.String() && f.Admin != "" {
		return f.await(ctx, s, result)
	}
	if err := s.print(result); err != nil {
		return err
	}
	return outcomeError(result)
}

// outcomeError returns the error of a change that is not known to be committed, or
// nil.
func outcomeError(r changeResult) error {
	switch r.Outcome {
	case snipestore.Committed.String():
		return nil
	case snipestore.Stale.String():
		return fmt.Errorf("change is stale: the store is at generation %d; check the difference and repeat the command", r.Generation)
	case snipestore.StoreBehind.String():
		return fmt.Errorf("change rejected: the store returned generation %d, but a higher one is in force", r.Generation)
	}
	return withStatus(ExitUnclear, fmt.Errorf("outcome of the change to generation %d is unclear: it may have been committed, or may still be; "+
		"repeat the command with --operation %s to find out", r.Generation, r.Operation))
}

// writeChange writes the change to the store. If the operation was committed before,
// it returns that generation and writes nothing. If --base names another generation
// than the one in the store, the change is stale and is not written.
func (f *changeFlags) writeChange(ctx context.Context, client *snipestore.Client, operation string, build changeBuilder) (changeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	result := changeResult{Operation: operation}
	head, err := snipestore.NewReader(client).Head(ctx)
	if err != nil && !errors.Is(err, snipestore.ErrNotFound) {
		return result, fmt.Errorf("look up operation in the store: %w", err)
	}
	if generation, ok := head.Committed(operation); ok {
		result.Outcome, result.Generation = snipestore.Committed.String(), generation
		return result, nil
	}
	base, err := loadSnapshot(ctx, client)
	if err != nil {
		return result, err
	}
	change, err := build(operation, base)
	if err != nil {
		return result, err
	}
	if f.Base != 0 && f.Base != generationOf(base) {
		result.Outcome, result.Generation = snipestore.Stale.String(), generationOf(base)
		result.Difference = changeLines(base, change)
		return result, nil
	}
	if f.Admin != "" {
		change.MinGeneration = knownGeneration(ctx, f.Admin)
	}
	report, err := snipestore.NewWriter(client).Apply(ctx, change)
	if err != nil {
		return result, fmt.Errorf("change configuration:\n%w", err)
	}
	result.Outcome, result.Generation = report.Outcome().String(), report.Generation()
	result.Difference = report.Difference()
	return result, nil
}

// changeLines returns the lines by which the change would alter the stored
// configuration. The store no longer holds the generation that --base names, so that
// the difference between the two generations cannot be shown.
func changeLines(stored *snipeconfig.Snapshot, change snipestore.Change) []string {
	superseded := make(map[snipeconfig.Ref]bool)
	for _, ref := range change.Delete {
		superseded[ref] = true
	}
	for _, d := range change.Set {
		superseded[d.Ref()] = true
	}
	var before []*snipeconfig.Document
	if stored != nil {
		before = stored.Documents()
	}
	after := append([]*snipeconfig.Document{}, change.Set...)
	for _, d := range before {
		if !superseded[d.Ref()] {
			after = append(after, d)
		}
	}
	return snipeconfig.DiffDocuments(before, after)
}

package snipeconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Fault is one reason why a document is rejected. Line and Column count from
// one; Column counts bytes. Line and Column are zero if the fault concerns the
// whole set of documents and no line of a file.
type Fault struct {
	File    string
	Line    int
	Column  int
	Message string
}

// String returns the fault in the form file:line:column: message, or file:
// message if it has no line.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults is a list of faults that is sorted by file, line, column and message.
type Faults []Fault

// String returns one line per fault.
func (fs Faults) String() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns fs as an error, or nil if fs is empty.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return &FaultsError{faults: fs}
}

// FaultsError is the error that lists the faults of one or more documents.
type FaultsError struct{ faults Faults }

// Error returns one line per fault.
func (e *FaultsError) Error() string { return e.faults.String() }

// Faults returns the faults in their fixed order. There is at least one.
func (e *FaultsError) Faults() Faults { return e.faults }

// AsFaults returns the faults that err wraps, if it wraps any.
func AsFaults(err error) (Faults, bool) {
	var e *FaultsError
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.faults, true
}

// sorted sorts fs by file, line, column and message, and returns it without
// repeated entries.
func (fs Faults) sorted() Faults {
	slices.SortFunc(fs, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(fs)
}

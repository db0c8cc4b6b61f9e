package snipeconfig

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDocumentBytes is the size of the largest accepted document. It equals the
// size of the largest value that the store accepts.
const MaxDocumentBytes = 1 << 20

// Source is a decoded document with its faults. It holds the offset of each
// value, so that later checks can report faults with line and column. It is not
// safe for concurrent use.
type Source struct {
	file string
	root hujson.Value
	// parsed is false if the document is too large or has a syntax error.
	parsed bool
	// offsets holds the byte offset of each value by its path, and that of each
	// key by the keyPath of its value.
	offsets map[string]int
	faults  Faults
	// lineStarts holds the offsets of the starts of lines after the first.
	lineStarts []int
	// faultyOffsets holds the offsets of values with faults.
	faultyOffsets map[int]bool
}

// newSource parses data into a syntax tree and records a fault if that fails.
func newSource(file string, data []byte) *Source {
	s := &Source{file: file, offsets: map[string]int{"": 0}, faultyOffsets: map[int]bool{}}
	if len(data) > MaxDocumentBytes {
		s.addFault(0, fmt.Sprintf("document has %d bytes, more than %d", len(data), MaxDocumentBytes))
		return s
	}
	for i, c := range data {
		if c == '\n' {
			s.lineStarts = append(s.lineStarts, i+1)
		}
	}
	// The syntax tree refers to the parser's input, and the caller may reuse
	// data.
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		s.syntaxFault(err)
		return s
	}
	s.root = root
	s.parsed = true
	return s
}

// File returns the file name that was passed to Decode.
func (s *Source) File() string { return s.file }

// Faults returns the faults recorded so far in their fixed order.
func (s *Source) Faults() Faults { return s.faults.sorted() }

// Err returns the faults recorded so far as a *FaultsError, or nil without faults.
func (s *Source) Err() error { return s.Faults().Err() }

// Faultf records a fault at the value with the given path. A path consists of
// field names, map keys and indices, joined by slashes. If the document has no
// such value, the fault is reported at the nearest ancestor that it has.
func (s *Source) Faultf(path, format string, args ...any) {
	s.addFault(s.offset(path), fmt.Sprintf(format, args...))
}

// Fault returns a fault at the value with the given path, which Faultf describes,
// without recording it.
func (s *Source) Fault(path, message string) Fault {
	line, column := s.position(s.offset(path))
	return Fault{File: s.file, Line: line, Column: column, Message: message}
}

// keyPath returns the path under which offsets holds the offset of a value's key,
// in contrast to the offset of the value itself.
func keyPath(path string) string { return path + "\x00" }

// offset returns the offset of the value or key with the given path, or that of
// its nearest ancestor in the document.
func (s *Source) offset(path string) int {
	for {
		if offset, ok := s.offsets[path]; ok {
			return offset
		}
		path = strings.TrimSuffix(path, "\x00")
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return s.offsets[""]
		}
		path = path[:i]
	}
}

// addFault records a fault at an offset.
func (s *Source) addFault(offset int, message string) {
	line, column := s.position(offset)
	s.faultyOffsets[offset] = true
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: column, Message: message})
}

// position returns the line and the column, both counted from one, of an offset.
func (s *Source) position(offset int) (line, column int) {
	lineIndex, _ := slices.BinarySearch(s.lineStarts, offset+1)
	if lineIndex == 0 {
		return 1, offset + 1
	}
	return lineIndex + 1, offset - s.lineStarts[lineIndex-1] + 1
}

// syntaxFault records a parser error as a fault. It extracts line and column
// from the text of the error, because the parser has no error type with them.
func (s *Source) syntaxFault(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	location, message, found := strings.Cut(text, ": ")
	n, scanErr := fmt.Sscanf(location, "line %d, column %d", &line, &column)
	if !found || scanErr != nil || n != 2 {
		s.addFault(0, text)
		return
	}
	if cause := errors.Unwrap(err); cause != nil {
		message = cause.Error()
	}
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: column, Message: message})
}

package snipeconfig

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDocumentBytes is the largest accepted document, which is the size of the
// largest value that the store holds.
const MaxDocumentBytes = 1 << 20

// Source is a decoded document. It remembers where each value stands, so that
// later checks can name line and column. It is not safe for concurrent use.
type Source struct {
	file    string
	root    hujson.Value
	valid   bool
	offsets map[string]int
	faults  Faults
	// lines holds the offsets of the starts of lines after the first.
	lines []int
	// faulty holds the offsets of values with faults.
	faulty map[int]bool
}

// newSource parses data to a syntax tree and records a fault if that fails.
func newSource(file string, data []byte) *Source {
	s := &Source{file: file, offsets: map[string]int{"": 0}, faulty: map[int]bool{}}
	if len(data) > MaxDocumentBytes {
		s.addAt(0, fmt.Sprintf("document has %d bytes, more than %d", len(data), MaxDocumentBytes))
		return s
	}
	for i, c := range data {
		if c == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	// The parser keeps parts of its input, and the caller may reuse data.
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		s.syntaxFault(err)
		return s
	}
	s.root = root
	s.valid = true
	return s
}

// File returns the file name that was passed to Decode.
func (s *Source) File() string { return s.file }

// Faults returns the faults recorded so far in their fixed order.
func (s *Source) Faults() Faults { return s.faults.sorted() }

// Err returns the faults recorded so far as an error, or nil without faults.
func (s *Source) Err() error { return s.Faults().Err() }

// Faultf records a fault at the value with the given path. A path consists of
// field names, map keys and indices, joined by slashes. If the document has no
// such value, the fault stands at its nearest ancestor.
func (s *Source) Faultf(path, format string, args ...any) {
	s.addAt(s.offset(path), fmt.Sprintf(format, args...))
}

// Fault returns a fault at the value with the given path without recording it.
func (s *Source) Fault(path, message string) Fault {
	line, column := s.position(s.offset(path))
	return Fault{File: s.file, Line: line, Column: column, Message: message}
}

// keyPath returns the path under which the position of the key of a value is
// kept, in contrast to the position of the value itself.
func keyPath(path string) string { return path + "\x00" }

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

func (s *Source) addAt(offset int, message string) {
	line, column := s.position(offset)
	s.faulty[offset] = true
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: column, Message: message})
}

func (s *Source) position(offset int) (line, column int) {
	before, _ := slices.BinarySearch(s.lines, offset+1)
	if before == 0 {
		return 1, offset + 1
	}
	return before + 1, offset - s.lines[before-1] + 1
}

// syntaxFault takes line and column out of the text of a parser error, because
// the parser has no error type that carries them.
func (s *Source) syntaxFault(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	place, message, found := strings.Cut(text, ": ")
	n, scanErr := fmt.Sscanf(place, "line %d, column %d", &line, &column)
	if !found || scanErr != nil || n != 2 {
		s.addAt(0, text)
		return
	}
	if cause := errors.Unwrap(err); cause != nil {
		message = cause.Error()
	}
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: column, Message: message})
}

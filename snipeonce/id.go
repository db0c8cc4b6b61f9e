package snipeonce

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	maxIncarnationLength = 64
	maxIDLength          = 192
)

// ErrBadID is wrapped by all errors that ParseRequestID and ParseAttemptID
// return.
var ErrBadID = errors.New("malformed identifier")

// RequestID identifies one request of a caller. It is comparable.
type RequestID struct {
	// Issuer is the only process that may start the request.
	Issuer string
	// Generator is the incarnation that generated the prefix.
	Generator string
	// Sequence is the number of the prefix at its generator, from 1.
	Sequence uint64
	// IssuedAt is an instant of the issuer, in milliseconds, that is not later
	// than the generation of the prefix.
	IssuedAt uint64
	// Counter is chosen by the caller and distinguishes requests with one prefix.
	Counter uint64
}

// Prefix returns the identifier without its counter, as a look-up returns it.
func (id RequestID) Prefix() string {
	return id.Issuer + "-" + id.Generator + "-" + strconv.FormatUint(id.Sequence, 10) +
		"-" + strconv.FormatUint(id.IssuedAt, 10)
}

// String returns the canonical text of the identifier.
func (id RequestID) String() string {
	return id.Prefix() + "." + strconv.FormatUint(id.Counter, 10)
}

// issued returns IssuedAt as an instant of the issuer.
func (id RequestID) issued() snipetime.Instant {
	return snipetime.Instant(0).Add(time.Duration(id.IssuedAt) * time.Millisecond)
}

// ParseRequestID parses the canonical text of an identifier and rejects any
// other spelling, so that two spellings cannot denote one request. Its errors
// wrap ErrBadID.
func ParseRequestID(s string) (RequestID, error) {
	if len(s) > maxIDLength {
		return RequestID{}, fmt.Errorf("request identifier of %d bytes: %w", len(s), ErrBadID)
	}
	prefix, counter, ok := strings.Cut(s, ".")
	if !ok {
		return RequestID{}, fmt.Errorf("request identifier without counter: %w", ErrBadID)
	}
	parts := strings.Split(prefix, "-")
	if len(parts) != 4 {
		return RequestID{}, fmt.Errorf("request identifier prefix of %d parts: %w", len(parts), ErrBadID)
	}
	id := RequestID{Issuer: parts[0], Generator: parts[1]}
	if !ValidIncarnation(id.Issuer) || !ValidIncarnation(id.Generator) {
		return RequestID{}, fmt.Errorf("request identifier incarnation: %w", ErrBadID)
	}
	var err error
	if id.Sequence, err = parseNumber(parts[2]); err != nil {
		return RequestID{}, err
	}
	if id.IssuedAt, err = parseNumber(parts[3]); err != nil {
		return RequestID{}, err
	}
	if id.Counter, err = parseNumber(counter); err != nil {
		return RequestID{}, err
	}
	if id.IssuedAt > maxIssuedAtMillis {
		return RequestID{}, fmt.Errorf("issue time %d: %w", id.IssuedAt, ErrBadID)
	}
	return id, nil
}

// maxIssuedAtMillis is the largest accepted issue time, in milliseconds. It
// leaves room in an Instant for the retention that is added to it.
const maxIssuedAtMillis = uint64(1) << 42

// ValidIncarnation reports whether s consists of 1 to 64 ASCII letters and
// digits.
func ValidIncarnation(s string) bool {
	if s == "" || len(s) > maxIncarnationLength {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit {
			return false
		}
	}
	return true
}

// parseNumber parses decimal digits without a sign or leading zeros.
func parseNumber(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != s {
		return 0, fmt.Errorf("number %q: %w", s, ErrBadID)
	}
	return n, nil
}

// AttemptID identifies one relayed attempt. The sender numbers its attempts to
// one receiver with increasing Sequence, so that the receiver can discard old
// attempts without ever admitting one twice.
type AttemptID struct {
	// Sender is the incarnation of the sender.
	Sender string
	// Sequence is the number of the attempt at its sender.
	Sequence uint64
}

// String returns the canonical text of the identifier.
func (id AttemptID) String() string { return id.Sender + "-" + strconv.FormatUint(id.Sequence, 10) }

// ParseAttemptID parses the canonical text of an attempt identifier. Its errors
// wrap ErrBadID.
func ParseAttemptID(s string) (AttemptID, error) {
	sender, number, ok := strings.Cut(s, "-")
	if !ok || !ValidIncarnation(sender) {
		return AttemptID{}, fmt.Errorf("attempt identifier: %w", ErrBadID)
	}
	n, err := parseNumber(number)
	if err != nil {
		return AttemptID{}, err
	}
	return AttemptID{Sender: sender, Sequence: n}, nil
}

// IDGenerator generates unique identifier prefixes. It is safe for concurrent use.
//
// The issue time must be an instant of the issuer that the prefix names. A
// generator that names another process as the issuer uses the latest instant that a
// heartbeat of that process carried, unchanged. That instant precedes the
// generation of the prefix whatever the delay of the heartbeat. The start window
// can therefore only end earlier than with the exact time, and no two clocks are
// compared. A generator without a recent heartbeat names itself.
type IDGenerator struct {
	self string
	n    atomic.Uint64
}

// NewIDGenerator returns a generator for the process incarnation self. It panics if
// self is not a valid incarnation.
func NewIDGenerator(self string) *IDGenerator {
	if !ValidIncarnation(self) {
		panic("snipeonce: invalid incarnation " + strconv.Quote(self))
	}
	return &IDGenerator{self: self}
}

// Issue returns a new identifier with counter 0 and the generator itself as issuer.
func (m *IDGenerator) Issue(now snipetime.Instant) RequestID {
	return m.IssueFor(m.self, Millis(now))
}

// IssueFor returns a new identifier with counter 0 and the given issuer.
// heartbeatMillis is the latest instant, in milliseconds, that a heartbeat of
// the issuer carried.
func (m *IDGenerator) IssueFor(issuer string, heartbeatMillis uint64) RequestID {
	return RequestID{Issuer: issuer, Generator: m.self, Sequence: m.n.Add(1), IssuedAt: heartbeatMillis}
}

// Millis returns the instant in whole milliseconds, rounded down and at least 0.
func Millis(now snipetime.Instant) uint64 {
	return uint64(max(0, now.Sub(0).Milliseconds()))
}

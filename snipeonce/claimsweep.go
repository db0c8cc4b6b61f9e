package snipeonce

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	defaultKeyRetention    = time.Hour
	defaultLongestDeadline = time.Minute
	// sweepDriftDivisor bounds the difference of clock rates at 1 %.
	sweepDriftDivisor = 100
	// marksPerRetention bounds the marks of a sweep. More of them delete claims
	// closer to their retention.
	marksPerRetention = 16
)

// SweepSettings configures a ClaimSweep. The zero value of a field selects its
// default.
type SweepSettings struct {
	// KeyRetention is how long a key is kept after the deadline of the request
	// that claimed it (default 1 h). It must exceed the delay of a relayed
	// attempt.
	KeyRetention time.Duration
	// LongestDeadline bounds the time from the start of a claim to the deadline
	// of its request (default 1 min).
	LongestDeadline time.Duration
}

// ClaimSweep decides which key claims may be deleted. Versions and revisions of
// the store are one rising counter: a claim whose version is not above a revision
// was written before that revision was seen. A claim may be deleted once its
// version is not above a revision that was seen KeyRetention and LongestDeadline
// ago, with 1 % for the drift of clocks. Until then its request can still run or
// be repeated.
//
// The rule needs no time in the claim, no comparison of clocks and no list of
// claims, and covers claims whose writer has died. Any number of instances can
// sweep: a claim is deleted by its version, so that a newer one stays. A restart
// only delays the deletion. ClaimSweep is safe for concurrent use.
type ClaimSweep struct {
	wait, spacing time.Duration

	mu sync.Mutex
	// marks are revisions in the order in which they were seen.
	marks   []sweepMark
	horizon uint64
}

type sweepMark struct {
	at       snipetime.Instant
	revision uint64
}

// NewClaimSweep returns a sweep that has seen no revision.
func NewClaimSweep(s SweepSettings) *ClaimSweep {
	setDefault(&s.KeyRetention, defaultKeyRetention)
	setDefault(&s.LongestDeadline, defaultLongestDeadline)
	wait := s.KeyRetention + s.LongestDeadline
	return &ClaimSweep{wait: wait + wait/sweepDriftDivisor, spacing: wait / marksPerRetention}
}

// Seen takes the revision of a read or list of the store. now is an instant
// after the reply arrived.
func (s *ClaimSweep) Seen(revision uint64, now snipetime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.marks); n > 0 && now.Before(s.marks[n-1].at.Add(s.spacing)) {
		return
	}
	s.marks = append(s.marks, sweepMark{at: now, revision: revision})
	s.advance(now)
}

// advance moves the horizon over the marks that are old enough.
func (s *ClaimSweep) advance(now snipetime.Instant) {
	for len(s.marks) > 0 && !now.Before(s.marks[0].at.Add(s.wait)) {
		s.horizon = max(s.horizon, s.marks[0].revision)
		s.marks = s.marks[1:]
	}
}

// Expired reports whether a claim with the given version may be deleted, by a
// call that deletes this version only.
func (s *ClaimSweep) Expired(version uint64, now snipetime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return version <= s.horizon
}

package snipeonce

import (
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	defaultKeyRetention    = time.Hour
	defaultLongestDeadline = time.Minute
	// clockDriftDivisor sets the tolerated difference of clock rates to 1/100.
	clockDriftDivisor = 100
	// samplesPerRetention bounds the revision samples of a ClaimSweep. A larger
	// number deletes claims sooner after their retention has passed.
	samplesPerRetention = 16
)

// SweepSettings configures a ClaimSweep. The zero value of a field selects its
// default.
type SweepSettings struct {
	// KeyRetention is how long a claimed key is kept after the deadline of the
	// request that claimed it (default 1 h). It must exceed the longest time by
	// which a relayed attempt can start after that deadline.
	KeyRetention time.Duration
	// MaxDeadline is the longest time from the start of a claim to the
	// deadline of its request (default 1 min).
	MaxDeadline time.Duration
}

// ClaimSweep decides which claims of idempotency keys have expired. Versions of
// keys and revisions of the store come from one increasing counter: a claim whose
// version is at most a given revision was written before that revision was
// observed. A claim expires once its version is at most a revision that was
// observed KeyRetention plus MaxDeadline ago, plus 1 % for clock drift. Until
// then its request can still run or be repeated.
//
// A store that is restored from an older copy gives out versions again. Two
// observations in a row below the highest one therefore replace all that are higher.
// A single one may be an outdated read.
//
// The rule needs no timestamp in the claim, no comparison of clocks and no list
// of claims, and covers claims whose writer has crashed. Any number of instances
// can sweep at the same time: a claim is deleted only at its version, so a newer
// claim of the key stays. A restart of an instance only delays deletions.
// ClaimSweep is safe for concurrent use.
type ClaimSweep struct {
	minAge, sampleInterval time.Duration

	mu sync.Mutex
	// samples holds the revisions younger than minAge in the order of their
	// observation, at least sampleInterval apart.
	samples []revisionSample
	// expiredRevision is the highest revision observed at least minAge ago.
	expiredRevision uint64
	// highestRevision is the highest revision observed, and decreased means that the
	// last one, lowRevision, was lower.
	highestRevision, lowRevision uint64
	decreased                    bool
}

// revisionSample is a revision of the store and when it was observed.
type revisionSample struct {
	observedAt snipetime.Instant
	revision   uint64
}

// NewClaimSweep returns a sweep that has observed no revision yet.
func NewClaimSweep(s SweepSettings) *ClaimSweep {
	setDefault(&s.KeyRetention, defaultKeyRetention)
	setDefault(&s.MaxDeadline, defaultLongestDeadline)
	minAge := s.KeyRetention + s.MaxDeadline
	return &ClaimSweep{minAge: minAge + minAge/clockDriftDivisor, sampleInterval: minAge / samplesPerRetention}
}

// ObserveRevision records the store revision that a read or list returned. now
// must not be before the arrival of the reply.
func (s *ClaimSweep) ObserveRevision(revision uint64, now snipetime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkDecrease(revision)
	if n := len(s.samples); n > 0 && now.Before(s.samples[n-1].observedAt.Add(s.sampleInterval)) {
		return
	}
	s.samples = append(s.samples, revisionSample{observedAt: now, revision: revision})
	s.updateExpiredRevision(now)
}

// checkDecrease compares an observed revision with the highest one. The second lower
// one in a row replaces the highest one.
func (s *ClaimSweep) checkDecrease(revision uint64) {
	switch {
	case revision >= s.highestRevision:
		s.highestRevision, s.decreased = revision, false
	case s.decreased:
		s.highestRevision, s.decreased = max(revision, s.lowRevision), false
		s.forgetAbove(min(revision, s.lowRevision))
	default:
		s.lowRevision, s.decreased = revision, true
	}
}

// forgetAbove forgets that revisions above the given one were observed.
func (s *ClaimSweep) forgetAbove(revision uint64) {
	s.samples = slices.DeleteFunc(s.samples, func(sample revisionSample) bool { return sample.revision > revision })
	s.expiredRevision = min(s.expiredRevision, revision)
}

// updateExpiredRevision removes the samples of age minAge or more and raises
// expiredRevision to them.
func (s *ClaimSweep) updateExpiredRevision(now snipetime.Instant) {
	for len(s.samples) > 0 && !now.Before(s.samples[0].observedAt.Add(s.minAge)) {
		s.expiredRevision = max(s.expiredRevision, s.samples[0].revision)
		s.samples = s.samples[1:]
	}
}

// Expired reports whether a claim with the given version may be deleted. The
// deletion must be conditional on that version.
func (s *ClaimSweep) Expired(version uint64, now snipetime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateExpiredRevision(now)
	return version <= s.expiredRevision
}

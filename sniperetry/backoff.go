package sniperetry

import (
	"math/rand/v2"
	"time"
)

// Defaults of BackoffSettings.
const (
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// BackoffSettings are the parameters of Backoff. Zero fields mean defaults.
type BackoffSettings struct {
	// Base bounds the delay before the first retry.
	Base time.Duration
	// Max bounds the delay before any retry.
	Max time.Duration
}

func (s BackoffSettings) withDefaults() BackoffSettings {
	if s.Base <= 0 {
		s.Base = DefaultBackoffBase
	}
	if s.Max <= 0 {
		s.Max = DefaultBackoffMax
	}
	return s
}

// Backoff returns the delay before the given retry (the first is 1), uniform in
// [0, min(Max, Base × 2^(retry-1))]. The ExponentialBackOff of
// cenkalti/backoff/v5 draws from the global random source, which cannot be
// seeded, and keeps its state per request.
func Backoff(settings BackoffSettings, retry int, random *rand.Rand) time.Duration {
	s := settings.withDefaults()
	bound := s.Base
	for i := 1; i < retry && bound < s.Max; i++ {
		bound *= 2
	}
	bound = min(bound, s.Max)
	return time.Duration(random.Int64N(int64(bound) + 1))
}

package sniperetry

import (
	"math/rand/v2"
	"time"
)

// Defaults of BackoffSettings, which zero or negative fields select.
const (
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// BackoffSettings are the parameters of Backoff. Zero or negative fields select the
// defaults.
type BackoffSettings struct {
	// Base is the upper bound of the delay before the first retry; default 10 ms. The
	// bound doubles with each further retry.
	Base time.Duration
	// Max is the upper bound of the delay before any retry; default 1 s.
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

// Backoff returns the delay before the given retry (the first is 1), uniformly
// distributed in [0, min(Max, Base × 2^(retry-1))]. It replaces the
// ExponentialBackOff of cenkalti/backoff/v5, which draws from the global random
// source, so that it cannot be seeded, and keeps state per request.
func Backoff(settings BackoffSettings, retry int, random *rand.Rand) time.Duration {
	s := settings.withDefaults()
	bound := s.Base
	for i := 1; i < retry && bound < s.Max; i++ {
		bound *= 2
	}
	bound = min(bound, s.Max)
	return time.Duration(random.Int64N(int64(bound) + 1))
}

package snipetarget

import (
	"context"
	"sync"
	"time"
)

// connLimit limits the number of connections to one target and its dial rate.
type connLimit struct {
	maxConns     int
	dialInterval time.Duration
}

// SetConnLimit sets the largest number of connections to a target and the shortest
// interval between two dials of it. A maxConns below 1 counts as 1, because a
// target without connections could not be used at all. A dialInterval of 0
// selects DialInterval of the settings. If the number of connections changes, all
// open connections are closed: idle ones at once, others when the attempts in
// flight have ended. Until then their number can exceed a lowered limit, but no
// new one is opened. Forget removes the limit.
func (p *Pools) SetConnLimit(target string, maxConns int, dialInterval time.Duration) {
	limit := connLimit{maxConns: max(maxConns, 1), dialInterval: dialInterval}
	defaultTo(&limit.dialInterval, p.settings.DialInterval)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.connLimits[target] = limit
	tp := p.pools[target]
	p.mu.Unlock()
	if tp != nil {
		tp.setConnLimit(limit)
	}
}

// connLimitLocked returns the limits of a target. The caller holds the lock.
func (p *Pools) connLimitLocked(target string) connLimit {
	if limit, ok := p.connLimits[target]; ok {
		return limit
	}
	return connLimit{maxConns: p.settings.MaxConns, dialInterval: p.settings.DialInterval}
}

// semaphore is a counting semaphore whose size can change. That of
// golang.org/x/sync has a fixed size.
type semaphore struct {
	mu      sync.Mutex
	limit   int
	used    int
	changed chan struct{}
}

func newSemaphore(limit int) *semaphore {
	return &semaphore{limit: limit, changed: make(chan struct{})}
}

// acquire waits until a permit is free and takes it, or until ctx ends.
func (s *semaphore) acquire(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.used < s.limit {
			s.used++
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err() //nolint:wrapcheck // the caller adds what it waited for
		}
	}
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.wakeLocked()
}

func (s *semaphore) resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.wakeLocked()
}

// full reports whether all permits are in use.
func (s *semaphore) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

// wakeLocked wakes all callers that wait in acquire.
func (s *semaphore) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

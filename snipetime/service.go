package snipetime

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Service is the timer service of a running process. Its methods are safe for
// concurrent use. Callbacks run on goroutines of their own; a periodic callback
// never overlaps itself.
type Service struct {
	origin int64

	mu     sync.Mutex
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a started timer service. Close releases its goroutines.
func New() *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{origin: bootNanoseconds(), ctx: ctx, cancel: cancel}
}

// Now returns the current instant.
func (s *Service) Now() Instant { return Instant(bootNanoseconds() - s.origin) }

// Every calls f once per period until the returned function or Close is called.
// It panics if period is not positive.
func (s *Service) Every(period time.Duration, f func(Instant)) (cancel func()) {
	ticker := time.NewTicker(period)
	ctx, stop := context.WithCancel(s.ctx)
	started := s.spawn(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f(s.Now())
			}
		}
	})
	if !started {
		ticker.Stop()
	}
	return stop
}

// After calls f once after delay unless the returned function or Close is
// called first.
func (s *Service) After(delay time.Duration, f func(Instant)) (cancel func()) {
	timer := time.NewTimer(delay)
	ctx, stop := context.WithCancel(s.ctx)
	started := s.spawn(func() {
		defer timer.Stop()
		defer stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			f(s.Now())
		}
	})
	if !started {
		timer.Stop()
	}
	return stop
}

// Close ends all subscriptions and waits for running callbacks. A callback
// must not call it.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// spawn runs f on a new goroutine and reports false after Close.
func (s *Service) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
	return true
}

// bootNanoseconds reads CLOCK_BOOTTIME, which unlike CLOCK_MONOTONIC counts
// the time that the machine was suspended.
func bootNanoseconds() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can fail only for an unknown clock or a bad pointer.
		panic("snipetime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return ts.Nano()
}

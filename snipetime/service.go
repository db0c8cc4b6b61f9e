package snipetime

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Service is the clock of a running process, with timers. Its methods are safe for
// concurrent use. Each timer runs its callback on a goroutine of its own, so that two
// calls of a periodic callback never overlap.
type Service struct {
	origin int64 // boot time of Instant 0, in nanoseconds

	mu     sync.Mutex
	closed bool
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup // goroutines of timers
}

// New returns a service whose instants count from now. Close stops its timers.
func New() *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{origin: bootNanoseconds(), ctx: ctx, cancel: cancel}
}

// Now returns the current instant.
func (s *Service) Now() Instant { return Instant(bootNanoseconds() - s.origin) }

// Every calls f once per period until the returned function or Close is called. A
// call that is due while the previous one still runs is delayed; further ones are
// skipped. It panics if period is not positive.
func (s *Service) Every(period time.Duration, f func(Instant)) (cancel func()) {
	ticker := time.NewTicker(period)
	ctx, stop := context.WithCancel(s.ctx)
	started := s.startGoroutine(func() {
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

// After calls f once after delay unless the returned function or Close is called
// first. After Close, it does nothing.
func (s *Service) After(delay time.Duration, f func(Instant)) (cancel func()) {
	timer := time.NewTimer(delay)
	ctx, stop := context.WithCancel(s.ctx)
	started := s.startGoroutine(func() {
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

// Close stops all timers and waits for running callbacks. A callback must not call
// it, because it would wait for itself.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// startGoroutine runs f on a new goroutine, which Close waits for. After Close it
// reports false and does not run f.
func (s *Service) startGoroutine(f func()) bool {
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

// bootNanoseconds returns the nanoseconds of CLOCK_BOOTTIME, which unlike
// CLOCK_MONOTONIC includes the time that the machine was suspended.
func bootNanoseconds() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock or an invalid pointer.
		panic("snipetime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return ts.Nano()
}

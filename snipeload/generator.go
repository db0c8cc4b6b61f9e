package snipeload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// defaultMaxOutstanding bounds the requests in flight of one run.
const defaultMaxOutstanding = 10000

// Sender sends one request. *Caller satisfies it.
type Sender interface {
	Do(ctx context.Context, r Request) Result
}

// Config describes a run.
type Config struct {
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration ends the arrivals; requests in flight are waited for.
	Duration time.Duration
	// MaxRequests ends the arrivals earlier if it is positive.
	MaxRequests int
	// MaxOutstanding bounds the requests in flight; 10,000 if zero. An arrival
	// above the bound is not sent and is counted as Failed with reason
	// "outstanding".
	MaxOutstanding int
	// Seed selects the sequence of arrivals.
	Seed uint64
	// NewRequest returns the n-th request.
	NewRequest func(n int) Request
	// Observe, if set, is called with each result; it must be safe for
	// concurrent use.
	Observe func(n int, r Result, latency time.Duration)
}

// Progress is a point-in-time count of a run.
type Progress struct {
	sent, finished int64
	elapsed        time.Duration
}

// Sent returns the number of requests that were due so far.
func (p Progress) Sent() int64 { return p.sent }

// Finished returns the number of requests with a result.
func (p Progress) Finished() int64 { return p.finished }

// Elapsed returns the time since the start of the run.
func (p Progress) Elapsed() time.Duration { return p.elapsed }

// Generator offers requests at a fixed arrival rate.
type Generator struct {
	cfg    Config
	sender Sender
	report *Report
	// start is set again by Run, possibly while Progress reads it.
	start atomic.Pointer[time.Time]

	sent, finished atomic.Int64
}

// NewGenerator returns a generator. It returns an error if the rate or the
// duration is not positive or NewRequest is missing.
func NewGenerator(cfg Config, sender Sender) (*Generator, error) {
	if cfg.Rate <= 0 || cfg.Duration <= 0 {
		return nil, fmt.Errorf("rate %v per second and duration %v must be positive", cfg.Rate, cfg.Duration)
	}
	if cfg.NewRequest == nil {
		return nil, errors.New("no function for requests")
	}
	if cfg.MaxOutstanding <= 0 {
		cfg.MaxOutstanding = defaultMaxOutstanding
	}
	g := &Generator{cfg: cfg, sender: sender, report: NewReport()}
	now := time.Now()
	g.start.Store(&now)
	return g, nil
}

// Progress returns the counts so far. It is safe to call during Run.
func (g *Generator) Progress() Progress {
	return Progress{sent: g.sent.Load(), finished: g.finished.Load(), elapsed: time.Since(*g.start.Load())}
}

// Run offers the load and returns the report when all requests have ended.
// Cancelling ctx ends the arrivals and the requests in flight.
func (g *Generator) Run(ctx context.Context) *Report {
	start := time.Now()
	g.start.Store(&start)
	random := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	var wg sync.WaitGroup
	due := time.Duration(0)
	for n := 0; g.cfg.MaxRequests <= 0 || n < g.cfg.MaxRequests; n++ {
		due += time.Duration(random.ExpFloat64() / g.cfg.Rate * float64(time.Second))
		if due >= g.cfg.Duration || !waitUntil(ctx, start.Add(due)) {
			break
		}
		dueAt := start.Add(due)
		if g.sent.Add(1)-g.finished.Load() > int64(g.cfg.MaxOutstanding) {
			g.finish(n, Result{outcome: Failed, reason: "outstanding"}, dueAt)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.finish(n, g.sender.Do(ctx, g.cfg.NewRequest(n)), dueAt)
		}()
	}
	wg.Wait()
	g.report.setElapsed(time.Since(start))
	return g.report
}

// finish records a result. Latency counts from the instant the request was due.
func (g *Generator) finish(n int, r Result, dueAt time.Time) {
	latency := time.Since(dueAt)
	g.finished.Add(1)
	g.report.Add(r, latency)
	if g.cfg.Observe != nil {
		g.cfg.Observe(n, r, latency)
	}
}

// waitUntil waits until t and reports false if ctx ended first.
func waitUntil(ctx context.Context, t time.Time) bool {
	delay := time.Until(t)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

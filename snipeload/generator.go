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

// defaultMaxOutstanding is the default of Config.MaxOutstanding, in requests.
const defaultMaxOutstanding = 10000

// Sender sends one request and returns its result. *Caller satisfies it.
type Sender interface {
	Do(ctx context.Context, r Request) Result
}

// Config is the configuration of a Generator.
type Config struct {
	// Rate is the mean number of requests per second; the time between two requests
	// is exponentially distributed (Poisson arrivals).
	Rate float64
	// Duration is the time during which requests are sent. Run then waits for those
	// in flight.
	Duration time.Duration
	// MaxRequests limits the number of requests if it is positive.
	MaxRequests int
	// MaxOutstanding limits the requests in flight; 10,000 if it is not positive. A
	// request above the limit is not sent, and counts as Failed with reason
	// "outstanding".
	MaxOutstanding int
	// Seed is the seed of the arrival times.
	Seed uint64
	// NewRequest returns the n-th request, from 0 on. It must be safe for concurrent
	// use.
	NewRequest func(n int) Request
	// Observe, if set, is called with the result of the n-th request and its latency
	// since it was due. It must be safe for concurrent use.
	Observe func(n int, r Result, latency time.Duration)
}

// Progress holds the counts of a run at one point in time.
type Progress struct {
	sent, finished int64
	elapsed        time.Duration
}

// Sent returns the number of requests that were due so far, including those above
// MaxOutstanding.
func (p Progress) Sent() int64 { return p.sent }

// Finished returns the number of requests with a result.
func (p Progress) Finished() int64 { return p.finished }

// Elapsed returns the time since the run began, or since NewGenerator before that.
func (p Progress) Elapsed() time.Duration { return p.elapsed }

// Generator sends requests at a fixed mean rate.
type Generator struct {
	cfg    Config
	sender Sender
	report *Report
	// startTime is replaced by Run, possibly while Progress reads it.
	startTime atomic.Pointer[time.Time]

	sent, finished atomic.Int64
}

// NewGenerator returns a generator. It returns an error if the rate or the
// duration is not positive or NewRequest is missing.
func NewGenerator(cfg Config, sender Sender) (*Generator, error) {
	if cfg.Rate <= 0 || cfg.Duration <= 0 {
		return nil, fmt.Errorf("rate %v per second and duration %v must be positive", cfg.Rate, cfg.Duration)
	}
	if cfg.NewRequest == nil {
		return nil, errors.New("Config.NewRequest is not set")
	}
	if cfg.MaxOutstanding <= 0 {
		cfg.MaxOutstanding = defaultMaxOutstanding
	}
	g := &Generator{cfg: cfg, sender: sender, report: NewReport()}
	now := time.Now()
	g.startTime.Store(&now)
	return g, nil
}

// Progress returns the counts so far. It is safe to call during Run.
func (g *Generator) Progress() Progress {
	return Progress{sent: g.sent.Load(), finished: g.finished.Load(), elapsed: time.Since(*g.startTime.Load())}
}

// Run generates the load and returns the report when all requests have ended. If
// ctx is cancelled, it sends no further requests and cancels those in flight.
func (g *Generator) Run(ctx context.Context) *Report {
	startTime := time.Now()
	g.startTime.Store(&startTime)
	random := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	var wg sync.WaitGroup
	due := time.Duration(0)
	for n := 0; g.cfg.MaxRequests <= 0 || n < g.cfg.MaxRequests; n++ {
		due += time.Duration(random.ExpFloat64() / g.cfg.Rate * float64(time.Second))
		if due >= g.cfg.Duration || !waitUntil(ctx, startTime.Add(due)) {
			break
		}
		dueAt := startTime.Add(due)
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
	g.report.setElapsed(time.Since(startTime))
	return g.report
}

// finish records the result of a request. Its latency is the time since it was due.
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

package snipetarget

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// maxProbeBytes bounds the headers and the body of a probe's response.
const maxProbeBytes = 64 << 10

// Clock schedules probes.
type Clock interface {
	// Now returns the current instant.
	Now() snipetime.Instant
	// Every calls f once per period until the returned function is called.
	Every(period time.Duration, f func(snipetime.Instant)) (cancel func())
	// After calls f once after delay.
	After(delay time.Duration, f func(snipetime.Instant)) (cancel func())
}

// Load is the load that a target reports.
type Load struct {
	// Slots is the number of requests that the target can run concurrently.
	Slots int `json:"slots"`
	// Busy is the number of requests that run now.
	Busy int `json:"busy"`
	// Queued is the number of requests that wait in the target.
	Queued int `json:"queued"`
	// LatencyMicros is the recent request latency in microseconds.
	LatencyMicros int64 `json:"latencyMicros"`
}

// ProbeReport is the result of one probe.
type ProbeReport struct {
	// Target is the address of the target.
	Target string
	// At is the instant at which the probe ended.
	At snipetime.Instant
	// Healthy is set if the health endpoint responded with status 200.
	Healthy bool
	// Load is the reported load; valid if HasLoad is set.
	Load Load
	// HasLoad is set if the load endpoint responded with a valid report.
	HasLoad bool
	// Err is the first error of the probe, or nil. A health status other than
	// 200 is not an error.
	Err error
}

// Prober requests the health and the load of targets at a fixed interval. It is
// started and stopped for each target, and is safe for concurrent use.
type Prober struct {
	interval time.Duration
	timeout  time.Duration
	clock    Clock
	report   func(ProbeReport)
	client   *http.Client
	wg       sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	targets map[string]func()
}

// NewProber returns a prober that calls report after each probe, in the goroutine
// in which the clock calls it. Each probe ends after at most timeout. NewProber
// panics if interval or timeout is not positive.
func NewProber(interval, timeout time.Duration, clock Clock, dialer Dialer, report func(ProbeReport)) *Prober {
	if interval <= 0 || timeout <= 0 {
		panic("snipetarget: interval or timeout is not positive")
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        2 * interval,
		MaxResponseHeaderBytes: maxProbeBytes,
		Protocols:              http1Only(),
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Prober{
		interval: interval,
		timeout:  timeout,
		clock:    clock,
		report:   report,
		client:   &http.Client{Transport: transport, CheckRedirect: noRedirect},
		targets:  make(map[string]func()),
	}
}

// Start probes the target at once and then at the interval. It does nothing if
// the target is probed already or the prober is closed.
func (p *Prober) Start(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.targets[target] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	probe := func(snipetime.Instant) { p.probe(ctx, target) }
	stopFirst := p.clock.After(0, probe)
	stopRest := p.clock.Every(p.interval, probe)
	p.targets[target] = func() {
		stopFirst()
		stopRest()
		cancel()
	}
}

// Stop ends the probes of the target and cancels one that runs. A probe that has
// just ended can still be reported, but no probe starts after Stop.
func (p *Prober) Stop(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stop := p.targets[target]; stop != nil {
		stop()
		delete(p.targets, target)
	}
}

// Close cancels all probes and waits for those that run to end. The report
// callback must not call Close, which would wait for itself.
func (p *Prober) Close() {
	p.mu.Lock()
	p.closed = true
	for _, stop := range p.targets {
		stop()
	}
	p.targets = nil
	p.mu.Unlock()
	p.wg.Wait()
	p.client.CloseIdleConnections()
}

func (p *Prober) probe(ctx context.Context, target string) {
	p.mu.Lock()
	if p.closed || ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	p.wg.Add(1)
	p.mu.Unlock()
	defer p.wg.Done()
	limited, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	r := ProbeReport{Target: target}
	r.Healthy, r.Err = p.health(limited, target)
	if load, err := p.load(limited, target); err == nil {
		r.Load, r.HasLoad = load, true
	} else if r.Err == nil {
		r.Err = err
	}
	if ctx.Err() != nil {
		return
	}
	r.At = p.clock.Now()
	p.report(r)
}

func (p *Prober) health(ctx context.Context, target string) (bool, error) {
	status, _, err := p.get(ctx, "http://"+target+"/healthz")
	if err != nil {
		return false, fmt.Errorf("health of %s: %w", target, err)
	}
	return status == http.StatusOK, nil
}

func (p *Prober) load(ctx context.Context, target string) (Load, error) {
	status, body, err := p.get(ctx, "http://"+target+"/load")
	if err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", target, err)
	}
	if status != http.StatusOK {
		return Load{}, fmt.Errorf("load of %s: status %d", target, status)
	}
	var load Load
	if err := json.Unmarshal(body, &load); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", target, err)
	}
	if load.Slots < 0 || load.Busy < 0 || load.Queued < 0 || load.LatencyMicros < 0 {
		return Load{}, fmt.Errorf("load of %s: negative value", target)
	}
	return load, nil
}

func (p *Prober) get(ctx context.Context, url string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, nil, fmt.Errorf("build probe: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send probe: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read probe response: %w", err)
	}
	return resp.StatusCode, body, nil
}

package snipetarget

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Dialer opens connections to targets. net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings configures Pools. A zero value selects the default.
type Settings struct {
	// MaxConns bounds the connections to a target without SetBound; default 32.
	MaxConns int
	// ConnectCost is the least time between two dials of a target without
	// SetBound; default 1 ms.
	ConnectCost time.Duration
	// IdleTimeout closes an unused connection; default 30 s.
	IdleTimeout time.Duration
	// MaxAge is the time after which the connections of a pool are replaced;
	// default 5 min.
	MaxAge time.Duration
	// SilentAfter is the wait without any byte of an answer after which a reused
	// connection counts as silent; default 1 s.
	SilentAfter time.Duration
	// MaxHeaderBytes bounds the headers of an answer; default 32 KiB.
	MaxHeaderBytes int64
	// DialTimeout bounds one dial; default 2 s.
	DialTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	defaultTo(&s.MaxConns, 32)
	defaultTo(&s.ConnectCost, time.Millisecond)
	defaultTo(&s.IdleTimeout, 30*time.Second)
	defaultTo(&s.MaxAge, 5*time.Minute)
	defaultTo(&s.SilentAfter, time.Second)
	defaultTo(&s.MaxHeaderBytes, 32<<10)
	defaultTo(&s.DialTimeout, 2*time.Second)
	return s
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Pools holds one connection pool per target. It is safe for concurrent use.
type Pools struct {
	settings Settings
	dialer   Dialer

	mu     sync.Mutex
	closed bool
	pools  map[string]*pool
	bounds map[string]bound
}

// New returns an empty set of pools.
func New(settings Settings, dialer Dialer) *Pools {
	return &Pools{
		settings: settings.withDefaults(), dialer: dialer,
		pools: make(map[string]*pool), bounds: make(map[string]bound),
	}
}

func (p *Pools) pool(target string) (*pool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("pools are closed")
	}
	tp := p.pools[target]
	if tp == nil {
		tp = newPool(p.settings, p.dialer, p.boundLocked(target))
		p.pools[target] = tp
	}
	return tp, nil
}

// Forget drops the pool of a target that left. Attempts in flight finish.
func (p *Pools) Forget(target string) {
	p.mu.Lock()
	tp := p.pools[target]
	delete(p.pools, target)
	delete(p.bounds, target)
	p.mu.Unlock()
	if tp != nil {
		tp.close()
	}
}

// Close drops all pools and refuses later attempts. Attempts in flight finish.
func (p *Pools) Close() {
	p.mu.Lock()
	p.closed = true
	pools := p.pools
	p.pools = nil
	p.mu.Unlock()
	for _, tp := range pools {
		tp.close()
	}
}

// generation is one transport of a pool with its attempts in flight.
type generation struct {
	transport *http.Transport
	created   time.Time
	inFlight  int
	retired   bool
}

// pool owns the connections to one target. After a reused connection stayed
// silent, attempts use a candidate transport with new connections. If one of
// those answers, the old transport is discarded; if a new connection stays
// silent too, the target is slow and the candidate is dropped.
type pool struct {
	settings Settings
	dialer   Dialer
	limiter  *rate.Limiter
	permits  *permits

	mu        sync.Mutex
	closed    bool
	bound     bound
	current   *generation
	candidate *generation
}

func newPool(s Settings, d Dialer, b bound) *pool {
	p := &pool{
		settings: s,
		dialer:   d,
		limiter:  rate.NewLimiter(rate.Every(b.connectCost), 1),
		permits:  newPermits(b.conns),
		bound:    b,
	}
	p.current = p.newGeneration()
	return p
}

// setBound replaces the transport if the number of connections changed, because
// that of a transport is fixed.
func (p *pool) setBound(b bound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	former := p.bound
	p.bound = b
	p.limiter.SetLimit(rate.Every(b.connectCost))
	if b.conns == former.conns || p.closed {
		return
	}
	p.permits.resize(b.conns)
	p.replaceLocked(p.newGeneration())
	if p.candidate != nil {
		p.retireLocked(p.candidate)
		p.candidate = nil
	}
}

// newGeneration needs the lock, unless the pool is new.
func (p *pool) newGeneration() *generation {
	return &generation{created: time.Now(), transport: &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        p.bound.conns,
		MaxIdleConnsPerHost:    p.bound.conns,
		IdleConnTimeout:        p.settings.IdleTimeout,
		MaxResponseHeaderBytes: p.settings.MaxHeaderBytes,
		Protocols:              http1Only(),
	}}
}

func http1Only() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// dial opens a connection within the bound and the rate of the pool, which its
// transports share.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	if err := p.permits.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for a connection permit: %w", err)
	}
	release := p.permits.release
	if err := p.limiter.Wait(ctx); err != nil {
		release()
		return nil, fmt.Errorf("wait for the dial rate: %w", err)
	}
	conn, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		release()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &trackedConn{Conn: conn, release: release}, nil
}

// acquire returns the transport for one attempt.
func (p *pool) acquire() *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && time.Since(p.current.created) > p.settings.MaxAge {
		p.replaceLocked(p.newGeneration())
	}
	g := p.current
	if p.candidate != nil {
		g = p.candidate
	}
	g.inFlight++
	return g
}

// replaceLocked makes g current and discards the former transport.
func (p *pool) replaceLocked(g *generation) {
	old := p.current
	p.current = g
	p.retireLocked(old)
}

// retireLocked closes the idle connections of g; connections in use are closed
// when their attempts end.
func (p *pool) retireLocked(g *generation) {
	g.retired = true
	g.transport.CloseIdleConnections()
}

func (p *pool) release(g *generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.inFlight--
	if g.retired && g.inFlight == 0 {
		g.transport.CloseIdleConnections()
	}
}

// answered notes an answer on a transport.
func (p *pool) answered(g *generation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g == p.candidate {
		p.candidate = nil
		p.replaceLocked(g)
	}
}

// failed notes a failure that can show silent connections.
func (p *pool) failed(g *generation, t *tracker, failure *Error, waited time.Duration) {
	found, reused := t.connection()
	silent := found && failure.Known == MaybeBegun && !t.firstByte.Load() &&
		(failure.Cause == CauseTimeout || failure.Cause == CauseCancelled) && waited >= p.settings.SilentAfter
	if !silent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
	case g == p.candidate && !reused:
		p.candidate = nil
		p.retireLocked(g)
	case g == p.current && reused && p.candidate == nil:
		p.candidate = p.newGeneration()
		if p.permits.full() {
			g.transport.CloseIdleConnections()
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.retireLocked(p.current)
	if p.candidate != nil {
		p.retireLocked(p.candidate)
	}
}

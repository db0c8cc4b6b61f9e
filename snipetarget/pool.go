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

// Settings configures Pools. Zero fields select the defaults.
type Settings struct {
	// MaxConns is the largest number of connections to a target for which
	// SetConnLimit was not called; default 32.
	MaxConns int
	// DialInterval is the shortest interval between two dials of a target for
	// which SetConnLimit was not called; default 1 ms.
	DialInterval time.Duration
	// IdleTimeout is the time after which an unused connection is closed;
	// default 30 s.
	IdleTimeout time.Duration
	// MaxAge is the time after which the connections of a pool are replaced;
	// default 5 min.
	MaxAge time.Duration
	// SilentAfter is the time without any byte of a response after which a
	// failed attempt marks its connection as silent, that is, as possibly dead
	// without having been closed; default 1 s.
	SilentAfter time.Duration
	// MaxHeaderBytes is the largest size of the headers of a response; default
	// 32 KiB.
	MaxHeaderBytes int64
	// DialTimeout bounds one dial, including the wait for a free connection and
	// for the dial rate limit; default 2 s.
	DialTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	defaultTo(&s.MaxConns, 32)
	defaultTo(&s.DialInterval, time.Millisecond)
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

	mu         sync.Mutex
	closed     bool
	pools      map[string]*pool
	connLimits map[string]connLimit
}

// New returns an empty set of pools.
func New(settings Settings, dialer Dialer) *Pools {
	return &Pools{
		settings: settings.withDefaults(), dialer: dialer,
		pools: make(map[string]*pool), connLimits: make(map[string]connLimit),
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
		tp = newPool(p.settings, p.dialer, p.connLimitLocked(target))
		p.pools[target] = tp
	}
	return tp, nil
}

// Forget removes the pool and the connection limit of a target that no longer
// exists. Attempts in flight finish.
func (p *Pools) Forget(target string) {
	p.mu.Lock()
	tp := p.pools[target]
	delete(p.pools, target)
	delete(p.connLimits, target)
	p.mu.Unlock()
	if tp != nil {
		tp.close()
	}
}

// Close removes all pools. Attempts in flight finish; later ones fail with
// CauseNoConnection.
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

// pooledTransport is one transport of a pool with its number of attempts in
// flight. A retired one receives no further attempts.
type pooledTransport struct {
	transport *http.Transport
	created   time.Time
	inFlight  int
	retired   bool
}

// pool owns the connections to one target. After a reused connection was silent,
// attempts use a candidate transport, which opens new connections. If one of them
// receives a response, the candidate replaces the current transport. If a new
// connection is silent too, the target is slow and the candidate is retired.
type pool struct {
	settings Settings
	dialer   Dialer
	limiter  *rate.Limiter
	permits  *semaphore

	mu        sync.Mutex
	closed    bool
	connLimit connLimit
	current   *pooledTransport
	candidate *pooledTransport
}

func newPool(s Settings, d Dialer, limit connLimit) *pool {
	p := &pool{
		settings:  s,
		dialer:    d,
		limiter:   rate.NewLimiter(rate.Every(limit.dialInterval), 1),
		permits:   newSemaphore(limit.maxConns),
		connLimit: limit,
	}
	p.current = p.newTransport()
	return p
}

// setConnLimit changes the limits of the pool. It replaces the transport if the
// number of connections changed, because that of a transport is fixed.
func (p *pool) setConnLimit(limit connLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.connLimit
	p.connLimit = limit
	p.limiter.SetLimit(rate.Every(limit.dialInterval))
	if limit.maxConns == previous.maxConns || p.closed {
		return
	}
	p.permits.resize(limit.maxConns)
	p.replaceLocked(p.newTransport())
	if p.candidate != nil {
		p.retireLocked(p.candidate)
		p.candidate = nil
	}
}

// newTransport returns a transport with the current limits. The caller holds the
// lock, unless the pool is new.
func (p *pool) newTransport() *pooledTransport {
	return &pooledTransport{created: time.Now(), transport: &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        p.connLimit.maxConns,
		MaxIdleConnsPerHost:    p.connLimit.maxConns,
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

// dial opens a connection within the connection limit and the dial rate limit of
// the pool, which its transports share.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	if err := p.permits.acquire(ctx); err != nil {
		return nil, fmt.Errorf("wait for a free connection: %w", err)
	}
	release := p.permits.release
	if err := p.limiter.Wait(ctx); err != nil {
		release()
		return nil, fmt.Errorf("wait for the dial rate limit: %w", err)
	}
	conn, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		release()
		return nil, fmt.Errorf("dial: %w", err)
	}
	return newTrackedConn(conn, release), nil
}

// acquire returns the transport for one attempt, which must release it.
func (p *pool) acquire() *pooledTransport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && time.Since(p.current.created) > p.settings.MaxAge {
		p.replaceLocked(p.newTransport())
	}
	pt := p.current
	if p.candidate != nil {
		pt = p.candidate
	}
	pt.inFlight++
	return pt
}

// replaceLocked makes pt current and retires the previous transport.
func (p *pool) replaceLocked(pt *pooledTransport) {
	old := p.current
	p.current = pt
	p.retireLocked(old)
}

// retireLocked closes the idle connections of pt. Connections in use are closed
// when the last attempt in flight ends.
func (p *pool) retireLocked(pt *pooledTransport) {
	pt.retired = true
	pt.transport.CloseIdleConnections()
}

// release ends an attempt on a transport that acquire returned.
func (p *pool) release(pt *pooledTransport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pt.inFlight--
	if pt.retired && pt.inFlight == 0 {
		pt.transport.CloseIdleConnections()
	}
}

// recordResponse records a response on a transport. If it is the candidate, it
// becomes the current transport.
func (p *pool) recordResponse(pt *pooledTransport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pt == p.candidate {
		p.candidate = nil
		p.replaceLocked(pt)
	}
}

// recordFailure records a failed attempt that lasted for waited. If its
// connection was silent, a candidate transport is added or retired.
func (p *pool) recordFailure(pt *pooledTransport, t *tracker, failure *Error, waited time.Duration) {
	found, reused := t.connection()
	silent := found && failure.Execution == MaybeBegun && !t.firstByte.Load() &&
		(failure.Cause == CauseTimeout || failure.Cause == CauseCancelled) && waited >= p.settings.SilentAfter
	if !silent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
	case pt == p.candidate && !reused:
		p.candidate = nil
		p.retireLocked(pt)
	case pt == p.current && reused && p.candidate == nil:
		p.candidate = p.newTransport()
		if p.permits.full() {
			// Without a free permit the candidate could not open a connection.
			pt.transport.CloseIdleConnections()
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

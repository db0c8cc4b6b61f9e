package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings configures Pools. A zero field selects its default.
type Settings struct {
	// DialTimeout bounds the opening of a connection; default 400 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle before reuse if the
	// target announces no timeout in a Keep-Alive header; default 4 s.
	IdleTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT); default 500 ms.
	TCPUserTimeout time.Duration
	// MaxBufferedBytes bounds the body bytes of a response that are buffered
	// until the response is complete; default 256 KiB. Longer bodies are
	// streamed.
	MaxBufferedBytes int64
	// MaxHeadBytes bounds the status line and header fields of a response, in bytes;
	// default 32 KiB.
	MaxHeadBytes int64
	// MaxBodyBytes bounds the body of a response, in bytes; default 64 MiB.
	MaxBodyBytes int64
	// Memory bounds the bytes of all buffered responses together; nil for no
	// bound.
	Memory Memory
}

// Memory is a shared limit on the bytes in use.
type Memory interface {
	// TryAcquire reserves n bytes, or reports false if fewer are free.
	TryAcquire(n int64) bool
	// Release returns n reserved bytes.
	Release(n int64)
}

func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = 400 * time.Millisecond
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = 4 * time.Second
	}
	if s.TCPUserTimeout == 0 {
		s.TCPUserTimeout = 500 * time.Millisecond
	}
	if s.MaxBufferedBytes == 0 {
		s.MaxBufferedBytes = 256 << 10
	}
	if s.MaxHeadBytes == 0 {
		s.MaxHeadBytes = 32 << 10
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = 64 << 20
	}
	return s
}

// readBufferBytes is the size of the read buffer of a connection; most responses
// fit into it.
const readBufferBytes = 2 << 10

// Pools keeps idle connections for reuse, by target address. It is safe for
// concurrent use.
type Pools struct {
	settings Settings
	dialer   net.Dialer
	hasher   idHasher

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	opened uint64
	reused uint64
}

// New returns an empty set of pools.
func New(settings Settings) *Pools {
	p := &Pools{settings: settings.withDefaults(), hasher: newIDHasher(), idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: p.settings.DialTimeout, KeepAlive: -1, Control: TCPUserTimeoutControl(p.settings.TCPUserTimeout)}
	return p
}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	limiter *headLimiter
	opened  time.Time
	// sent are the requests that were sent over the connection.
	sent sentRequests
	// expires is the time from which an idle connection is not reused.
	expires time.Time
}

// takeIdle removes and returns the most recently used idle connection that the
// target has neither closed nor written to and for which allowed returns true, or
// returns nil. It closes the unusable ones that it meets.
func (p *Pools) takeIdle(address string, now time.Time, allowed func(*conn) bool) *conn {
	for {
		c := p.removeIdle(address, allowed)
		if c == nil {
			p.trimIdle(address)
			return nil
		}
		if now.Before(c.expires) && openWithoutData(c.Conn) {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		c.discard()
	}
}

// removeIdle removes and returns the most recently used idle connection for which allowed
// returns true, or returns nil. It calls allowed with the lock of p held.
func (p *Pools) removeIdle(address string, allowed func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if allowed(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// maxIdleBesideNew is the number of idle connections to an address that are kept when one
// more is opened because none of them is usable for a request.
const maxIdleBesideNew = 8

// trimIdle closes the least recently used idle connections to an address beyond
// maxIdleBesideNew.
func (p *Pools) trimIdle(address string) {
	for _, c := range p.removeExcess(address) {
		c.discard()
	}
}

// removeExcess removes and returns the connections that trimIdle closes.
func (p *Pools) removeExcess(address string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	n := len(list) - maxIdleBesideNew
	if n <= 0 {
		return nil
	}
	excess := slices.Clone(list[:n])
	p.idle[address] = slices.Delete(list, 0, n)
	return excess
}

// discard closes a connection that is not reused. Nothing depends on an error of
// the close, so it is ignored.
func (c *conn) discard() { _ = c.Close() }

// dial opens a connection to address.
func (p *Pools) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	limiter := &headLimiter{conn: raw}
	return &conn{Conn: raw, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), opened: time.Now()}
}

// putIdle adds a connection to the idle ones. keepAlive is how long it may stay
// idle; zero selects Settings.IdleTimeout.
func (p *Pools) putIdle(c *conn, now time.Time, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = p.settings.IdleTimeout
	}
	c.expires = now.Add(keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the idle connections that have expired by now and those to
// addresses for which keep returns false. It calls keep with the lock of p held.
func (p *Pools) CloseExpired(now time.Time, keep func(address string) bool) {
	var closing []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		wanted := keep(address)
		for _, c := range list {
			if wanted && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.discard()
	}
}

// closeIdle closes the idle connections to an address.
func (p *Pools) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.discard()
	}
}

// Counts returns how many connections were opened and how often an idle one was
// reused.
func (p *Pools) Counts() (opened, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// TCPUserTimeoutControl returns a Control function for net.Dialer that sets
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay
// unacknowledged for timeout, which is rounded down to milliseconds.
func TCPUserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err := errors.Join(err, sockoptErr); err != nil {
			return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
		}
		return nil
	}
}

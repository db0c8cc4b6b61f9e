package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings configures Pools. A zero value selects the default.
type Settings struct {
	// DialTimeout bounds the opening of a connection; default 400 ms.
	DialTimeout time.Duration
	// IdleTimeout bounds the reuse of a connection whose target states no
	// timeout of its own; default 4 s.
	IdleTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken; default 500 ms.
	SilenceTimeout time.Duration
	// BufferedBody bounds the bytes of an answer that are held back until the
	// answer is complete; default 256 KiB.
	BufferedBody int64
	// HeadBytes bounds the head of an answer; default 32 KiB.
	HeadBytes int64
	// AnswerBytes bounds the body of an answer; default 64 MiB.
	AnswerBytes int64
	// Memory is what all answers that are held back share, or nil for no bound.
	Memory Memory
}

// Memory is a number of bytes that several parts share.
type Memory interface {
	// TryAcquire takes n bytes, or reports false if there are fewer.
	TryAcquire(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

func (s Settings) withDefaults() Settings {
	if s.DialTimeout == 0 {
		s.DialTimeout = 400 * time.Millisecond
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = 4 * time.Second
	}
	if s.SilenceTimeout == 0 {
		s.SilenceTimeout = 500 * time.Millisecond
	}
	if s.BufferedBody == 0 {
		s.BufferedBody = 256 << 10
	}
	if s.HeadBytes == 0 {
		s.HeadBytes = 32 << 10
	}
	if s.AnswerBytes == 0 {
		s.AnswerBytes = 64 << 20
	}
	return s
}

// readBufferBytes is the size of the read buffer of a connection; most answers
// fit into it.
const readBufferBytes = 2 << 10

// Pools keeps idle connections by address. It is safe for concurrent use.
type Pools struct {
	settings Settings
	dialer   net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64
	reused uint64
}

// New returns an empty set of pools.
func New(settings Settings) *Pools {
	p := &Pools{settings: settings.withDefaults(), idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: p.settings.DialTimeout, KeepAlive: -1, Control: SilenceControl(p.settings.SilenceTimeout)}
	return p
}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	meter   *headMeter
	// expires is when the connection is too old for reuse.
	expires time.Time
}

// take returns an idle connection that the target has neither closed nor
// written to, or nil.
func (p *Pools) take(address string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.expires) && quiet(c.Conn) {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		c.discard()
	}
}

// discard closes a connection that is of no more use; an error of the close
// changes nothing.
func (c *conn) discard() { _ = c.Close() }

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
	meter := &headMeter{conn: raw}
	return &conn{Conn: raw, address: address, meter: meter, reader: bufio.NewReaderSize(meter, readBufferBytes)}
}

func (p *Pools) put(c *conn, now time.Time, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = p.settings.IdleTimeout
	}
	c.expires = now.Add(keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that are too old for reuse and those to
// addresses for which keep returns false.
func (p *Pools) Sweep(now time.Time, keep func(address string) bool) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		wanted := keep(address)
		for _, c := range list {
			if wanted && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
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
	for _, c := range old {
		c.discard()
	}
}

// forget closes the idle connections to an address.
func (p *Pools) forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.discard()
	}
}

// Counts returns how many connections were opened and how often one was reused.
func (p *Pools) Counts() (opened, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// SilenceControl returns a control function for net.Dialer that makes the
// kernel break a connection whose sent bytes stay unacknowledged for a time.
func SilenceControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err := errors.Join(err, failed); err != nil {
			return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
		}
		return nil
	}
}

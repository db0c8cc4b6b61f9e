package snipecaller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// maxAhead bounds the bytes that are read ahead of net/http. A caller that has
// sent more is not watched until they are taken.
const maxAhead = 16 << 10

// listener returns connections of this package.
type listener struct {
	net.Listener
}

// Listen returns a listener whose connections are those of l, read ahead where
// callers send ahead.
func Listen(l net.Listener) net.Listener { return listener{l} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return newConn(raw), nil
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	// gone is called once the caller has closed the connection.
	gone context.CancelFunc

	mu    sync.Mutex
	ready sync.Cond
	// ahead holds what was read ahead, and err the error that follows it.
	ahead []byte
	err   error
	// reading says that readAhead runs.
	reading  bool
	arrivals arrivals
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, gone: func() {}}
	c.ready.L = &c.mu
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if n, err, done := c.takeAhead(p); done {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.note(p[:n])
	// net/http reads a single byte to notice that the caller leaves, and stops
	// watching once it has one.
	if n == 1 && len(p) == 1 && err == nil && !c.reading {
		c.reading = true
		go c.readAhead()
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection
}

// takeAhead returns what was read ahead, and reports false if nothing is read
// ahead.
func (c *conn) takeAhead(p []byte) (n int, err error, done bool) { //nolint:revive,staticcheck // done qualifies both others
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading && len(c.ahead) == 0 {
		c.ready.Wait()
	}
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil, true
	}
	if c.err != nil {
		err, c.err = c.err, nil
		return 0, err, true
	}
	return 0, nil, false
}

// readAhead reads until the connection ends, a read is interrupted, or there is
// enough.
func (c *conn) readAhead() {
	buf := make([]byte, 2<<10)
	for {
		n, err := c.Conn.Read(buf)
		if !c.keep(buf[:n], err) {
			break
		}
	}
	c.ready.Broadcast()
}

// keep appends what was read, and reports whether to go on.
func (c *conn) keep(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 {
		c.arrivals.note(data)
		c.ahead = append(c.ahead, data...)
		c.ready.Broadcast()
	}
	c.reading = err == nil && len(c.ahead) < maxAhead
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone()
		// A deadline that passed is not kept: the next read meets the one then in
		// force.
		c.err = err
	}
	return c.reading
}

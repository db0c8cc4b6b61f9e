package snipecaller

import (
	"context"
	"errors"
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
	begin Begin
}

// Listen returns a listener whose connections are those of l, read ahead where
// callers send ahead. begin may begin answers ahead of their turn; nil begins none.
func Listen(l net.Listener, begin Begin) net.Listener { return listener{l, begin} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http goes on after errors of type net.Error that are temporary
	}
	return newConn(raw, l.begin), nil
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	beginAhead Begin
	// ctx is the context of its requests, and gone ends it once the caller has
	// closed the connection.
	ctx  context.Context
	gone context.CancelFunc

	mu    sync.Mutex
	ready sync.Cond
	// ahead holds what was read ahead, and err the error that follows it.
	ahead []byte
	err   error
	// reading says that readAhead runs.
	reading bool

	heads splitter
	// waiting are the requests that arrived and whose turn has not come, and busy
	// says that one is being served.
	waiting []*arrival
	busy    bool
}

func newConn(raw net.Conn, begin Begin) *conn {
	c := &conn{Conn: raw, beginAhead: begin, ctx: context.Background(), gone: func() {}}
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
	c.note(p[:n])
	if ended(err) {
		c.gone()
	}
	// net/http reads a single byte to notice that the caller leaves, and stops
	// watching once it has one.
	if n == 1 && len(p) == 1 && err == nil && !c.reading {
		c.reading = true
		go c.readAhead()
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection
}

// ended reports whether an error of a read is the end of the connection, and not a
// deadline that passed.
func ended(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.gone()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // as of the connection
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
		c.note(data)
		c.ahead = append(c.ahead, data...)
		c.ready.Broadcast()
	}
	c.reading = err == nil && len(c.ahead) < maxAhead
	if ended(err) {
		c.gone()
		// A deadline that passed is not kept: the next read meets the one then in
		// force.
		c.err = err
	}
	return c.reading
}

// note takes bytes as they arrive. It needs the lock.
func (c *conn) note(data []byte) {
	var behind []*arrival
	for _, a := range c.heads.split(data) {
		if len(c.waiting) == maxWaiting {
			c.heads.lost = true
			break
		}
		if c.busy || len(c.waiting) > 0 {
			behind = append(behind, a)
		}
		c.waiting = append(c.waiting, a)
	}
	if len(behind) > 0 && c.beginAhead != nil {
		go c.begin(behind)
	}
}

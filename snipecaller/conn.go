package snipecaller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/net/netutil"
)

// maxReadAheadBytes bounds the bytes that are read ahead of net/http. Once a caller
// has sent more, its disconnecting is not noticed until net/http reads them.
const maxReadAheadBytes = 16 << 10

// listener wraps the connections that it accepts. Accept must not be called
// concurrently.
type listener struct {
	net.Listener
	// accepted is the listener below Listener. It has the socket of the connection that
	// Listener returned last.
	accepted   *socketListener
	startEarly EarlyStarter
}

// socketListener keeps the socket of the connection that it accepted last.
type socketListener struct {
	net.Listener
	socket syscall.Conn
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.socket, _ = c.(syscall.Conn)
	return c, err //nolint:wrapcheck // net/http retries after a net.Error that is temporary
}

// Listen returns a listener that wraps the connections of l, which read ahead when
// a caller pipelines requests. At most maxConns of them are open, unless it is 0;
// further ones wait to be accepted. startEarly may start responses to pipelined requests
// before net/http serves them; nil starts none. The http.Server needs Context as
// its ConnContext.
func Listen(l net.Listener, maxConns int, startEarly EarlyStarter) net.Listener {
	accepted := &socketListener{Listener: l}
	l = accepted
	if maxConns > 0 {
		l = netutil.LimitListener(l, maxConns)
	}
	return listener{Listener: l, accepted: accepted, startEarly: startEarly}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http retries after a net.Error that is temporary
	}
	c := newConn(raw, l.startEarly)
	c.socket = l.accepted.socket
	return c, nil
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	// socket is the socket of the connection, or nil.
	socket     syscall.Conn
	startEarly EarlyStarter
	// ctx is the context of its requests, and cancel ends it once the caller has
	// closed the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when bytes were read ahead or reading ahead has ended.
	changed sync.Cond
	// buffered holds the bytes read ahead, and readErr the error that follows them.
	buffered []byte
	readErr  error
	// readingAhead reports that readAhead runs.
	readingAhead bool

	splitter headSplitter
	// unserved are the requests that were received and that net/http does not serve
	// yet, in order of arrival. serving reports that it serves one.
	unserved []*receivedRequest
	serving  bool
}

func newConn(raw net.Conn, startEarly EarlyStarter) *conn {
	c := &conn{Conn: raw, startEarly: startEarly, ctx: context.Background(), cancel: func() {}}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn. It returns bytes that were read ahead first.
func (c *conn) Read(p []byte) (int, error) {
	if n, err, done := c.readBuffered(p); done {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRequests(p[:n])
	if connectionEnded(err) {
		c.cancel()
	}
	// While a handler runs, net/http reads a single byte in the background to notice
	// that the caller disconnects. Once it has that byte, it does not read again
	// until the handler returns, so the connection goes on reading itself.
	if n == 1 && len(p) == 1 && err == nil && !c.readingAhead {
		c.readingAhead = true
		go c.readAhead()
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection
}

// connectionEnded reports whether an error of a read means that the connection has
// ended; a deadline that passed does not.
func connectionEnded(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// Close implements net.Conn. It cancels the context of the requests.
func (c *conn) Close() error {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // callers get the error of the wrapped connection
}

// readBuffered returns bytes that were read ahead, or the error that follows them.
// It waits for them while readAhead runs. done is false if there are neither, so
// that the wrapped connection has to be read.
func (c *conn) readBuffered(p []byte) (n int, err error, done bool) { //nolint:revive,staticcheck // done qualifies both others
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readingAhead && len(c.buffered) == 0 {
		c.changed.Wait()
	}
	if len(c.buffered) > 0 {
		n = copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil, true
	}
	if c.readErr != nil {
		err, c.readErr = c.readErr, nil
		return 0, err, true
	}
	return 0, nil, false
}

// readAhead reads until the connection ends, a deadline interrupts a read, or
// maxReadAheadBytes are buffered.
func (c *conn) readAhead() {
	buf := make([]byte, 2<<10)
	for {
		n, err := c.Conn.Read(buf)
		if !c.appendReadAhead(buf[:n], err) {
			break
		}
	}
	c.changed.Broadcast()
}

// appendReadAhead buffers the result of a read and reports whether to read on.
func (c *conn) appendReadAhead(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 {
		c.recordRequests(data)
		c.buffered = append(c.buffered, data...)
		c.changed.Broadcast()
	}
	c.readingAhead = err == nil && len(c.buffered) < maxReadAheadBytes
	if connectionEnded(err) {
		c.cancel()
		// An expired deadline is not kept: the next read is subject to the deadline
		// that is then set.
		c.readErr = err
	}
	return c.readingAhead
}

// recordRequests records the requests that data completes, and starts responses to
// those that arrive while another request is served or unserved. The caller holds
// c.mu.
func (c *conn) recordRequests(data []byte) {
	var pipelined []*receivedRequest
	for _, r := range c.splitter.split(data) {
		if len(c.unserved) == maxUnserved {
			c.splitter.stopped = true
			break
		}
		if c.serving || len(c.unserved) > 0 {
			pipelined = append(pipelined, r)
		}
		c.unserved = append(c.unserved, r)
	}
	if len(pipelined) > 0 && c.startEarly != nil {
		go c.startResponses(pipelined)
	}
}

package snipetarget

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection is sealed")

// trackedConn counts the bytes that were handed to the connection. Sealing it
// makes sure that a request of which nothing was written is never written.
type trackedConn struct {
	net.Conn
	release func()

	mu      sync.Mutex
	written uint64
	sealed  bool
	once    sync.Once
}

// Write implements net.Conn. The bytes count as written before the system call,
// so that a concurrent seal cannot miss them.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p) //nolint:wrapcheck // net/http inspects errors of the connection
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err //nolint:wrapcheck // net/http inspects errors of the connection
}

func (c *trackedConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes and reports whether none happened since mark. A
// true result means that the target has not seen the request and never will.
func (c *trackedConn) seal(mark uint64) bool {
	c.mu.Lock()
	c.sealed = true
	untouched := c.written == mark
	c.mu.Unlock()
	_ = c.Close()
	return untouched
}

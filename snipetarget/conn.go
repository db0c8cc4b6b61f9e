package snipetarget

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection is sealed")

// trackedConn counts the bytes that are written to the connection. Sealing it
// rejects all later writes, so that a request of which no byte was written is
// never sent.
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

// bytesWritten returns the number of bytes written so far.
func (c *trackedConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, rejects later writes and reports whether the
// number of written bytes is still writtenBefore. If so, the target has not
// received any byte of the request and never will.
func (c *trackedConn) seal(writtenBefore uint64) bool {
	c.mu.Lock()
	c.sealed = true
	nothingWritten := c.written == writtenBefore
	c.mu.Unlock()
	_ = c.Close()
	return nothingWritten
}

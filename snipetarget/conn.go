package snipetarget

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
)

var errSealed = errors.New("connection is sealed")

// trackedConn counts the bytes that are written to the connection. Sealing it
// rejects all later writes, so that a request of which no byte was written is
// never sent. It also observes whether a response may refuse its request: the target
// may send such a response once more, which nothing tells from the next one.
type trackedConn struct {
	net.Conn
	release func()

	mu      sync.Mutex
	written uint64
	sealed  bool
	// responseDue is set from the begin of an attempt until the next read, and mayRefuse if
	// a response may have refused its request.
	responseDue bool
	mayRefuse   bool
	// endErr is the first error of a write, or says why the end of the connection that a
	// read has returned is not an orderly one.
	endErr error
	// ended is set when a read has returned the end of the connection, and closed when
	// the connection has been closed on this side.
	ended, closed bool
	once          sync.Once
	// drained is closed when no further byte can be read.
	drained     chan struct{}
	drainedOnce sync.Once
}

// maxDrain is how long a write that failed waits until the reader has read what the target
// sent before, which is there already.
const maxDrain = time.Second

func newTrackedConn(c net.Conn, release func()) *trackedConn {
	return &trackedConn{Conn: c, release: release, drained: make(chan struct{})}
}

// Write implements net.Conn. net/http drops a response that has arrived when a write
// fails, so the error is returned after the reader has come to the end. The bytes count as written before the system call,
// so that a concurrent seal cannot miss them.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += uint64(len(p))
	if c.ended && c.endErr == nil {
		c.endErr = errRequestNotWritten
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	if err != nil {
		c.awaitDrained()
	}
	return n, err //nolint:wrapcheck // net/http inspects errors of the connection
}

// awaitDrained waits until no further byte can be read, for at most maxDrain.
func (c *trackedConn) awaitDrained() {
	timer := time.NewTimer(maxDrain)
	defer timer.Stop()
	select {
	case <-c.drained:
	case <-timer.C:
	}
}

// recordWrite records the result of a write. If a read returned the end in the meantime,
// the state of the connection shows whether the write was received before.
func (c *trackedConn) recordWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.ended && !c.closed {
		err = snipeconn.CheckOrderlyEnd(c.Conn)
	}
	if c.endErr == nil {
		c.endErr = err
	}
}

// recordEnd records that a read returned the end. net/http closes the connection soon,
// and its state is lost then.
func (c *trackedConn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.endErr == nil {
		c.endErr = snipeconn.CheckOrderlyEnd(c.Conn)
	}
}

// recordClose records that the connection is about to be closed on this side. What was
// written since a read returned the end shows in the state of the connection until then.
func (c *trackedConn) recordClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && !c.closed && c.endErr == nil {
		c.endErr = snipeconn.CheckOrderlyEnd(c.Conn)
	}
	c.closed = true
}

// endError returns endErr.
func (c *trackedConn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// Read implements net.Conn. net/http reuses a connection only after it has read the
// response, so that mayRefuse is set before the next request gets the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
	if errors.Is(err, io.EOF) {
		c.recordEnd()
	}
	c.mu.Lock()
	if c.responseDue && n > 0 {
		c.responseDue = false
		c.mayRefuse = c.mayRefuse || mayRefuse(p[:n])
	}
	c.mu.Unlock()
	return n, err //nolint:wrapcheck // net/http inspects errors of the connection
}

// mayRefuse reports whether a response that begins with the given bytes may have the
// status of a refusal, because it has it, is interim, or its status is not among them.
func mayRefuse(begin []byte) bool {
	const versionBytes, statusBytes = len("HTTP/1.1 "), 3
	if len(begin) < versionBytes+statusBytes {
		return true
	}
	status := begin[versionBytes : versionBytes+statusBytes]
	return status[0] == '1' || string(status) == "503"
}

// beginAttempt prepares the connection for an attempt, and reports false if an earlier
// response over it may have refused its request.
func (c *trackedConn) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseDue = true
	return !c.mayRefuse
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.recordClose()
	c.drainedOnce.Do(func() { close(c.drained) })
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

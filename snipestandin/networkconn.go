package snipestandin

import (
	"context"
	"net"
	"sync"
	"time"
)

// The size in bytes of the chunks that a connection delays, and how many chunks
// can be in flight in each direction. Together they allow 8 MB in flight, enough
// for 1 Gbit/s at a delay of 60 ms.
const (
	chunkBytes        = 32 << 10
	maxChunksInFlight = 256
)

// networkConn is one delayed connection. The user of the network gets one end of
// an in-memory pipe, which provides deadlines; goroutines copy data between the
// other end and the TCP connection.
type networkConn struct {
	network  *Network
	pair     placePair
	delay    time.Duration
	pipeEnd  net.Conn
	realConn net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	// silent means that the connection delivers no data. It is protected by the
	// lock of the network.
	silent bool
}

// userConn is the end of the pipe that the user gets. It shows the addresses of
// the TCP connection.
type userConn struct {
	net.Conn
	realConn net.Conn
}

// LocalAddr returns the local address of the TCP connection.
func (c *userConn) LocalAddr() net.Addr { return c.realConn.LocalAddr() }

// RemoteAddr returns the remote address of the TCP connection.
func (c *userConn) RemoteAddr() net.Addr { return c.realConn.RemoteAddr() }

func (n *Network) wrap(conn net.Conn, pair placePair, delay time.Duration) (net.Conn, error) {
	outer, inner := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	c := &networkConn{
		network: n, pair: pair, delay: delay, pipeEnd: inner, realConn: conn, ctx: ctx, cancel: cancel,
	}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		c.abort()
		return nil, ErrNetworkClosed
	}
	n.conns[c] = struct{}{}
	n.wg.Add(1)
	n.mu.Unlock()
	go c.run()
	return &userConn{Conn: outer, realConn: conn}, nil
}

// abort closes both ends and drops the data in flight.
func (c *networkConn) abort() {
	c.cancel()
	_ = c.pipeEnd.Close()
	_ = c.realConn.Close()
}

// run copies data in both directions until one side has closed and the data in
// flight towards the other has arrived.
func (c *networkConn) run() {
	defer c.network.wg.Done()
	var wg sync.WaitGroup
	wg.Go(func() { c.copyDelayed(c.pipeEnd, c.realConn) })
	wg.Go(func() { c.copyDelayed(c.realConn, c.pipeEnd) })
	wg.Wait()
	c.cancel()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
}

// chunk is a piece of data and the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed reads from one connection and writes to another after the delay.
// The end of the stream is delayed like data.
func (c *networkConn) copyDelayed(from, to net.Conn) {
	chunks := make(chan chunk, maxChunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeChunks(chunks, to)
	}()
	c.readChunks(from, chunks)
	close(chunks)
	<-done
	_ = to.Close()
	_ = from.Close()
}

// readChunks reads until the end of the stream, an error or an abort, and sends
// each chunk with the time at which it is due.
func (c *networkConn) readChunks(from net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			data := append([]byte(nil), buffer[:n]...)
			select {
			case chunks <- chunk{data: data, due: time.Now().Add(c.delay)}:
			case <-c.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes chunks when they are due. If a write fails, it drops the
// rest and closes both ends, so that the sender gets an error.
func (c *networkConn) writeChunks(chunks <-chan chunk, to net.Conn) {
	for piece := range chunks {
		if !sleepWallClock(c.ctx, time.Until(piece.due)) || !c.waitForPath() {
			return
		}
		if _, err := to.Write(piece.data); err != nil {
			c.abort()
			return
		}
	}
	if sleepWallClock(c.ctx, c.delay) {
		c.waitForPath()
	}
}

// waitForPath waits while the pair of places is cut or the connection is silent.
// It reports false if the connection is aborted.
func (c *networkConn) waitForPath() bool {
	n := c.network
	for {
		n.mu.Lock()
		blocked, changed := c.silent || n.cuts[c.pair], n.changed
		n.mu.Unlock()
		if !blocked {
			return c.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

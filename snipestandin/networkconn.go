package snipestandin

import (
	"context"
	"net"
	"sync"
	"time"
)

// The size of the chunks that a connection delays, and how many chunks can be
// under way in each direction. Together they allow 8 MB under way, enough for
// 1 Gbit/s at a delay of 60 ms.
const (
	chunkBytes     = 32 << 10
	chunksUnderWay = 256
)

// networkConn is one delayed connection. The user holds one end of an in-memory
// pipe, which provides deadlines; goroutines move data between the other end
// and the real connection.
type networkConn struct {
	network *Network
	pair    placePair
	delay   time.Duration
	inner   net.Conn
	real    net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	// silent is protected by the lock of the network.
	silent bool
}

// userConn is the end that the user holds.
type userConn struct {
	net.Conn
	real net.Conn
}

// LocalAddr returns the local address of the real connection.
func (c *userConn) LocalAddr() net.Addr { return c.real.LocalAddr() }

// RemoteAddr returns the remote address of the real connection.
func (c *userConn) RemoteAddr() net.Addr { return c.real.RemoteAddr() }

func (n *Network) wrap(conn net.Conn, pair placePair, delay time.Duration) (net.Conn, error) {
	outer, inner := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	c := &networkConn{
		network: n, pair: pair, delay: delay, inner: inner, real: conn, ctx: ctx, cancel: cancel,
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
	return &userConn{Conn: outer, real: conn}, nil
}

// abort closes both ends without sending what is under way.
func (c *networkConn) abort() {
	c.cancel()
	_ = c.inner.Close()
	_ = c.real.Close()
}

// run moves data in both directions until one side has closed and the data
// under way towards the other has arrived.
func (c *networkConn) run() {
	defer c.network.wg.Done()
	var wg sync.WaitGroup
	wg.Go(func() { c.move(c.inner, c.real) })
	wg.Go(func() { c.move(c.real, c.inner) })
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

// move reads from one connection and writes to another after the delay. The
// end of the stream is delayed like data.
func (c *networkConn) move(from, to net.Conn) {
	chunks := make(chan chunk, chunksUnderWay)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.deliver(chunks, to)
	}()
	c.collect(from, chunks)
	close(chunks)
	<-done
	_ = to.Close()
	_ = from.Close()
}

func (c *networkConn) collect(from net.Conn, chunks chan<- chunk) {
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

// deliver writes chunks when they are due. After a failed write it drops the
// rest, and closes the receiver so that the sender notices.
func (c *networkConn) deliver(chunks <-chan chunk, to net.Conn) {
	for piece := range chunks {
		if !sleepReal(c.ctx, time.Until(piece.due)) || !c.waitForPath() {
			return
		}
		if _, err := to.Write(piece.data); err != nil {
			c.abort()
			return
		}
	}
	if sleepReal(c.ctx, c.delay) {
		c.waitForPath()
	}
}

// waitForPath waits while the pair is cut or the connection is silent. It
// reports false if the connection is aborted.
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

package snipeconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// concurrentWriteBytes is the size above which a request body is written while
// the response is read, because a target may respond before it has read the body.
const concurrentWriteBytes = 16 << 10

// Send sends r once, on an idle connection if there is one. Every error that it
// returns is an *Error.
func (p *Pools) Send(ctx context.Context, r *Request) (*Response, error) {
	now := time.Now()
	if err := ctx.Err(); err != nil {
		return nil, &Error{Cause: CauseCancelled, Err: err}
	}
	key := p.hasher.key(r)
	c := p.takeIdle(r.Address, now, func(c *conn) bool {
		return !c.opened.Before(r.OpenedSince) && c.sent.allow(key)
	})
	reused := c != nil
	if c == nil {
		dialed, err := p.dial(ctx, r.Address)
		if err != nil {
			return nil, dialError(ctx, err)
		}
		c = dialed
		if err := r.confirm(); err != nil {
			p.putIdle(c, time.Now(), 0)
			return nil, &Error{Cause: CauseWithdrawn, Err: err}
		}
	}
	e := &exchange{pools: p, conn: c, reused: reused, earlier: c.sent.count(), request: r, ctx: ctx}
	c.sent.add(key)
	resp, err := e.run()
	if err != nil {
		e.stopWatching()
		e.releaseMemory()
		c.discard()
		if reused && e.ctx.Err() == nil {
			// The other idle connections to the target may be unresponsive or broken
			// too. Without this, each of them would fail one more request.
			p.closeIdle(r.Address)
		}
		err.Reused = reused
		return nil, err
	}
	resp.Reused = reused
	return resp, nil
}

// dialError returns the error of a dial, whose request has not begun.
func dialError(ctx context.Context, err error) *Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Error{Cause: CauseCancelled, Err: err}
	}
	return &Error{Cause: CauseDial, Err: err}
}

// exchange is one request and its response on one connection.
type exchange struct {
	pools  *Pools
	conn   *conn
	reused bool
	// earlier is the number of requests that were sent over the connection before.
	earlier int
	request *Request
	ctx     context.Context
	// stopAfterFunc is the stop function of context.AfterFunc.
	stopAfterFunc func() bool

	stopOnce sync.Once
	// written receives the result of a body write that runs while the response is
	// read. It is nil if there is no such write.
	written chan error
	// reservedBytes is the part of Settings.Memory that the exchange holds.
	reservedBytes int64
	// head is the head of the response to the request, once it has been read.
	head *http.Response
}

// pastDeadline makes pending reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0) //nolint:gochecknoglobals // a constant that the language cannot express

// run sends the request and reads the response, up to the part of the body that
// is streamed.
func (e *exchange) run() (*Response, *Error) {
	if err := e.conn.SetDeadline(e.request.Deadline); err != nil {
		return nil, &Error{Cause: CauseConnectionLost, Err: fmt.Errorf("set deadline: %w", err)}
	}
	e.stopAfterFunc = context.AfterFunc(e.ctx, func() {
		// This fails only if the connection is closed already.
		_ = e.conn.SetDeadline(pastDeadline)
	})
	if err := e.writeRequest(); err != nil {
		return nil, err
	}
	resp, err := e.readResponse()
	if err == nil {
		return resp, nil
	}
	failure := e.newError(true, err)
	if e.head != nil {
		failure.Status, failure.Header = e.head.StatusCode, e.head.Header
	}
	return nil, failure
}

// writeRequest writes the request. A large body is still being written when it
// returns.
func (e *exchange) writeRequest() *Error {
	head := e.request.head()
	if len(e.request.Body) <= concurrentWriteBytes {
		head.Write(e.request.Body)
		n, err := e.conn.Write(head.Bytes())
		if err != nil {
			return e.newError(n > 0, err)
		}
		return nil
	}
	n, err := e.conn.Write(head.Bytes())
	if err != nil {
		return e.newError(n > 0, err)
	}
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(e.request.Body)
		e.written <- err
	}()
	return nil
}

// recycleConn returns the connection to the pool after a complete response, or
// closes it. It is not reusable if the context has ended, the response ends only
// with the connection, the target closes it, unread bytes follow the response, the
// request body is still being written, the request had no identifier or was the last
// one that the connection may carry.
func (e *exchange) recycleConn(resp *http.Response) {
	stopped := e.stopWatching()
	endDefined := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if !stopped || !endDefined || resp.Close || e.conn.reader.Buffered() > 0 || !e.bodyWritten() {
		e.conn.discard()
		return
	}
	if e.conn.sent.final() {
		e.conn.discard()
		return
	}
	keepAlive, known := keepAliveTimeout(resp.Header)
	if known && keepAlive <= 0 || e.conn.SetDeadline(time.Time{}) != nil {
		e.conn.discard()
		return
	}
	e.pools.putIdle(e.conn, time.Now(), keepAlive)
}

// bodyWritten reports whether the whole request body has been written.
func (e *exchange) bodyWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// stopWatching ends the effect of the context on the connection. It reports false
// if the context ended first and has expired the deadline of the connection. Only
// the first call has an effect; later ones report true.
func (e *exchange) stopWatching() bool {
	stopped := true
	e.stopOnce.Do(func() {
		if e.stopAfterFunc != nil {
			stopped = e.stopAfterFunc()
		}
	})
	return stopped
}

// newError returns err as an *Error with its cause. begun reports whether the
// target may have begun the request.
func (e *exchange) newError(begun bool, err error) *Error {
	var netError net.Error
	switch {
	case errors.Is(e.ctx.Err(), context.Canceled):
		return &Error{MayHaveBegun: begun, Cause: CauseCancelled, Err: err}
	case errors.Is(err, errTooLong):
		return &Error{MayHaveBegun: begun, Cause: CauseResponseTooLong, Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded), e.ctx.Err() != nil:
		return &Error{MayHaveBegun: begun, Cause: CauseTimeout, Err: err}
	case errors.As(err, &netError), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{MayHaveBegun: begun, Cause: CauseConnectionLost, Err: err}
	default:
		return &Error{MayHaveBegun: begun, Cause: CauseMalformed, Err: truncateError(err)}
	}
}

// truncateError shortens the text of an error that quotes bytes of a target, which
// can be any number.
func truncateError(err error) error {
	const maxTextBytes = 200
	text := err.Error()
	if len(text) <= maxTextBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxTextBytes], "") + " ...")
}

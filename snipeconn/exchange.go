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

// largeBodyBytes is the size above which a body is written beside reading the
// answer, because a target may answer before it has read the body.
const largeBodyBytes = 16 << 10

// Send sends r once. Errors are *Error.
func (p *Pools) Send(ctx context.Context, r *Request) (*Response, error) {
	now := time.Now()
	if err := ctx.Err(); err != nil {
		return nil, &Error{Cause: CauseCancelled, Err: err}
	}
	c := p.take(r.Address, now)
	reused := c != nil
	if c == nil {
		fresh, err := p.dial(ctx, r.Address)
		if err != nil {
			return nil, dialFailure(ctx, err)
		}
		c = fresh
	}
	e := &exchange{pools: p, conn: c, request: r, ctx: ctx}
	resp, err := e.run()
	if err != nil {
		e.end()
		e.release()
		c.discard()
		if reused && e.ctx.Err() == nil {
			// Connections that were kept with this one can be silent or broken too.
			p.forget(r.Address)
		}
		err.Reused = reused
		return nil, err
	}
	resp.Reused = reused
	return resp, nil
}

func dialFailure(ctx context.Context, err error) *Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Error{Cause: CauseCancelled, Err: err}
	}
	return &Error{Cause: CauseDial, Err: err}
}

// exchange is one request on one connection.
type exchange struct {
	pools   *Pools
	conn    *conn
	request *Request
	ctx     context.Context
	stop    func() bool

	once    sync.Once
	written chan error // nil unless the body is written beside the reading
	// reserved is the part of the memory for answers that the exchange holds.
	reserved int64
}

// longAgo makes pending reads and writes of a connection fail at once.
var longAgo = time.Unix(1, 0) //nolint:gochecknoglobals // a constant that the language cannot express

func (e *exchange) run() (*Response, *Error) {
	if err := e.conn.SetDeadline(e.request.Deadline); err != nil {
		return nil, &Error{Cause: CauseLost, Err: fmt.Errorf("set deadline: %w", err)}
	}
	e.stop = context.AfterFunc(e.ctx, func() {
		// A failing call means that the connection is closed already.
		_ = e.conn.SetDeadline(longAgo)
	})
	if failure := e.write(); failure != nil {
		return nil, failure
	}
	resp, err := e.read()
	if err != nil {
		return nil, e.failure(true, err)
	}
	return resp, nil
}

func (e *exchange) write() *Error {
	head := e.request.head()
	if len(e.request.Body) <= largeBodyBytes {
		head.Write(e.request.Body)
		n, err := e.conn.Write(head.Bytes())
		if err != nil {
			return e.failure(n > 0, err)
		}
		return nil
	}
	n, err := e.conn.Write(head.Bytes())
	if err != nil {
		return e.failure(n > 0, err)
	}
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(e.request.Body)
		e.written <- err
	}()
	return nil
}

// complete returns the connection to the pool if nothing speaks against its
// reuse.
func (e *exchange) complete(resp *http.Response) {
	stopped := e.end()
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if !stopped || !framed || resp.Close || e.conn.reader.Buffered() > 0 || !e.bodyWritten() {
		e.conn.discard()
		return
	}
	keepAlive, known := keepAliveTimeout(resp.Header)
	if known && keepAlive <= 0 || e.conn.SetDeadline(time.Time{}) != nil {
		e.conn.discard()
		return
	}
	e.pools.put(e.conn, time.Now(), keepAlive)
}

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

// end stops the watch of the context, and reports whether the context had not
// touched the connection.
func (e *exchange) end() bool {
	stopped := true
	e.once.Do(func() {
		if e.stop != nil {
			stopped = e.stop()
		}
	})
	return stopped
}

func (e *exchange) failure(begun bool, err error) *Error {
	var timeout net.Error
	switch {
	case errors.Is(e.ctx.Err(), context.Canceled):
		return &Error{Begun: begun, Cause: CauseCancelled, Err: err}
	case errors.Is(err, errTooLong):
		return &Error{Begun: begun, Cause: CauseTooLong, Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded), e.ctx.Err() != nil:
		return &Error{Begun: begun, Cause: CauseTimeout, Err: err}
	case errors.As(err, &timeout), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{Begun: begun, Cause: CauseLost, Err: err}
	default:
		return &Error{Begun: begun, Cause: CauseMalformed, Err: brief(err)}
	}
}

// brief cuts the text of an error that quotes what a target has sent.
func brief(err error) error {
	const maxText = 200
	text := err.Error()
	if len(text) <= maxText {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxText], "") + " ...")
}

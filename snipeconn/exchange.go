package snipeconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Response is the answer of a target. Close must be called.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the headers as received.
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body in a long answer, or nil. Its error is io.EOF
	// only at the end of a complete answer.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// Reused says whether the request went over a reused connection.
	Reused bool

	finish func(complete bool)
}

// Close ends the exchange. The connection of an answer that was not read to its
// end is closed.
func (r *Response) Close() {
	if r.finish != nil {
		r.finish(false)
		r.finish = nil
	}
}

// largeBodyBytes is the size above which a body is written beside reading the
// answer, because a target may answer before it has read the body.
const largeBodyBytes = 16 << 10

// maxStaleAnswers bounds the answers to other requests that are skipped before
// the connection counts as broken.
const maxStaleAnswers = 4

var (
	errStaleAnswers = errors.New("too many answers to other requests")
	errSwitching    = errors.New("answer switches protocols")
)

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

// read returns the first answer that echoes the identifier of the request.
func (e *exchange) read() (*Response, error) {
	asked := &http.Request{Method: e.request.Method}
	for range maxStaleAnswers {
		resp, err := http.ReadResponse(e.conn.reader, asked) //nolint:bodyclose // closing would drain a long body; the connection is closed instead
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitching
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := resp.Header.Get(e.request.IDHeader); id != "" && id != e.request.ID {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("skip answer to another request: %w", err)
			}
			continue
		}
		return e.body(resp)
	}
	return nil, errStaleAnswers
}

func (e *exchange) body(resp *http.Response) (*Response, error) {
	limit := e.pools.settings.BufferedBody
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	var err error
	if resp.Body == http.NoBody {
		// The length of an answer to HEAD is that of a body that is not sent.
		e.complete(resp)
		return out, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= limit {
		out.Body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.Body)
	} else {
		out.Body, err = io.ReadAll(io.LimitReader(resp.Body, limit))
	}
	if err != nil {
		return nil, fmt.Errorf("read body of answer: %w", err)
	}
	if resp.ContentLength > limit || resp.ContentLength < 0 && int64(len(out.Body)) == limit {
		out.Rest = resp.Body
		out.finish = func(bool) {
			e.end()
			e.conn.discard()
		}
		return out, nil
	}
	out.Length = int64(len(out.Body))
	e.complete(resp)
	return out, nil
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
	case errors.Is(err, os.ErrDeadlineExceeded), e.ctx.Err() != nil:
		return &Error{Begun: begun, Cause: CauseTimeout, Err: err}
	case errors.As(err, &timeout), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{Begun: begun, Cause: CauseLost, Err: err}
	default:
		return &Error{Begun: begun, Cause: CauseMalformed, Err: err}
	}
}

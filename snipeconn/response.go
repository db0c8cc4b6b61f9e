package snipeconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Response is the response of a target to one request. Close must be called.
type Response struct {
	// Status is the HTTP status code, from 200 to 599.
	Status int
	// Header holds the header fields as received.
	Header http.Header
	// Body is the whole body, or a leading part of it if Stream is set.
	Body []byte
	// Stream reads what follows Body if the response was not buffered completely,
	// and is nil otherwise. It returns io.EOF only at the end of a complete
	// response, and an *Error if the response breaks off or exceeds
	// Settings.MaxBodyBytes. The body is read ahead of it while there is memory.
	Stream io.Reader
	// Length is the length of the whole body in bytes, or -1 if it is not known.
	// For a response to HEAD it is the declared length.
	Length int64
	// Reused reports whether the request was sent on a reused connection.
	Reused bool

	conn *conn
	// earlier is exchange.earlier.
	earlier int
	finish  func()
}

// LocalAddr returns the local address of the connection over which the response came, as
// the target sees it, or an empty string if it is not known.
func (r *Response) LocalAddr() string {
	if r.conn == nil {
		return ""
	}
	return r.conn.LocalAddr().String()
}

// ConnOpened returns when the connection was opened over which the response came, or the
// zero time if it is not known.
func (r *Response) ConnOpened() time.Time {
	if r.conn == nil {
		return time.Time{}
	}
	return r.conn.opened
}

// EarlierRequests returns the number of requests that were sent over the connection before
// the one of this response.
func (r *Response) EarlierRequests() int { return r.earlier }

// Close releases the connection and the memory of the response. The connection of a
// response that has not arrived completely is closed, not reused.
func (r *Response) Close() {
	if r.finish != nil {
		r.finish()
		r.finish = nil
	}
}

// maxSkippedResponses bounds the interim (1xx) responses and the responses to
// other requests that are skipped before the exchange fails.
const maxSkippedResponses = 4

var (
	errTooLong        = errors.New("response exceeds its size limit")
	errTooManySkipped = errors.New("too many interim responses and responses to other requests")
	errSwitching      = errors.New("target switches protocols (status 101), which is not supported")
	errUnidentified   = errors.New("response without an identifier on a reused connection")
	errNotHTTP        = errors.New("received bytes are not an HTTP/1.x response")
)

// headLimiter limits the bytes that are read from a connection for the head
// (status line and header fields) of one response. net/http limits neither.
type headLimiter struct {
	conn io.Reader
	// remaining is the number of bytes that may still be read while active is set.
	remaining int64
	active    bool
}

// start limits the following reads to limit bytes. Bytes of the body that are
// buffered together with the head count too.
func (m *headLimiter) start(limit int64) { m.remaining, m.active = limit, true }

// stop lifts the limit.
func (m *headLimiter) stop() { m.active = false }

// Read implements io.Reader.
func (m *headLimiter) Read(p []byte) (int, error) {
	if !m.active {
		return m.conn.Read(p) //nolint:wrapcheck // readers compare the errors of a connection
	}
	if m.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := m.conn.Read(p[:min(int64(len(p)), m.remaining)])
	m.remaining -= int64(n)
	return n, err //nolint:wrapcheck // readers compare the errors of a connection
}

// readResponse returns the first final response that does not carry the
// identifier of another request. On a reused connection, a response without an
// identifier may be a late one to an earlier request, and is an error.
func (e *exchange) readResponse() (*Response, error) {
	for range maxSkippedResponses {
		resp, err := e.readHead() //nolint:bodyclose // closing would drain a long body; the connection is closed instead
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if err := CheckStatus(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitching
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(e.request.IDHeader)
		if id == "" && e.reused && e.request.IDHeader != "" {
			return nil, errUnidentified
		}
		if id != "" && id != e.request.ID {
			if err := e.discardBody(resp); err != nil {
				return nil, fmt.Errorf("skip response to another request: %w", err)
			}
			continue
		}
		e.head = resp
		return e.readBody(resp)
	}
	return nil, errTooManySkipped
}

// versionPrefix begins the status line of each response.
const versionPrefix = "HTTP/1."

// readHead reads the status line and the header fields of one response.
func (e *exchange) readHead() (*http.Response, error) {
	e.conn.limiter.start(e.pools.settings.MaxHeadBytes)
	defer e.conn.limiter.stop()
	// http.ReadResponse would read other bytes up to a line end, which may never
	// come.
	if begin, err := e.conn.reader.Peek(len(versionPrefix)); err == nil && !bytes.EqualFold(begin, []byte(versionPrefix)) {
		return nil, errNotHTTP
	}
	resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
	if err != nil && e.conn.limiter.remaining <= 0 {
		// A head that is cut off at the limit can fail as malformed.
		err = errTooLong
	}
	return resp, err //nolint:wrapcheck // readResponse adds the context
}

// discardBody reads and drops the body of a response to another request. It
// fails if the body reaches Settings.MaxBufferedBytes.
func (e *exchange) discardBody(resp *http.Response) error {
	limit := e.pools.settings.MaxBufferedBytes
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit))
	if err == nil && n == limit {
		return errTooLong
	}
	return err //nolint:wrapcheck // readResponse adds the context
}

// readBody reads the body of a response. A body within Settings.MaxBufferedBytes is
// buffered until it is complete if there is memory for it; any other body is
// streamed through Response.Stream.
func (e *exchange) readBody(resp *http.Response) (*Response, error) {
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: e.conn, earlier: e.earlier}
	if resp.Body == http.NoBody {
		// A response to HEAD declares the length of a body that is not sent.
		e.recycleConn(resp)
		return out, nil
	}
	if resp.ContentLength > e.pools.settings.MaxBodyBytes {
		return nil, fmt.Errorf("body of %d bytes: %w", resp.ContentLength, errTooLong)
	}
	body := io.Reader(resp.Body)
	if EndsWithConn(resp) {
		body = &unframedBody{body: resp.Body, exchange: e}
	}
	complete, err := e.bufferBody(resp, body, out)
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	out.finish = e.releaseMemory
	if complete {
		out.Length = int64(len(out.Body))
		e.recycleConn(resp)
		return out, nil
	}
	remaining := e.pools.settings.MaxBodyBytes - int64(len(out.Body))
	ahead := newReadAhead(&bodyStream{exchange: e, body: body, remaining: remaining},
		e.pools.settings.Memory, func() { e.recycleConn(resp) })
	out.Stream = ahead
	out.finish = func() {
		ahead.close(func() {
			e.stopWatching()
			e.conn.discard()
		})
		e.releaseMemory()
	}
	return out, nil
}

// bufferBody reads the body of a response into out.Body if its declared length is within
// Settings.MaxBufferedBytes and there is memory, or otherwise a leading part of it. It
// reports whether that is the whole body.
func (e *exchange) bufferBody(resp *http.Response, body io.Reader, out *Response) (complete bool, err error) {
	limit := e.pools.settings.MaxBufferedBytes
	n := resp.ContentLength
	if n < 0 {
		n = limit
	}
	if n == 0 {
		return true, nil
	}
	if n > limit || !e.reserveMemory(n) {
		limit = min(limit, e.leadingBytes())
	} else if resp.ContentLength >= 0 {
		out.Body = make([]byte, n)
		_, err = io.ReadFull(body, out.Body)
		return true, err //nolint:wrapcheck // readBody adds the context
	}
	out.Body, err = io.ReadAll(io.LimitReader(body, limit))
	return int64(len(out.Body)) < limit, err //nolint:wrapcheck // readBody adds the context
}

const (
	// maxLeadingBytes is the size of the leading part of a body that is streamed. It is
	// read before the response is returned, so that a target that breaks off at once
	// fails the exchange, which can then be repeated.
	maxLeadingBytes = 16 << 10
	// minLeadingBytes is its size without memory for more. It does not count in
	// Settings.Memory, as the read buffer of a connection.
	minLeadingBytes = readBufferBytes
)

// leadingBytes returns the size of the leading part of a body that is streamed.
func (e *exchange) leadingBytes() int64 {
	if e.reserveMemory(maxLeadingBytes) {
		return maxLeadingBytes
	}
	return minLeadingBytes
}

// reserveMemory reserves n bytes of Settings.Memory, and reports false if fewer
// are free.
func (e *exchange) reserveMemory(n int64) bool {
	memory := e.pools.settings.Memory
	if memory == nil {
		return true
	}
	if !memory.TryAcquire(n) {
		return false
	}
	e.reservedBytes = n
	return true
}

// releaseMemory returns the reserved memory. Further calls have no effect.
func (e *exchange) releaseMemory() {
	if e.reservedBytes > 0 {
		e.pools.settings.Memory.Release(e.reservedBytes)
		e.reservedBytes = 0
	}
}

// bodyStream reads the part of a body that was not buffered.
type bodyStream struct {
	exchange *exchange
	body     io.Reader
	// remaining is the number of bytes that the body may still have.
	remaining int64
}

// Read implements io.Reader.
func (s *bodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.remaining -= int64(n)
	switch {
	case s.remaining < 0:
		return 0, s.exchange.newError(true, fmt.Errorf("body after %d bytes: %w", s.exchange.pools.settings.MaxBodyBytes, errTooLong))
	case err == nil || errors.Is(err, io.EOF):
		return n, err //nolint:wrapcheck // io.EOF is compared
	default:
		return n, s.exchange.newError(true, fmt.Errorf("stream response body: %w", err))
	}
}

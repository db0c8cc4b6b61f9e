package snipeconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Response is the answer of a target. Close must be called.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the headers as received.
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body in an answer that is not held back, or nil. Its
	// error is io.EOF only at the end of a complete answer, and an *Error
	// otherwise.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// Reused says whether the request went over a reused connection.
	Reused bool

	finish func()
}

// Close ends the exchange. The connection of an answer that was not read to its
// end is closed.
func (r *Response) Close() {
	if r.finish != nil {
		r.finish()
		r.finish = nil
	}
}

// maxSkippedAnswers bounds the interim answers and the answers to other requests
// that are skipped before the connection counts as broken.
const maxSkippedAnswers = 4

var (
	errTooLong        = errors.New("answer is longer than its bound")
	errSkippedAnswers = errors.New("too many interim answers and answers to other requests")
	errSwitching      = errors.New("answer switches protocols")
	errNoAnswer       = errors.New("bytes are not an answer")
)

// headMeter bounds the bytes that are read from a connection for the head of one
// answer. net/http bounds neither the first line nor the headers of an answer.
type headMeter struct {
	conn io.Reader
	// left is what may still be read, if on is set.
	left int64
	on   bool
}

// start begins the head of an answer of at most limit bytes. Bytes of its body
// that are read ahead count too.
func (m *headMeter) start(limit int64) { m.left, m.on = limit, true }

// stop ends the bound.
func (m *headMeter) stop() { m.on = false }

// Read implements io.Reader.
func (m *headMeter) Read(p []byte) (int, error) {
	if !m.on {
		return m.conn.Read(p) //nolint:wrapcheck // readers compare the errors of a connection
	}
	if m.left <= 0 {
		return 0, errTooLong
	}
	n, err := m.conn.Read(p[:min(int64(len(p)), m.left)])
	m.left -= int64(n)
	return n, err //nolint:wrapcheck // readers compare the errors of a connection
}

// read returns the first answer that echoes the identifier of the request.
func (e *exchange) read() (*Response, error) {
	for range maxSkippedAnswers {
		resp, err := e.readHead() //nolint:bodyclose // closing would drain a long body; the connection is closed instead
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
			if err := e.skip(resp); err != nil {
				return nil, fmt.Errorf("skip answer to another request: %w", err)
			}
			continue
		}
		return e.body(resp)
	}
	return nil, errSkippedAnswers
}

// protocol is how each answer begins.
const protocol = "HTTP/1."

func (e *exchange) readHead() (*http.Response, error) {
	e.conn.meter.start(e.pools.settings.HeadBytes)
	defer e.conn.meter.stop()
	// Other bytes would be read to the end of a line, which may never come.
	if begin, err := e.conn.reader.Peek(len(protocol)); err == nil && !bytes.EqualFold(begin, []byte(protocol)) {
		return nil, errNoAnswer
	}
	resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
	if err != nil && e.conn.meter.left <= 0 {
		// What was read so far can look malformed.
		err = errTooLong
	}
	return resp, err //nolint:wrapcheck // read adds the context
}

// skip reads the body of an answer that belongs to another request.
func (e *exchange) skip(resp *http.Response) error {
	limit := e.pools.settings.BufferedBody
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit))
	if err == nil && n == limit {
		return errTooLong
	}
	return err //nolint:wrapcheck // read adds the context
}

// body takes the body of an answer. An answer that is not too long is held back
// until it is complete, as far as there is memory; others are passed on as they
// come.
func (e *exchange) body(resp *http.Response) (*Response, error) {
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	if resp.Body == http.NoBody {
		// The length of an answer to HEAD is that of a body that is not sent.
		e.complete(resp)
		return out, nil
	}
	if resp.ContentLength > e.pools.settings.AnswerBytes {
		return nil, fmt.Errorf("body of %d bytes: %w", resp.ContentLength, errTooLong)
	}
	whole, err := e.holdBack(resp, out)
	if err != nil {
		return nil, fmt.Errorf("read body of answer: %w", err)
	}
	out.finish = e.release
	if whole {
		out.Length = int64(len(out.Body))
		e.complete(resp)
		return out, nil
	}
	left := e.pools.settings.AnswerBytes - int64(len(out.Body))
	out.Rest = &rest{exchange: e, body: resp.Body, left: left}
	out.finish = func() {
		e.end()
		e.conn.discard()
		e.release()
	}
	return out, nil
}

// holdBack reads the body of an answer up to the bound of what is held back, and
// reports whether that is the whole body.
func (e *exchange) holdBack(resp *http.Response, out *Response) (whole bool, err error) {
	limit := e.pools.settings.BufferedBody
	n := resp.ContentLength
	if n > limit {
		n = 0
	} else if n < 0 {
		n = limit
	}
	if n == 0 || !e.reserve(n) {
		return resp.ContentLength == 0, nil
	}
	if resp.ContentLength >= 0 {
		out.Body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.Body)
		return true, err //nolint:wrapcheck // body adds the context
	}
	out.Body, err = io.ReadAll(io.LimitReader(resp.Body, limit))
	return int64(len(out.Body)) < limit, err //nolint:wrapcheck // body adds the context
}

// reserve takes n bytes of the memory for answers, and reports false if there are
// none.
func (e *exchange) reserve(n int64) bool {
	memory := e.pools.settings.Memory
	if memory == nil {
		return true
	}
	if !memory.TryAcquire(n) {
		return false
	}
	e.reserved = n
	return true
}

// release returns the reserved memory.
func (e *exchange) release() {
	if e.reserved > 0 {
		e.pools.settings.Memory.Release(e.reserved)
		e.reserved = 0
	}
}

// rest is the part of a body that is not held back.
type rest struct {
	exchange *exchange
	body     io.Reader
	// left is how many bytes may still come.
	left int64
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.left -= int64(n)
	switch {
	case r.left < 0:
		return 0, r.exchange.failure(true, fmt.Errorf("body after %d bytes: %w", r.exchange.pools.settings.AnswerBytes, errTooLong))
	case err == nil || errors.Is(err, io.EOF):
		return n, err //nolint:wrapcheck // io.EOF is compared
	default:
		return n, r.exchange.failure(true, fmt.Errorf("read rest of body: %w", err))
	}
}

package snipegate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"time"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 16 << 20
	// initialBodyBytes is the first memory reservation for a body of unknown length.
	initialBodyBytes = 16 << 10
	// noMemoryRetryDelay is after how long a caller may retry a request that was
	// refused for lack of body memory. By then, most requests that hold memory have
	// ended.
	noMemoryRetryDelay = 500 * time.Millisecond
)

// errNoMemory means that other requests hold the memory reserved for bodies.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the whole body of the request. If that fails, it refuses the
// request and returns false.
func (q *request) readBody() bool {
	if q.r.ContentLength == 0 {
		return true
	}
	limit := q.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(q.w)
	q.setConnDeadline("read", control.SetReadDeadline, q.deadline)
	err := q.readLimitedBody(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		q.setConnDeadline("read", control.SetReadDeadline, time.Time{})
		return true
	case errors.Is(err, errNoMemory):
		q.refuse(OutcomeNoMemory, noMemoryRetryDelay)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.cause = err
		q.refuse(OutcomeBodyTimeout, 0)
	case errors.As(err, &tooLarge):
		q.refuse(OutcomeBodyTooLarge, 0)
	default:
		q.cause = withoutTrailer(err)
		q.refuse(OutcomeBodyBroken, 0)
	}
	return false
}

// errMalformedTrailer replaces the error of a trailer that cannot be read.
var errMalformedTrailer = errors.New("malformed trailer")

// withoutTrailer returns the error of a body as it can be logged. That of a malformed trailer
// quotes the line, which can contain a key.
func withoutTrailer(err error) error {
	var quoting textproto.ProtocolError
	if errors.As(err, &quoting) {
		return errMalformedTrailer
	}
	return err
}

// readLimitedBody reads a body of at most limit bytes. The error is errNoMemory, an
// *http.MaxBytesError, or a wrapped read error of the connection.
func (q *request) readLimitedBody(limit int64) error {
	body := http.MaxBytesReader(q.w, q.r.Body, limit)
	n := q.r.ContentLength
	switch {
	case n > limit:
		return &http.MaxBytesError{Limit: limit}
	case n < 0:
		return q.readChunkedBody(body)
	case !q.reserve(n):
		return errNoMemory
	}
	q.body = make([]byte, n)
	if _, err := io.ReadFull(body, q.body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// readChunkedBody reads a body of unknown length. It doubles the reserved memory
// whenever the body fills it, and returns errNoMemory if there is none left.
func (q *request) readChunkedBody(body io.Reader) error {
	for {
		if len(q.body) == cap(q.body) {
			more := max(len(q.body), initialBodyBytes)
			if !q.reserve(int64(more)) {
				return errNoMemory
			}
			q.body = slices.Grow(q.body, more)
		}
		n, err := body.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// reserve reserves n bytes of the memory for bodies, and reports whether that many
// were available.
func (q *request) reserve(n int64) bool {
	if !q.gate.BodyMemory.TryAcquire(n) {
		return false
	}
	q.reservedBytes += n
	return true
}

// releaseBodyMemory returns the memory that the body reserved.
func (q *request) releaseBodyMemory() {
	if q.reservedBytes > 0 {
		q.gate.BodyMemory.Release(q.reservedBytes)
		q.reservedBytes = 0
	}
}

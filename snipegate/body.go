package snipegate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// defaultBodyBytes bounds a body where the configuration states no limit.
	defaultBodyBytes = 16 << 20
	// firstBodyBytes is the first reservation for a body of unknown length.
	firstBodyBytes = 16 << 10
	// noMemoryDelay is when a caller comes back whose body found no memory: most
	// requests that hold some have ended by then.
	noMemoryDelay = 500 * time.Millisecond
)

// errNoMemory means that the bodies of other requests use up the memory.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the whole body of the request, or refuses the request.
func (q *request) readBody() bool {
	if q.r.ContentLength == 0 {
		return true
	}
	limit := q.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(q.w)
	q.set("read", control.SetReadDeadline, q.deadline)
	err := q.takeBody(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		q.set("read", control.SetReadDeadline, time.Time{})
		return true
	case errors.Is(err, errNoMemory):
		q.refuse(OutcomeNoMemory, noMemoryDelay)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.cause = err
		q.refuse(OutcomeBodyTimeout, 0)
	case errors.As(err, &tooLarge):
		q.refuse(OutcomeBodyTooLarge, 0)
	default:
		q.cause = err
		q.refuse(OutcomeBodyBroken, 0)
	}
	return false
}

// takeBody reads a body of at most limit bytes. Its error wraps errNoMemory or an
// *http.MaxBytesError, or is that of the connection.
func (q *request) takeBody(limit int64) error {
	body := http.MaxBytesReader(q.w, q.r.Body, limit)
	n := q.r.ContentLength
	switch {
	case n > limit:
		return &http.MaxBytesError{Limit: limit}
	case n < 0:
		return q.takeChunks(body)
	case !q.reserve(n):
		return errNoMemory
	}
	q.body = make([]byte, n)
	if _, err := io.ReadFull(body, q.body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// takeChunks reads a body of unknown length. It reserves memory as the body grows.
func (q *request) takeChunks(body io.Reader) error {
	for {
		if len(q.body) == cap(q.body) {
			more := max(len(q.body), firstBodyBytes)
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

// reserve takes n bytes of the memory for bodies, and reports false if there are
// none.
func (q *request) reserve(n int64) bool {
	if !q.gate.Memory.TryAcquire(n) {
		return false
	}
	q.reserved += n
	return true
}

// releaseBody returns the memory of the body.
func (q *request) releaseBody() {
	if q.reserved > 0 {
		q.gate.Memory.Release(q.reserved)
		q.reserved = 0
	}
}

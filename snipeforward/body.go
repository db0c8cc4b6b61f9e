package snipeforward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// maxBufferedBody is the largest body that is kept so that it can be sent again.
const maxBufferedBody = 64 << 10

var errBodyTooLarge = errors.New("request body is too large")

// body is the body of a request. A small one is read whole before the first
// attempt, so that it can be sent again; a larger one can be sent only while
// nothing of it has been consumed.
type body struct {
	length   int64
	buffered []byte
	whole    bool
	rest     io.Reader
	consumed atomic.Bool
}

// readBody reads up to maxBufferedBody of src. limit bounds the whole body.
func readBody(src io.Reader, length, limit int64) (*body, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	if src == nil || length == 0 {
		return &body{length: 0, whole: true}, nil
	}
	if length > maxBufferedBody {
		return &body{length: length, rest: &limitedBody{src: src, left: limit}}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(src, maxBufferedBody+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if int64(len(buffered)) > limit {
		return nil, errBodyTooLarge
	}
	if len(buffered) <= maxBufferedBody {
		return &body{length: int64(len(buffered)), buffered: buffered, whole: true}, nil
	}
	left := limit - int64(len(buffered))
	return &body{length: length, buffered: buffered, rest: &limitedBody{src: src, left: left}}, nil
}

// repeatable reports whether the body can be sent now.
func (b *body) repeatable() bool { return b.whole || !b.consumed.Load() }

// reader returns the body for one attempt, nil if it is empty.
func (b *body) reader() io.ReadCloser {
	switch {
	case b.whole && b.length == 0:
		return nil
	case b.whole:
		return io.NopCloser(bytes.NewReader(b.buffered))
	default:
		return io.NopCloser(&consumingReader{body: b, r: io.MultiReader(bytes.NewReader(b.buffered), b.rest)})
	}
}

// consumingReader marks a body as consumed by its first read.
type consumingReader struct {
	body *body
	r    io.Reader
}

// Read implements io.Reader.
func (c *consumingReader) Read(p []byte) (int, error) {
	c.body.consumed.Store(true)
	return c.r.Read(p) //nolint:wrapcheck // io.EOF must stay what it is
}

// limitedBody fails with errBodyTooLarge past its limit.
type limitedBody struct {
	src  io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.src.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return n, errBodyTooLarge
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
}

package snipeforward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
)

// maxBufferedBody is the largest body that is kept so that it can be sent again.
const maxBufferedBody = 64 << 10

var (
	errBodyTooLarge = errors.New("request body is too large")
	errBodyConsumed = errors.New("request body was sent by another attempt")
)

// body is the body of a request. A small one is read whole before the first
// attempt, so that it can be sent again; a larger one can be sent only while
// nothing of it has been consumed.
type body struct {
	length   int64
	buffered []byte
	whole    bool
	rest     io.Reader

	mu sync.Mutex
	// owner is the only reader that may consume the body. An attempt that has
	// ended can still hold an older one.
	owner    *consumingReader
	consumed int64
	started  bool
	// reading is set while a read waits for the caller.
	reading bool
	// idle is closed when the read ends that detach waits for.
	idle  chan struct{}
	ended bool
	err   error
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
func (b *body) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole || !b.started
}

// size returns the length of the body, or what was consumed of a body of
// unknown length.
func (b *body) size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length >= 0 {
		return b.length
	}
	return b.consumed
}

// fault returns the reason why the body could not be read, or "". It is the
// caller's fault, not one of the target or relay that was to receive the body.
func (b *body) fault() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bodyFault(b.err)
}

// waiting reports whether an attempt waits for more of the body.
func (b *body) waiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

func bodyFault(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errBodyTooLarge):
		return reasonBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonDeadline
	default:
		return reasonBodyCut
	}
}

// reader returns the body for one attempt, nil if it is empty. It takes the
// body away from the readers of earlier attempts.
func (b *body) reader() io.ReadCloser {
	switch {
	case b.whole && b.length == 0:
		return nil
	case b.whole:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &consumingReader{body: b, r: io.MultiReader(bytes.NewReader(b.buffered), b.rest)}
	if !b.started {
		b.owner = c
	}
	return io.NopCloser(c)
}

// detach takes the body away from all readers and waits for a read that is in
// progress, which interrupt ends. It reports whether the body was read to its
// end.
func (b *body) detach(interrupt func()) bool {
	b.mu.Lock()
	b.owner, b.started = nil, true
	var idle chan struct{}
	if b.reading {
		idle = make(chan struct{})
		b.idle = idle
	}
	ended := b.ended
	b.mu.Unlock()
	if idle != nil {
		interrupt()
		<-idle
	}
	return ended
}

// consumingReader marks a body as consumed by its first read.
type consumingReader struct {
	body *body
	r    io.Reader
}

// Read implements io.Reader.
func (c *consumingReader) Read(p []byte) (int, error) {
	b := c.body
	b.mu.Lock()
	if b.owner != c {
		b.mu.Unlock()
		return 0, errBodyConsumed
	}
	b.started, b.reading = true, true
	b.mu.Unlock()
	n, err := c.r.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	if b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
	b.consumed += int64(n)
	b.ended = b.ended || errors.Is(err, io.EOF)
	if err != nil && !errors.Is(err, io.EOF) && b.err == nil {
		b.err = err
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
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

package snipeforward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
)

// maxBufferedBody is the size, in bytes, of the largest body that is buffered so
// that it can be sent again.
const maxBufferedBody = 64 << 10

var (
	errBodyTooLarge = errors.New("request body is too large")
	errBodyConsumed = errors.New("request body was sent by another attempt")
)

// body is the body of a request. A body of up to maxBufferedBody bytes is
// buffered before the first attempt, so that it can be sent again. A larger one is
// streamed, and can be sent again only if no attempt has read any of it.
type body struct {
	// length is -1 if it is unknown.
	length        int64
	buffered      []byte
	fullyBuffered bool
	// unbuffered is the rest of the body after buffered.
	unbuffered io.Reader

	mu sync.Mutex
	// activeReader is the only reader that may consume the body. An attempt that
	// has ended can still hold an older one.
	activeReader *consumingReader
	// consumed is the number of bytes read by attempts.
	consumed int64
	started  bool
	// reading is set while a read is in progress.
	reading bool
	// readDone is closed at the end of the read that detach waits for.
	readDone chan struct{}
	// complete is set once the body was read to its end.
	complete bool
	// err is the first error of a read.
	err error
}

// readBody returns the body that src holds and buffers up to maxBufferedBody
// bytes of it. length is -1 if it is unknown. limit is the largest permitted
// size, in bytes; a larger body leads to errBodyTooLarge, here or from a later
// read.
func readBody(src io.Reader, length, limit int64) (*body, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	if src == nil || length == 0 {
		return &body{length: 0, fullyBuffered: true}, nil
	}
	if length > maxBufferedBody {
		return &body{length: length, unbuffered: &limitedBody{src: src, remaining: limit}}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(src, maxBufferedBody+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if int64(len(buffered)) > limit {
		return nil, errBodyTooLarge
	}
	if len(buffered) <= maxBufferedBody {
		return &body{length: int64(len(buffered)), buffered: buffered, fullyBuffered: true}, nil
	}
	remaining := limit - int64(len(buffered))
	return &body{length: length, buffered: buffered, unbuffered: &limitedBody{src: src, remaining: remaining}}, nil
}

// repeatable reports whether another attempt can send the whole body.
func (b *body) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullyBuffered || !b.started
}

// size returns the length of the body in bytes or, if it is unknown, the number
// of bytes that attempts have read.
func (b *body) size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length >= 0 {
		return b.length
	}
	return b.consumed
}

// errorReason returns the reason for which the body could not be read, or "". The
// caller caused such an error, not the target or relay that receives the body.
func (b *body) errorReason() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bodyErrorReason(b.err)
}

// readPending reports whether an attempt waits for more of the body.
func (b *body) readPending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

// bodyErrorReason returns the reason of a refusal for a read error of a body, or
// "" for nil.
func bodyErrorReason(err error) string {
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

// reader returns a reader of the body for one attempt, or nil if the body is
// empty. If no attempt has read any of a streamed body, the new reader replaces
// those of earlier attempts; otherwise its reads fail with errBodyConsumed.
func (b *body) reader() io.ReadCloser {
	switch {
	case b.fullyBuffered && b.length == 0:
		return nil
	case b.fullyBuffered:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &consumingReader{body: b, r: io.MultiReader(bytes.NewReader(b.buffered), b.unbuffered)}
	if !b.started {
		b.activeReader = c
	}
	return io.NopCloser(c)
}

// detach makes reads of all readers fail. If a read is in progress, it calls
// interrupt, which must end that read, and waits for it. It reports whether the
// body was read to its end.
func (b *body) detach(interrupt func()) bool {
	b.mu.Lock()
	b.activeReader, b.started = nil, true
	var readDone chan struct{}
	if b.reading {
		readDone = make(chan struct{})
		b.readDone = readDone
	}
	complete := b.complete
	b.mu.Unlock()
	if readDone != nil {
		interrupt()
		<-readDone
	}
	return complete
}

// consumingReader reads a body for one attempt. Its first read marks the body as
// started.
type consumingReader struct {
	body *body
	r    io.Reader
}

// Read implements io.Reader.
func (c *consumingReader) Read(p []byte) (int, error) {
	b := c.body
	b.mu.Lock()
	if b.activeReader != c {
		b.mu.Unlock()
		return 0, errBodyConsumed
	}
	b.started, b.reading = true, true
	b.mu.Unlock()
	n, err := c.r.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	if b.readDone != nil {
		close(b.readDone)
		b.readDone = nil
	}
	b.consumed += int64(n)
	b.complete = b.complete || errors.Is(err, io.EOF)
	if err != nil && !errors.Is(err, io.EOF) && b.err == nil {
		b.err = err
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
}

// limitedBody returns errBodyTooLarge after more than remaining bytes.
type limitedBody struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.src.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return n, errBodyTooLarge
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
}

package snipeconn

import (
	"errors"
	"io"
	"sync"
)

const (
	// chunkBytes is the size in which memory for a streamed body is reserved.
	chunkBytes = 16 << 10
	// maxReadAheadBytes bounds what is read ahead of one streamed body, so that a few
	// long ones do not take all memory from the others.
	maxReadAheadBytes = 512 << 10
)

var errClosed = errors.New("response is closed")

// readAhead reads a streamed body ahead of its reader while there is memory, so that a
// target need not wait for a slow caller. Without memory it holds one chunk, which does
// not count.
type readAhead struct {
	src    io.Reader
	memory Memory // nil for no bound
	// onEnd is called once the end of the complete body has been read, unless the
	// response was closed before.
	onEnd func()
	// done is closed when src is no longer read.
	done chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	chunks  []*chunk
	// err is what follows the chunks; ended is set with io.EOF.
	err           error
	ended, closed bool
}

// chunk is a part of a body. Bytes from read to written wait for the reader.
type chunk struct {
	data          []byte
	read, written int
	// counted is set if the chunk counts in the memory.
	counted bool
}

// newReadAhead returns a readAhead that has begun to read src.
func newReadAhead(src io.Reader, memory Memory, onEnd func()) *readAhead {
	a := &readAhead{src: src, memory: memory, onEnd: onEnd, done: make(chan struct{})}
	a.changed.L = &a.mu
	go a.fill()
	return a
}

// fill reads src until it ends or the response is closed.
func (a *readAhead) fill() {
	defer close(a.done)
	for {
		c := a.space()
		if c == nil {
			return
		}
		n, err := a.src.Read(c.data[c.written:])
		a.add(c, n, err)
		if err != nil {
			return
		}
	}
}

// space waits for a chunk that has space, and returns nil if the response is closed.
func (a *readAhead) space() *chunk {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed {
		if n := len(a.chunks); n > 0 && a.chunks[n-1].written < chunkBytes {
			return a.chunks[n-1]
		}
		if counted := len(a.chunks) > 0; !counted || a.reserve() {
			a.chunks = append(a.chunks, &chunk{data: make([]byte, chunkBytes), counted: counted})
			continue
		}
		a.changed.Wait()
	}
	return nil
}

// reserve reserves the memory for a chunk, and reports false if there is none. The caller
// holds a.mu.
func (a *readAhead) reserve() bool {
	if len(a.chunks)*chunkBytes >= maxReadAheadBytes {
		return false
	}
	return a.memory == nil || a.memory.TryAcquire(chunkBytes)
}

// add records the result of a read into c.
func (a *readAhead) add(c *chunk, n int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.written += n
	a.err = err
	if errors.Is(err, io.EOF) && !a.closed {
		a.ended = true
		a.onEnd()
	}
	a.changed.Broadcast()
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed {
		if n := a.take(p); n > 0 || len(p) == 0 {
			return n, nil
		}
		if a.err != nil {
			return 0, a.err
		}
		a.changed.Wait()
	}
	return 0, errClosed
}

// take copies bytes of the first chunk, and drops the chunk when all of it has been read.
// The caller holds a.mu.
func (a *readAhead) take(p []byte) int {
	if len(a.chunks) == 0 {
		return 0
	}
	c := a.chunks[0]
	n := copy(p, c.data[c.read:c.written])
	c.read += n
	if c.read == chunkBytes {
		a.chunks = a.chunks[1:]
		a.release(c)
		a.changed.Broadcast()
	}
	return n
}

// release returns the memory of a chunk.
func (a *readAhead) release(c *chunk) {
	if c.counted && a.memory != nil {
		a.memory.Release(chunkBytes)
	}
}

// close ends reading. It calls interrupt, which must end a read of src, unless the end of
// the complete body has been read, and returns the memory.
func (a *readAhead) close(interrupt func()) {
	a.mu.Lock()
	a.closed = true
	ended := a.ended
	a.changed.Broadcast()
	a.mu.Unlock()
	if !ended {
		interrupt()
	}
	<-a.done
	for _, c := range a.chunks {
		a.release(c)
	}
	a.chunks = nil
}

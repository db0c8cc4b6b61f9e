package snipelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// WriterSettings are the limits of a Writer. A zero field selects its default.
type WriterSettings struct {
	// LinesPerSecond is the largest number of lines accepted in each second, not
	// counting lines about single requests; default 1,000.
	LinesPerSecond int
	// RequestLinesPerSecond is the largest number of lines about single requests
	// accepted in each second; default 400.
	RequestLinesPerSecond int
	// BufferBytes bounds the bytes that are buffered until the next flush, for both
	// kinds of lines together; default 256 KiB.
	BufferBytes int
	// FlushEvery is the time between two flushes to the output; default 250 ms.
	FlushEvery time.Duration
}

func (s WriterSettings) withDefaults() WriterSettings {
	if s.LinesPerSecond == 0 {
		s.LinesPerSecond = 1000
	}
	if s.RequestLinesPerSecond == 0 {
		s.RequestLinesPerSecond = 400
	}
	if s.BufferBytes == 0 {
		s.BufferBytes = 256 << 10
	}
	if s.FlushEvery == 0 {
		s.FlushEvery = 250 * time.Millisecond
	}
	return s
}

// Writer buffers lines and writes them to an output in the background. Lines above
// the limits are dropped; the next flush adds a line with their number. It is safe for
// concurrent use.
type Writer struct {
	out      io.Writer
	settings WriterSettings
	now      func() time.Time

	mu       sync.Mutex
	buffered []byte
	// processLimit counts the lines about the process, and requestLimit those about
	// single requests.
	processLimit rateLimiter
	requestLimit rateLimiter
	// unreported counts the lines that were dropped since the last flush, and
	// dropped all that were dropped.
	unreported int
	dropped    uint64

	stop chan struct{}
	done chan struct{} // closed when the last flush is complete
}

// NewWriter returns a writer that flushes to out. Close stops it.
func NewWriter(out io.Writer, settings WriterSettings) *Writer {
	w := &Writer{
		out: out, settings: settings.withDefaults(), now: time.Now,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// rateLimiter counts the lines that are accepted in the current second.
type rateLimiter struct {
	second   int64 // Unix time
	accepted int
}

// allow reports whether a further line in the given second stays within limit, and
// counts it if so.
func (r *rateLimiter) allow(second int64, limit int) bool {
	if second != r.second {
		r.second, r.accepted = second, 0
	}
	if r.accepted >= limit {
		return false
	}
	r.accepted++
	return true
}

// Write buffers or drops one line about the process. It does not wait for the output
// and always returns len(line) and no error.
func (w *Writer) Write(line []byte) (int, error) {
	return w.write(line, &w.processLimit, w.settings.LinesPerSecond)
}

// Requests returns a writer for lines about single requests. They have a limit of
// their own, so that many requests do not cause lines about the process to be dropped.
func (w *Writer) Requests() io.Writer { return requestWriter{w} }

// requestWriter writes lines about single requests.
type requestWriter struct{ w *Writer }

// Write buffers or drops one line. It does not wait for the output and always returns
// len(line) and no error.
func (r requestWriter) Write(line []byte) (int, error) {
	return r.w.write(line, &r.w.requestLimit, r.w.settings.RequestLinesPerSecond)
}

// write buffers a line, or drops and counts it if the buffer is full or r does not
// allow it.
func (w *Writer) write(line []byte, r *rateLimiter, limit int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > w.settings.BufferBytes || !r.allow(w.now().Unix(), limit) {
		w.unreported++
		w.dropped++
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	return len(line), nil
}

// Dropped returns the number of lines of both kinds that were dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close flushes the buffered lines and stops the writer. If the output blocks, it
// returns after FlushEvery, and the lines may be lost. It must be called once.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(w.settings.FlushEvery):
	}
}

// run flushes every FlushEvery, and a last time after Close.
func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(w.settings.FlushEvery)
	defer ticker.Stop()
	var reused []byte
	for {
		select {
		case <-ticker.C:
			reused = w.flush(reused)
		case <-w.stop:
			w.flush(reused)
			return
		}
	}
}

// flush writes the buffered lines, while further lines are collected in the memory of
// reused. It returns the written buffer, which the next flush may reuse.
func (w *Writer) flush(reused []byte) []byte {
	w.mu.Lock()
	lines := w.buffered
	w.buffered = reused[:0]
	if w.unreported > 0 {
		lines = fmt.Appendf(lines, "event=\"log lines dropped\" count=%d\n", w.unreported)
		w.unreported = 0
	}
	w.mu.Unlock()
	if len(lines) > 0 {
		// An error is ignored: there is no other output to report it to.
		_, _ = w.out.Write(lines)
	}
	return lines
}

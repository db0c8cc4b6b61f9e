package snipelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// WriterSettings bounds a Writer. A zero value selects the default.
type WriterSettings struct {
	// LinesPerSecond bounds the lines taken in a second; default 400.
	LinesPerSecond int
	// BufferBytes bounds the bytes that wait for the output; default 256 KiB.
	BufferBytes int
	// FlushEvery is the time between two writes to the output; default 250 ms.
	FlushEvery time.Duration
}

func (s WriterSettings) withDefaults() WriterSettings {
	if s.LinesPerSecond == 0 {
		s.LinesPerSecond = 400
	}
	if s.BufferBytes == 0 {
		s.BufferBytes = 256 << 10
	}
	if s.FlushEvery == 0 {
		s.FlushEvery = 250 * time.Millisecond
	}
	return s
}

// Writer collects lines and writes them to an output in the background. Lines
// beyond the bounds are dropped and counted; a line with the count follows once
// there is room. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	settings WriterSettings
	now      func() time.Time

	mu      sync.Mutex
	pending []byte
	second  int64
	taken   int
	dropped int
	total   uint64

	stop chan struct{}
	done chan struct{}
}

// NewWriter returns a started writer. Close ends it.
func NewWriter(out io.Writer, settings WriterSettings) *Writer {
	w := &Writer{
		out: out, settings: settings.withDefaults(), now: time.Now,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.taken = second, 0
	}
	if w.taken >= w.settings.LinesPerSecond || len(w.pending)+len(line) > w.settings.BufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.taken++
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what is pending and ends the writer. It waits for a blocked
// output for at most a flush interval.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(w.settings.FlushEvery):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(w.settings.FlushEvery)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ticker.C:
			spare = w.flush(spare)
		case <-w.stop:
			w.flush(spare)
			return
		}
	}
}

// flush writes the pending lines. It returns their buffer for the next round.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "event=\"log lines dropped\" count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is no other place to report a failing log output to.
		_, _ = w.out.Write(lines)
	}
	return lines
}

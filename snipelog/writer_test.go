package snipelog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// TestWriterLimits guards against a writer that blocks the code that logs, or buffers
// without limit, while its output blocks.
func TestWriterLimits(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out, WriterSettings{LinesPerSecond: 50, BufferBytes: 1 << 10, FlushEvery: 5 * time.Millisecond})
	fixed := time.Unix(100, 0)
	w.mu.Lock()
	w.now = func() time.Time { return fixed }
	w.mu.Unlock()
	const lines = 10_000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.Dropped(); got != lines-50 {
		t.Errorf("%d lines dropped, want %d", got, lines-50)
	}
	close(out.release)
	w.Close()
	<-w.done
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), "log lines dropped") {
		t.Error("the output does not report the dropped lines")
	}
}

// TestSeparateRequestLimit guards against lines about the process that are dropped
// because there are too many lines about requests.
func TestSeparateRequestLimit(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, WriterSettings{LinesPerSecond: 10, RequestLinesPerSecond: 5, FlushEvery: time.Hour})
	fixed := time.Unix(100, 0)
	w.mu.Lock()
	w.now = func() time.Time { return fixed }
	w.mu.Unlock()
	for range 1000 {
		if _, err := fmt.Fprintln(w.Requests(), "request"); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 {
		if _, err := fmt.Fprintln(w, "state"); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	<-w.done
	if n := strings.Count(out.String(), "request\n"); n != 5 {
		t.Errorf("%d lines about requests, want 5", n)
	}
	if n := strings.Count(out.String(), "state\n"); n != 10 {
		t.Errorf("%d lines about the process, want 10", n)
	}
}

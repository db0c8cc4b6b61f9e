package snipeconn

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"golang.org/x/sync/semaphore"
	"pgregory.net/rapid"
)

// TestReadAhead guards against a body that changes on its way, an error that hides bytes
// before it, and memory that is exceeded or not returned, whatever the sizes of reads.
func TestReadAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 60_000).Draw(t, "length"))
		budget := rapid.Int64Range(0, 1<<20).Draw(t, "memory")
		fails := rapid.Bool().Draw(t, "fails")
		maxRead := rapid.IntRange(1, 40<<10).Draw(t, "size of reads")
		memory := semaphore.NewWeighted(budget)
		src := io.MultiReader(bytes.NewReader(body), endReader{fails})
		ended := false
		a := newReadAhead(src, memory, func() { ended = true })
		got, err := io.ReadAll(&limitedReads{a, maxRead})
		if !bytes.Equal(got, body) || fails != (err != nil) || ended == fails {
			t.Errorf("%d of %d bytes, error %v, ended %v", len(got), len(body), err, ended)
		}
		a.close(func() {})
		if !memory.TryAcquire(budget) {
			t.Error("memory is not returned")
		}
	})
}

// endReader is the end of a body: io.EOF, or an error if it is true.
type endReader struct{ fails bool }

func (r endReader) Read([]byte) (int, error) {
	if r.fails {
		return 0, io.ErrUnexpectedEOF
	}
	return 0, io.EOF
}

// limitedReads reads at most n bytes at a time.
type limitedReads struct {
	r io.Reader
	n int
}

func (l *limitedReads) Read(p []byte) (int, error) { return l.r.Read(p[:min(len(p), l.n)]) }

// TestSlowReader guards against a target that must wait for a slow caller although there is
// memory for its response, and against more than a chunk without it.
func TestSlowReader(t *testing.T) {
	const size = 500 << 10
	r, w := io.Pipe()
	a := newReadAhead(r, semaphore.NewWeighted(1<<20), func() {})
	if _, err := w.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	if got, err := io.ReadAll(a); len(got) != size || err != nil {
		t.Errorf("%d of %d bytes, error %v", len(got), size, err)
	}
	a.close(func() {})

	r, w = io.Pipe()
	a = newReadAhead(r, semaphore.NewWeighted(0), func() { t.Error("the body has not ended") })
	if _, err := w.Write(make([]byte, chunkBytes)); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := w.Write([]byte{0})
		written <- err
	}()
	a.close(func() { _ = r.Close() })
	if err := <-written; !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("a byte beyond the chunk was taken without memory: %v", err)
	}
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, errClosed) {
		t.Errorf("error %v of a closed response", err)
	}
}

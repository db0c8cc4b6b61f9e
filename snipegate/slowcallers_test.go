package snipegate

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// pipeListener accepts connections without buffers: a write waits until it is read.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// call sends a request over a new connection, and returns the connection after the request
// has been read.
func (l *pipeListener) call(t *testing.T, method string, size, bodyBytes int) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	l.conns <- far
	head := fmt.Sprintf("%s /%d HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n", method, size, bodyBytes)
	if _, err := io.WriteString(near, head+strings.Repeat("b", bodyBytes)); err != nil {
		t.Error(err)
	}
	return near
}

// serveSized responds to each request with as many bytes as its path says.
func serveSized(c net.Conn, r *bufio.Reader, req *http.Request) {
	for {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		n, err := strconv.Atoi(strings.Trim(req.URL.Path, "/"))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
		if err != nil {
			return
		}
		if req, err = http.ReadRequest(r); err != nil {
			return
		}
	}
}

// readWhole reads a response from c. It returns io.ErrUnexpectedEOF if it breaks off.
func readWhole(c net.Conn) (status int, n int64, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	n, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, n, err
}

// TestSlowCallers guards against slow callers that exhaust the memory of a front or make it
// refuse quick ones. Load: 300 callers that read nothing of responses of 90 to 540 kB, on
// a budget of 8 MiB of which responses hold half; beside them 200 reads of 20 kB and
// uploads of 60 kB, one after the other.
func TestSlowCallers(t *testing.T) {
	const (
		slow, quick    = 300, 200
		budget         = 8 << 20
		perCaller      = 96 << 10 // buffers and stacks of both connections
		quickObjective = 500 * time.Millisecond
		uploadBytes    = 60_000
		timeout        = 20 * time.Second
	)
	address := startTarget(t, serveSized)
	r := newTestGateAt(t, snipetable.Download, 2, address)
	memory, responses := semaphore.NewWeighted(budget), semaphore.NewWeighted(budget/2)
	r.gate.BodyMemory, r.gate.ResponseMemory = memory, responses
	pools := snipeconn.New(snipeconn.Settings{Memory: responses})
	t.Cleanup(func() { pools.CloseExpired(time.Now(), func(string) bool { return false }) })
	r.gate.Sender = pools
	table := snipetable.New(snipetable.Content{
		Version: 3,
		Routes: []snipetable.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: snipetable.Download, Timeout: timeout, MaxAttempts: 2,
			Backends: []snipetable.Backend{{Service: "s", Weight: 1}},
		}},
		Services: []snipetable.Service{{Name: "s"}},
		Limits:   snipetable.Limits{BodyBytes: 1 << 20},
	})
	r.gate.Tables.UpdateIfNewer(table)
	r.fleet.UpdateTarget(r.gate.Clock.Now(), snipefleet.TargetReport{ID: "t", Service: "s", Address: address, Slots: 2 * slow, Born: 2})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := httptest.NewUnstartedServer(r.gate)
	_ = server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)

	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	callers := make([]net.Conn, slow)
	sizes := make([]int, slow)
	for i := range callers {
		sizes[i] = 90_000 + 450_000*i/slow
		callers[i] = l.call(t, http.MethodGet, sizes[i], 0)
	}
	for i := range quick {
		method, size, bodyBytes := http.MethodGet, 20_000, 0
		if i%2 == 1 {
			method, size, bodyBytes = http.MethodPost, 100, uploadBytes
		}
		started := time.Now()
		c := l.call(t, method, size, bodyBytes)
		status, n, err := readWhole(c)
		if status != http.StatusOK || n != int64(size) || err != nil {
			t.Fatalf("quick request %d: status %d, %d bytes, error %v", i, status, n, err)
		}
		if took := time.Since(started); took > quickObjective {
			t.Errorf("quick request %d took %v", i, took)
		}
		_ = c.Close()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > budget+slow*perCaller {
		t.Errorf("the heap has grown by %d bytes", grown)
	}
	for i, c := range callers {
		status, n, err := readWhole(c)
		whole := status == http.StatusOK && n == int64(sizes[i]) && err == nil
		if !whole && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("slow caller %d: status %d, %d of %d bytes, error %v", i, status, n, sizes[i], err)
		}
		_ = c.Close()
	}
}

// TestUploadMemory guards against the memory of an upload that is held while its caller
// reads the response.
func TestUploadMemory(t *testing.T) {
	const memory = 40 << 10
	r := newTestGate(t, snipetable.Upload, successResult("x"))
	setBodyLimit(t, r, 1<<20)
	pool := semaphore.NewWeighted(memory)
	r.gate.BodyMemory = pool
	req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", memory)))
	req.Host = "h"
	req.Header.Set("Id", "1")
	w := &checkingWriter{ResponseRecorder: httptest.NewRecorder(), check: func() {
		if !pool.TryAcquire(memory) {
			t.Error("memory of the upload is held while the response is written")
			return
		}
		pool.Release(memory)
	}}
	r.gate.ServeHTTP(w, req)
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

// checkingWriter calls check before each write of a body.
type checkingWriter struct {
	*httptest.ResponseRecorder
	check func()
}

func (w *checkingWriter) Write(p []byte) (int, error) {
	w.check()
	return w.ResponseRecorder.Write(p)
}

package snipestandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Clock is the part of a timer service that stand-ins need. After calls f once
// the delay has passed, unless cancel is called before. Both snipetime.Service
// and snipetime.Manual implement Clock.
type Clock interface {
	Now() snipetime.Instant
	After(delay time.Duration, f func(snipetime.Instant)) (cancel func())
}

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 64 << 10

// headerTimeout bounds how long a client may take to send a request header.
const headerTimeout = 10 * time.Second

// server is an HTTP server on a listener. done is closed when its accept loop
// has ended.
type server struct {
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// serve starts the HTTP server h on the listener.
func serve(listener net.Listener, h *http.Server) *server {
	s := &server{listener: listener, http: h, done: make(chan struct{})}
	h.ReadHeaderTimeout = headerTimeout
	go func() {
		defer close(s.done)
		// Serve always returns an error: after Close, http.ErrServerClosed.
		_ = h.Serve(listener)
	}()
	return s
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// address returns the address that the server listens on.
func (s *server) address() string { return s.listener.Addr().String() }

// close closes the listener and all connections and waits for the accept loop
// to end.
func (s *server) close() error {
	err := s.http.Close()
	<-s.done
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}

// sleep waits for d on the clock and reports false if ctx ends first.
func sleep(ctx context.Context, clock Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	done := make(chan struct{})
	cancel := clock.After(d, func(snipetime.Instant) { close(done) })
	defer cancel()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// dropConnection ends the handler and closes the connection of its request
// without a response. It does not return.
func dropConnection() {
	// For this value net/http closes the connection and logs nothing.
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected, so the error is ignored.
	_, _ = w.Write(body)
}

// readControl decodes the body of a control request into value and allows no
// unknown field. If the body is invalid, it responds with status 400 and reports
// false.
func readControl(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if err := snipeconfig.Decode("request", body, value).Err(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

package reviewbed

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Server is a stand-in for a server of a service. It is safe for concurrent use.
type Server struct {
	// ID is the identifier of the server.
	ID string

	wire    *Wire
	server  *httptest.Server
	born    int64
	respond http.HandlerFunc

	mu   sync.Mutex
	runs map[string]int
}

// NewServer returns a running server on a free loopback port, which runs each request that
// names it. respond writes the body, and the headers that are its own. Close stops it.
func NewServer(w *Wire, id string, respond http.HandlerFunc) *Server {
	s := &Server{ID: id, wire: w, born: time.Now().UnixMilli(), respond: respond, runs: map[string]int{}}
	s.server = httptest.NewServer(s)
	return s
}

// Close stops the server.
func (s *Server) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Runs returns how often a request ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Entry returns the entry of the server in the store.
func (s *Server) Entry(service, zone string) map[string]any {
	return map[string]any{
		"address": s.server.Listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": 6},
		"status": map[string]any{"state": "ready", "sequence": 1, s.wire.Cold: 0},
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(s.wire.RequestID)
	w.Header().Set(s.wire.RequestID, id)
	if r.Header.Get(s.wire.Target) != s.ID {
		w.Header().Set(s.wire.Instance, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set(s.wire.Signature, "signed-by-"+s.ID)
	s.respond(w, r)
}

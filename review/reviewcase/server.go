package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silence is the time without a heartbeat after which an entry is removed.
	silence = 3 * heartbeat
	// coldTime is how long a server is cold after it starts during traffic.
	coldTime = 3 * time.Second
	// maxGarbled is the largest part of its answers that a faulty server sends twice.
	maxGarbled = 0.03
)

// server is a stand-in of one server machine. Each start is a new incarnation with a new
// ID at the same address.
type server struct {
	name, service, zone string
	slots, queue        int
	work                time.Duration
	wire                *wire
	store               *store
	record              *record
	address             string

	mu sync.Mutex
	// id is that of the running incarnation, or empty.
	id       string
	starts   int
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	slotFree *sync.Cond
	lastBeat time.Time
	stopBeat chan struct{}
	// garbles reports whether the server is to send an answer with this status twice. It
	// is nil for a sound server.
	garbles func(status int) bool
	// sheds reports whether the server is to refuse a request although it has a free
	// slot. It is nil for a sound server.
	sheds func(id string) bool
	// answers and garbled count the answers and those that were sent twice.
	answers, garbled int
}

// newServer returns a server that is not started.
func newServer(name, service, zone string, slots int, work time.Duration, w *wire, st *store, rec *record) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("choose the address of a server: %w", err)
	}
	s := &server{
		name: name, service: service, zone: zone, slots: slots, queue: 3 * slots, work: work, wire: w, store: st, record: rec,
		address: l.Addr().String(), conns: make(map[net.Conn]struct{}),
	}
	s.slotFree = sync.NewCond(&s.mu)
	if err := l.Close(); err != nil {
		return nil, fmt.Errorf("choose the address of a server: %w", err)
	}
	return s, nil
}

// start starts an incarnation with a new ID and registers it. A server that starts during
// traffic is cold.
func (s *server) start(cold bool) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return fmt.Errorf("start server %s: %w", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	s.listener, s.running, s.waiting = l, 0, 0
	s.stopBeat = make(chan struct{})
	s.record.write("server", fmt.Sprintf("%s starts at %s", s.id, s.address))
	go s.accept(l, s.id)
	go s.beat(s.id, time.Now(), cold, s.stopBeat)
	return nil
}

// crash ends the incarnation without notice: its connections are reset, and its entry is
// removed after silence.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.id
	s.record.write("server", id+" crashes")
	s.id = ""
	close(s.stopBeat)
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	clear(s.conns)
	s.slotFree.Broadcast()
	left := time.Until(s.lastBeat.Add(silence))
	time.AfterFunc(left, func() { s.store.remove(s.wire.ServerPrefix + id) })
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// beat registers an incarnation, and notes its heartbeats. The entry changes only when
// more than its sequence does.
func (s *server) beat(id string, born time.Time, cold bool, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	entryCold := cold
	s.store.put(s.wire.ServerPrefix+id, s.entry(born, 1, coldLeft(born, cold)))
	for sequence := 1; ; sequence++ {
		s.mu.Lock()
		s.lastBeat = time.Now()
		s.mu.Unlock()
		if entryCold && coldLeft(born, cold) == 0 {
			entryCold = false
			s.store.put(s.wire.ServerPrefix+id, s.entry(born, sequence, 0))
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// coldLeft returns how much longer a server is cold that started at born.
func coldLeft(born time.Time, cold bool) time.Duration {
	if !cold {
		return 0
	}
	return max(time.Until(born.Add(coldTime)), 0)
}

// entry returns the entry of an incarnation in the store.
func (s *server) entry(born time.Time, sequence int, cold time.Duration) map[string]any {
	return map[string]any{
		"address": s.address, "born": born.UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, s.wire.ColdField: cold.Milliseconds()},
	}
}

// accept serves the connections of an incarnation.
func (s *server) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.id != id {
			s.mu.Unlock()
			reset(c)
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c, id)
	}
}

// serve answers the requests of a connection one after the other. If the answer to a
// request is garbled, a copy of it is sent late, where the next answer is expected.
func (s *server) serve(c net.Conn, id string) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != nil {
			s.record.write("late", fmt.Sprintf("%s sends its last answer once more, before that to %s", id, r.Header.Get(s.wire.RequestID)))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, answer, err := s.answer(r, id)
		if err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.isGarbled(status) {
			late = answer
		}
	}
}

// isGarbled counts an answer, and reports whether it is to be sent twice. That holds for
// maxGarbled of all answers at most.
func (s *server) isGarbled(status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if s.garbles == nil || !s.garbles(status) || float64(s.garbled+1) > maxGarbled*float64(s.answers) {
		return false
	}
	s.garbled++
	return true
}

// errCrashed means that the incarnation has ended.
var errCrashed = errors.New("server has crashed")

// answer handles a request and returns the status and the bytes of its answer.
func (s *server) answer(r *http.Request, id string) (status int, answer []byte, err error) {
	request := r.Header.Get(s.wire.RequestID)
	if want := r.Header.Get(s.wire.Target); want != "" && want != id {
		s.record.write("not run", fmt.Sprintf("%s by %s, which is not %s", request, id, want))
		return http.StatusMisdirectedRequest, s.format(http.StatusMisdirectedRequest, request, s.wire.Instance+": "+id+"\r\n", ""), nil
	}
	if !s.takeSlot(request, id) {
		s.record.write("not run", fmt.Sprintf("%s by %s, which sheds it", request, id))
		return http.StatusServiceUnavailable, s.format(http.StatusServiceUnavailable, request, s.wire.NotRun+": 1\r\n", ""), nil
	}
	s.record.ran(request, id)
	time.Sleep(s.work)
	s.mu.Lock()
	crashed := s.id != id
	if !crashed {
		s.running--
		s.slotFree.Signal()
	}
	s.mu.Unlock()
	if crashed {
		return 0, nil, errCrashed
	}
	return http.StatusOK, s.format(http.StatusOK, request, s.wire.Signature+": "+request+"."+id+"\r\n", "done "+request), nil
}

// takeSlot waits in the queue for a free slot. It returns false if the queue is full, or
// if the server sheds the request.
func (s *server) takeSlot(request, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sheds != nil && s.running < s.slots && s.sheds(request) {
		return false
	}
	if s.running == s.slots && s.waiting == s.queue {
		return false
	}
	s.waiting++
	for s.running == s.slots && s.id == id {
		s.slotFree.Wait()
	}
	s.waiting--
	s.running++
	return true
}

// format returns the bytes of an answer.
func (s *server) format(status int, request, fields, body string) []byte {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), s.wire.RequestID, request, s.wire.Load, load, len(body), fields, body)
}

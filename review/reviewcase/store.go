package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items of a page.
	pageItems = 50
	// minTTL and maxTTL bound the time to live of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// leaseSweep is the time between two removals of expired leases.
	leaseSweep = 100 * time.Millisecond
)

// item is an item of the store or an event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	listener net.Listener
	server   *http.Server
	stop     chan struct{}

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	// leases holds the leases by ID.
	leases    map[uint64]*lease
	lastLease uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// lease is a lease with its time to live.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// newStore returns a running store on a free port.
func newStore(w *wire) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s := &store{
		listener: l, stop: make(chan struct{}), rev: 1, items: make(map[string]item),
		leases: make(map[uint64]*lease), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(w.RangeCall, s.list)
	mux.HandleFunc(w.WatchCall, s.watch)
	mux.HandleFunc(w.TxnCall, s.transact)
	mux.HandleFunc(w.LeaseCall, s.grant)
	mux.HandleFunc(w.KeepCall, s.keep)
	mux.HandleFunc(w.EndCall, s.end)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	go s.sweep()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// close stops the store.
func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// put writes a value as JSON, as the operator and the servers do.
func (s *store) put(key string, value map[string]any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("reviewcase: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, data, 0)
}

func (s *store) putLocked(key string, value []byte, id uint64) {
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: id}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.addEvent(it)
}

// remove removes a key, if it exists.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.addEvent(item{Key: key, Rev: s.rev, Tombstone: true})
}

// addEvent adds an event and wakes the watches.
func (s *store) addEvent(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// sweep ends expired leases until the store is closed.
func (s *store) sweep() {
	ticker := time.NewTicker(leaseSweep)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if now.After(l.expires) {
					s.endLocked(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// endLocked ends a lease and removes its keys.
func (s *store) endLocked(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, value map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(value)
}

// list returns one page of the items with a prefix.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": len(items) > pageItems, "at": s.rev})
}

// watch returns the events after a revision, as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for late := false; ; {
		events, at, changed := s.eventsAfter(q.Get("prefix"), after)
		if len(events) > 0 || late {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events after a revision, the revision of the store, and a
// channel that is closed at the next change.
func (s *store) eventsAfter(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.rev, s.changed
}

// transact makes the writes of a transaction. Fronts state no conditions.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range txn.Writes {
		s.putLocked(write.Key, write.Value, write.Lease)
	}
	writeJSON(w, map[string]any{"rev": s.rev})
}

// grant grants a lease.
func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(asked.TTL)*time.Millisecond, minTTL), maxTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

// keep renews a lease.
func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(_ uint64, l *lease) { l.expires = time.Now().Add(l.ttl) })
}

// end ends a lease.
func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id uint64, _ *lease) { s.endLocked(id) })
}

// withLease calls use with the lease that the path names, or responds with 404.
func (s *store) withLease(w http.ResponseWriter, r *http.Request, use func(id uint64, l *lease)) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	use(id, l)
	writeJSON(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

package reviewbed

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event that removed it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// contents is what a store holds.
type contents struct {
	rev, lastLease uint64
	items          map[string]item
	history        []item
	// leases holds the ends of the leases, and ttls their lengths.
	leases map[uint64]time.Time
	ttls   map[uint64]time.Duration
}

func (c *contents) clone() *contents {
	return &contents{
		rev: c.rev, lastLease: c.lastLease, items: maps.Clone(c.items), history: slices.Clone(c.history),
		leases: maps.Clone(c.leases), ttls: maps.Clone(c.ttls),
	}
}

// Store is a stand-in for the platform's store. It keeps its whole history. It is safe for
// concurrent use.
type Store struct {
	wire   *Wire
	server *httptest.Server

	mu sync.Mutex
	*contents
	// era counts the restorations.
	era uint64
	// away is set while the store rejects all calls.
	away bool
	// changed is closed, and replaced, when the contents change.
	changed chan struct{}
}

// NewStore returns a running store on a free loopback port. Close stops it.
func NewStore(w *Wire) *Store {
	s := &Store{wire: w, changed: make(chan struct{}), contents: &contents{
		rev: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
	}}
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		w.Range: s.list, w.Watch: s.watch, w.Txn: s.transact, w.Lease: s.grant, w.Keep: s.keep, w.End: s.end,
	} {
		mux.HandleFunc(pattern, handle)
	}
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the address of the store as "host:port".
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Put writes a value, encoded as JSON, as the operator and the servers do.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The cases write maps that can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// SetAway makes the store reject all calls, or ends that.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// Copy is a copy of the contents of a store.
type Copy struct{ contents *contents }

// Copy copies the contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.clone()}
}

// Restore replaces the contents by those of a copy. Revisions and leases that were given out
// since are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c.contents.clone()
	s.era++
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an item. The caller holds the lock.
func (s *Store) write(key string, value []byte, lease uint64) {
	s.rev++
	created := s.rev
	if old, found := s.items[key]; found {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
}

// remove removes an item. The caller holds the lock.
func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
	s.notify()
}

// endLease removes a lease and its items. The caller holds the lock.
func (s *Store) endLease(lease uint64) {
	delete(s.leases, lease)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == lease {
			s.remove(key)
		}
	}
}

// begin states the era, ends the leases that have run out, and rejects the call while the
// store is away. It reports whether the call goes on. The caller holds the lock.
func (s *Store) begin(w http.ResponseWriter) bool {
	w.Header().Set(s.wire.Era, strconv.FormatUint(s.era, 10))
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	for lease, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(lease)
		}
	}
	return true
}

// reply writes a response with status 200. An error means that the caller is gone.
func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// maxListed is the number of items on a page of a listing.
const maxListed = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begin(w) {
		return
	}
	q, page := r.URL.Query(), []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			page = append(page, s.items[key])
		}
	}
	more := len(page) > maxListed
	reply(w, map[string]any{"items": page[:min(len(page), maxListed)], "has_more": more, "at": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		changed, done := s.answerWatch(w, after, q.Get("prefix"), last)
		if done {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch answers a watch if there are events, if it cannot go on or if it is the last
// look. It returns a channel that is closed at the next change, and whether it has answered.
func (s *Store) answerWatch(w http.ResponseWriter, after uint64, prefix string, last bool) (changed <-chan struct{}, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begin(w) {
		return nil, true
	}
	if after > s.rev {
		w.WriteHeader(http.StatusGone)
		return nil, true
	}
	events := []item{}
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	if len(events) == 0 && !last {
		return s.changed, false
	}
	reply(w, map[string]any{"events": events, "at": s.rev})
	return nil, true
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begin(w) {
		return
	}
	for _, write := range txn.Writes {
		if _, found := s.leases[write.Lease]; write.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range txn.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	reply(w, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL float64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begin(w) {
		return
	}
	s.lastLease++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.lastLease], s.ttls[s.lastLease] = time.Now().Add(ttl), ttl
	reply(w, map[string]any{"lease": s.lastLease, "ttl_ms": request.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(lease uint64) { s.leases[lease] = time.Now().Add(s.ttls[lease]) })
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) { s.withLease(w, r, s.endLease) }

// withLease calls use with the lease that the path names, or responds with 404.
func (s *Store) withLease(w http.ResponseWriter, r *http.Request, use func(lease uint64)) {
	lease, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begin(w) {
		return
	}
	if _, found := s.leases[lease]; !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	use(lease)
	reply(w, map[string]any{"ttl_ms": s.ttls[lease].Milliseconds()})
}

package snipestandin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// MaxValueBytes is the size of the largest value that the store holds.
const MaxValueBytes = 1 << 20

// CallKind is a kind of store call. A waiting watch counts as one call.
type CallKind string

// The kinds of store calls.
const (
	CallGet    CallKind = "get"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallLease  CallKind = "lease"
	CallRenew  CallKind = "renew"
	CallRevoke CallKind = "revoke"
)

// Outage is the way in which a service is unavailable.
type Outage string

// The kinds of outages.
const (
	// OutageNone means that the service works.
	OutageNone Outage = ""
	// OutageError answers each call with status 503.
	OutageError Outage = "error"
	// OutageSilent accepts each call and never answers.
	OutageSilent Outage = "silent"
	// OutageClose closes the connection of each call.
	OutageClose Outage = "close"
)

// StoreFaults are the faults of a store. The zero value has no fault.
type StoreFaults struct {
	// Outage makes all calls fail.
	Outage Outage `check:"oneof=error|silent|close"`
	// Delay is added before each call takes effect.
	Delay time.Duration `check:"max=10m"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `check:"min=0,max=1000000"`
	// LoseRequests is how many of the next writes are dropped without effect.
	LoseRequests int `check:"min=0,max=1000000"`
	// LateWrites is how many of the next writes lose their connection first and
	// take effect LateBy later.
	LateWrites int           `check:"min=0,max=1000000"`
	LateBy     time.Duration `check:"max=10m"`
	// RefuseFraction is the part of the calls that is answered with status 429.
	RefuseFraction float64 `check:"min=0,max=1"`
	// OldData makes reads show the data as it was when the fault was set.
	OldData bool
}

// StoreSettings are the settings of a stand-in store.
type StoreSettings struct {
	// Address is the address to listen on; port 0 takes a free one.
	Address string
	// Clock is the clock of leases, delays and watches.
	Clock Clock
	// Seed seeds the choice of refused calls.
	Seed uint64
}

// Store is a stand-in for the platform's key-value service. It is safe for
// concurrent use.
type Store struct {
	clock  Clock
	server *server

	// hook is called at the start of each call; see SetHook.
	hook atomic.Pointer[func(kind CallKind, path string)]

	mu     sync.Mutex
	data   storeData
	old    *storeData
	leases map[string]*storeLease
	nextID uint64
	// changed is closed and replaced on each change, to wake watches.
	changed chan struct{}
	faults  StoreFaults
	random  *rand.Rand
	calls   map[CallKind]uint64
	// cancelWake ends the timer for the next lease that expires.
	cancelWake func()
	closed     chan struct{}
	late       sync.WaitGroup
}

// storeData is what reads see.
type storeData struct {
	revision uint64
	items    map[string]storeItem
	// deleted maps each deleted key to the revision of its deletion.
	deleted map[string]uint64
}

type storeItem struct {
	value   []byte
	version uint64
	lease   string
}

type storeLease struct {
	ttl     time.Duration
	expires snipetime.Instant
}

// NewStore starts a store without data.
func NewStore(settings StoreSettings) (*Store, error) {
	s := &Store{
		clock: settings.Clock,
		data: storeData{
			items:   map[string]storeItem{},
			deleted: map[string]uint64{},
		},
		leases:  map[string]*storeLease{},
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(settings.Seed, 1)),
		calls:   map[CallKind]uint64{},
		closed:  make(chan struct{}),
	}
	listener, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	s.server = serve(listener, &http.Server{Handler: s.Handler()})
	return s, nil
}

// Address returns the address that the store listens on.
func (s *Store) Address() string { return s.server.address() }

// Close ends the listener and all waiting calls. It must be called only once.
func (s *Store) Close() error {
	s.mu.Lock()
	close(s.closed)
	if s.cancelWake != nil {
		s.cancelWake()
	}
	s.mu.Unlock()
	return s.server.close()
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.OldData && s.old == nil:
		s.expire()
		s.old = s.data.clone()
	case !f.OldData:
		s.old = nil
	}
	s.wake()
}

// SetHook sets a function that is called with the kind and the URL path of each
// call before faults apply and before the call takes effect. The call waits
// until the function returns, and the function may set faults that apply to the
// call. Nil removes the function.
func (s *Store) SetHook(hook func(kind CallKind, path string)) {
	if hook == nil {
		s.hook.Store(nil)
		return
	}
	s.hook.Store(&hook)
}

// Faults returns the faults that are set, with the remaining counts.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls by kind. Refused calls count too.
func (s *Store) Calls() map[CallKind]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// WaitLate waits until all late writes have taken effect.
func (s *Store) WaitLate() { s.late.Wait() }

// Lapse expires a lease at once and deletes its keys, also during an outage.
// It reports false if there is no such lease.
func (s *Store) Lapse(lease string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[lease]
	if ok {
		l.expires = s.clock.Now()
		s.expire()
	}
	return ok
}

// LapseAll expires all leases at once.
func (s *Store) LapseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expires = s.clock.Now()
	}
	s.expire()
}

// LeaseOf returns the lease that a key is bound to, or empty text.
func (s *Store) LeaseOf(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.items[key].lease
}

// Value returns the value and the version of a key without counting a call,
// regardless of faults. The version is 0 if there is no such key.
func (s *Store) Value(key string) (value []byte, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item := s.data.items[key]
	return slices.Clone(item.value), item.version
}

func (d *storeData) clone() *storeData {
	return &storeData{
		revision: d.revision,
		items:    maps.Clone(d.items),
		deleted:  maps.Clone(d.deleted),
	}
}

// visible returns the data that reads see. The caller holds the lock.
func (s *Store) visible() *storeData {
	if s.old != nil {
		return s.old
	}
	return &s.data
}

// wake lets all waiting watches look again. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes leases that have run out and their keys, and sets a timer for
// the next one. The caller holds the lock.
func (s *Store) expire() {
	now := s.clock.Now()
	removed := false
	for id, lease := range s.leases {
		if !lease.expires.After(now) {
			s.removeLease(id)
			removed = true
		}
	}
	if removed {
		s.wake()
	}
	s.schedule(now)
}

func (s *Store) schedule(now snipetime.Instant) {
	if s.cancelWake != nil {
		s.cancelWake()
		s.cancelWake = nil
	}
	var next *storeLease
	for _, lease := range s.leases {
		if next == nil || lease.expires.Before(next.expires) {
			next = lease
		}
	}
	if next == nil {
		return
	}
	s.cancelWake = s.clock.After(next.expires.Sub(now), func(snipetime.Instant) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
	})
}

func (s *Store) removeLease(id string) {
	delete(s.leases, id)
	for key, item := range s.data.items {
		if item.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.data.revision++
	delete(s.data.items, key)
	s.data.deleted[key] = s.data.revision
}

// put writes a key if its version is ifVersion, and returns the new version.
// The caller holds the lock.
func (s *Store) put(key string, value []byte, ifVersion uint64, lease string) (uint64, int) {
	if len(value) > MaxValueBytes {
		return 0, http.StatusRequestEntityTooLarge
	}
	if s.data.items[key].version != ifVersion {
		return 0, http.StatusConflict
	}
	if _, ok := s.leases[lease]; lease != "" && !ok {
		return 0, http.StatusNotFound
	}
	s.data.revision++
	s.data.items[key] = storeItem{value: value, version: s.data.revision, lease: lease}
	delete(s.data.deleted, key)
	s.wake()
	return s.data.revision, http.StatusOK
}

// deleteKey removes a key if its version is ifVersion. The caller holds the
// lock.
func (s *Store) deleteKey(key string, ifVersion uint64) int {
	item, ok := s.data.items[key]
	if !ok {
		return http.StatusNotFound
	}
	if item.version != ifVersion {
		return http.StatusConflict
	}
	s.remove(key)
	s.wake()
	return http.StatusOK
}

func (s *Store) grant(ttl time.Duration) string {
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	s.leases[id] = &storeLease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	s.schedule(s.clock.Now())
	return id
}

// since returns the keys under a prefix that changed after a revision.
func (d *storeData) since(prefix string, after uint64) (items []string, deleted []string) {
	for key, item := range d.items {
		if item.version > after && strings.HasPrefix(key, prefix) {
			items = append(items, key)
		}
	}
	for key, revision := range d.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			deleted = append(deleted, key)
		}
	}
	slices.Sort(items)
	slices.Sort(deleted)
	return items, deleted
}

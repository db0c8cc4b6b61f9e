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

// MaxValueBytes is the size in bytes of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// CallKind is a kind of store call. A watch is one call, however long it waits.
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

// StoreSettings are the settings of a stand-in store.
type StoreSettings struct {
	// Address is the address to listen on; port 0 selects a free port.
	Address string
	// Clock measures leases, delays and the waits of watches.
	Clock Clock
	// Seed seeds the random choice of the calls that RefuseFraction refuses.
	Seed uint64
}

// Store is a stand-in for the platform's key-value service. It is safe for
// concurrent use.
type Store struct {
	clock  Clock
	server *server

	// hook is called at the start of each call; see SetHook.
	hook atomic.Pointer[func(kind CallKind, path string)]

	mu   sync.Mutex
	data storeData
	// oldData is what reads see during the fault OldData, otherwise nil.
	oldData *storeData
	leases  map[string]*storeLease
	nextID  uint64
	// changed is closed and replaced on each change of data or faults, so that
	// watches check again.
	changed chan struct{}
	faults  StoreFaults
	random  *rand.Rand
	calls   map[CallKind]uint64
	// cancelExpiry cancels the timer for the next lease that expires; nil if
	// there is no timer.
	cancelExpiry func()
	closed       chan struct{}
	// lateWrites counts the writes that LateWrites delays.
	lateWrites sync.WaitGroup
}

// storeData is the content of the store at one revision. Each change raises the
// revision by one.
type storeData struct {
	revision uint64
	items    map[string]storeItem
	// deleted maps each deleted key to the revision of its deletion.
	deleted map[string]uint64
}

// storeItem is a value, the revision at which it was written, and the lease that
// it is bound to, if any.
type storeItem struct {
	value   []byte
	version uint64
	lease   string
}

type storeLease struct {
	ttl     time.Duration
	expires snipetime.Instant
}

// NewStore starts an empty store. It fails if it cannot listen on the address.
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

// Close closes the listener and ends all waiting calls. It must be called only
// once.
func (s *Store) Close() error {
	s.mu.Lock()
	close(s.closed)
	if s.cancelExpiry != nil {
		s.cancelExpiry()
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
	case f.OldData && s.oldData == nil:
		s.expireLeases()
		s.oldData = s.data.clone()
	case !f.OldData:
		s.oldData = nil
	}
	s.notifyWatches()
}

// SetHook sets a function that is called with the kind and the URL path of each
// call, before faults apply and before the call takes effect. The call waits
// until the function returns, so the function can delay it or set faults that
// apply to it. Nil removes the function.
func (s *Store) SetHook(hook func(kind CallKind, path string)) {
	if hook == nil {
		s.hook.Store(nil)
		return
	}
	s.hook.Store(&hook)
}

// Faults returns the faults that are set. The counts are those of the writes
// that are still to fail.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls since the start, by kind, including those
// that failed. Control requests and writes with an incomplete or oversized body
// are not counted.
func (s *Store) Calls() map[CallKind]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// WaitLateWrites waits until all writes delayed by LateWrites have taken effect.
func (s *Store) WaitLateWrites() { s.lateWrites.Wait() }

// ExpireLease expires a lease at once and deletes its keys, whatever faults are
// set. It reports false if there is no such lease.
func (s *Store) ExpireLease(lease string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[lease]
	if ok {
		l.expires = s.clock.Now()
		s.expireLeases()
	}
	return ok
}

// ExpireAllLeases expires all leases at once and deletes their keys.
func (s *Store) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expires = s.clock.Now()
	}
	s.expireLeases()
}

// LeaseOf returns the identifier of the lease that a key is bound to, or the
// empty string.
func (s *Store) LeaseOf(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.items[key].lease
}

// Value returns the value and the version of a key, whatever faults are set, and
// counts no call. The version is 0 if there is no such key.
func (s *Store) Value(key string) (value []byte, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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
	if s.oldData != nil {
		return s.oldData
	}
	return &s.data
}

// notifyWatches makes all waiting watches check for changes. The caller holds
// the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the leases that have expired, with their keys, and sets a
// timer for the next one. The caller holds the lock.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	removed := false
	for id, lease := range s.leases {
		if !lease.expires.After(now) {
			s.removeLease(id)
			removed = true
		}
	}
	if removed {
		s.notifyWatches()
	}
	s.scheduleExpiry(now)
}

// scheduleExpiry replaces the timer by one for the lease that expires first. The
// caller holds the lock.
func (s *Store) scheduleExpiry(now snipetime.Instant) {
	if s.cancelExpiry != nil {
		s.cancelExpiry()
		s.cancelExpiry = nil
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
	s.cancelExpiry = s.clock.After(next.expires.Sub(now), func(snipetime.Instant) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
	})
}

// removeLease removes a lease and its keys. The caller holds the lock.
func (s *Store) removeLease(id string) {
	delete(s.leases, id)
	for key, item := range s.data.items {
		if item.lease == id {
			s.removeKey(key)
		}
	}
}

// removeKey deletes a key and records the revision of the deletion. The caller
// holds the lock.
func (s *Store) removeKey(key string) {
	s.data.revision++
	delete(s.data.items, key)
	s.data.deleted[key] = s.data.revision
}

// put writes a key if its version is ifVersion, where 0 stands for a key that
// does not exist. It returns the new version and the HTTP status of the write.
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
	s.notifyWatches()
	return s.data.revision, http.StatusOK
}

// deleteKey removes a key if its version is ifVersion, and returns the HTTP
// status of the deletion. The caller holds the lock.
func (s *Store) deleteKey(key string, ifVersion uint64) int {
	item, ok := s.data.items[key]
	if !ok {
		return http.StatusNotFound
	}
	if item.version != ifVersion {
		return http.StatusConflict
	}
	s.removeKey(key)
	s.notifyWatches()
	return http.StatusOK
}

// grantLease creates a lease and returns its identifier. The caller holds the
// lock.
func (s *Store) grantLease(ttl time.Duration) string {
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	s.leases[id] = &storeLease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	s.scheduleExpiry(s.clock.Now())
	return id
}

// changedSince returns the keys under a prefix that were written or deleted after
// a revision, in order.
func (d *storeData) changedSince(prefix string, after uint64) (items []string, deleted []string) {
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

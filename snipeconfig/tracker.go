package snipeconfig

import (
	"sync"
	"sync/atomic"
)

// OfferResult is the result of offering a snapshot to a Tracker.
type OfferResult int

// The results of Offer and Resolve.
const (
	// InForce means that the snapshot was put in force.
	InForce OfferResult = iota + 1
	// Same means that the generation was in force already, with the same digest.
	Same
	// Older means that a higher generation is in force.
	Older
	// Conflict means that the same generation is in force with another digest.
	// The snapshot in the store is the valid one; Resolve puts it in force.
	Conflict
)

// String returns the name of the result, as it appears in logs.
func (v OfferResult) String() string {
	switch v {
	case InForce:
		return "inForce"
	case Same:
		return "same"
	case Older:
		return "older"
	case Conflict:
		return "conflict"
	default:
		return "unknown"
	}
}

// Tracker holds the snapshot in force, whose generation never decreases. The zero
// value holds no snapshot. A Tracker is safe for concurrent use.
type Tracker struct {
	current   atomic.Pointer[Snapshot]
	older     atomic.Uint64
	conflicts atomic.Uint64

	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

// Current returns the snapshot in force, or nil if there is none. It acquires no
// lock.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Older returns how many snapshots were rejected because of a lower generation.
func (t *Tracker) Older() uint64 { return t.older.Load() }

// Conflicts returns how many offered snapshots had the generation in force, but
// another digest.
func (t *Tracker) Conflicts() uint64 { return t.conflicts.Load() }

// Offer puts a snapshot in force if its generation is higher than the one in
// force, or if there is none in force.
func (t *Tracker) Offer(s *Snapshot) OfferResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	switch {
	case current == nil || s.generation > current.generation:
		t.replace(s)
		return InForce
	case s.generation < current.generation:
		t.older.Add(1)
		return Older
	case s.digest != current.digest:
		t.conflicts.Add(1)
		return Conflict
	default:
		return Same
	}
}

// Resolve does the same as Offer, but a snapshot that was read from the store also
// replaces one with the same generation and another digest.
func (t *Tracker) Resolve(fromStore *Snapshot) OfferResult {
	t.mu.Lock()
	current := t.current.Load()
	if current != nil && current.generation == fromStore.generation && current.digest != fromStore.digest {
		defer t.mu.Unlock()
		t.replace(fromStore)
		return InForce
	}
	t.mu.Unlock()
	return t.Offer(fromStore)
}

// Subscribe returns a channel that receives a value after each change of the
// snapshot in force. Its buffer holds one value, so that several changes before a
// receive yield one value. If a snapshot is in force already, the channel holds a
// value from the start. The function cancel ends the subscription; it does not
// close the channel.
func (t *Tracker) Subscribe() (changed <-chan struct{}, cancel func()) {
	channel := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.subscribers == nil {
		t.subscribers = map[chan struct{}]struct{}{}
	}
	t.subscribers[channel] = struct{}{}
	if t.current.Load() != nil {
		channel <- struct{}{}
	}
	return channel, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, channel)
	}
}

// replace stores s and signals all subscribers. The caller holds the lock.
func (t *Tracker) replace(s *Snapshot) {
	t.current.Store(s)
	for channel := range t.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}

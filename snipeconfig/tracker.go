package snipeconfig

import (
	"sync"
	"sync/atomic"
)

// Verdict is what a Tracker did with a snapshot.
type Verdict int

// The verdicts on an offered snapshot.
const (
	// InForce means that the snapshot is in force now.
	InForce Verdict = iota + 1
	// Same means that the generation was in force already.
	Same
	// Older means that a higher generation is in force.
	Older
	// Conflict means that the generation in force has another digest. The
	// store decides which one is right.
	Conflict
)

// String returns the name of the verdict.
func (v Verdict) String() string {
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

// Tracker holds the snapshot in force. Its generation never falls. The zero
// value has no snapshot. A Tracker is safe for concurrent use.
type Tracker struct {
	current   atomic.Pointer[Snapshot]
	older     atomic.Uint64
	conflicts atomic.Uint64

	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

// Current returns the snapshot in force, or nil. It takes no lock.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Older returns how many snapshots were refused for a lower generation.
func (t *Tracker) Older() uint64 { return t.older.Load() }

// Conflicts returns how many snapshots had the generation in force, but
// another digest.
func (t *Tracker) Conflicts() uint64 { return t.conflicts.Load() }

// Offer puts a snapshot in force if its generation is higher than the one in
// force, and reports what it did.
func (t *Tracker) Offer(s *Snapshot) Verdict {
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

// Resolve puts a snapshot that was read from the store in force in place of
// one with the same generation and another digest. For other generations it
// does the same as Offer.
func (t *Tracker) Resolve(fromStore *Snapshot) Verdict {
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
// snapshot in force. Changes that follow each other closely are reported once.
// The channel is ready at once if there is a snapshot already. The returned
// function ends the subscription.
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

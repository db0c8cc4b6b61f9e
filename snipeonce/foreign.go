package snipeonce

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// AttemptKeep is how long a finished or revoked attempt can be asked for.
const AttemptKeep = 2 * time.Minute

// Admission is the verdict of ForeignAttempts.Admit.
type Admission uint8

// Admissions.
const (
	// Admitted permits the receiver to make the attempt, once.
	Admitted Admission = iota + 1
	// WrongIncarnation means that the attempt was sent to another process.
	WrongIncarnation
	// OldSession means that the sender has a newer session.
	OldSession
	// Revoked means that the sender revoked the attempt before it arrived.
	Revoked
	// Repeated means that the identifier was admitted before, or is so old that
	// it may have been.
	Repeated
)

type foreignAttempt struct {
	status  Status
	revoked bool
	until   snipetime.Instant
}

// sender is kept for the life of the receiver, so that no attempt of an old
// session is ever admitted. It has some 100 bytes per sender incarnation.
type sender struct {
	epoch uint64
	// floor is the highest forgotten number; numbers up to it are not admitted.
	floor    uint64
	attempts map[uint64]*foreignAttempt
}

// ForeignAttempts holds the attempts that other instances relayed to this one.
// It is safe for concurrent use.
type ForeignAttempts struct {
	self string

	mu      sync.Mutex
	now     snipetime.Instant
	senders map[string]*sender
}

// NewForeignAttempts returns an empty table for the process incarnation self.
func NewForeignAttempts(self string) *ForeignAttempts {
	return &ForeignAttempts{self: self, senders: make(map[string]*sender)}
}

// Admit decides about an attempt that arrived on a session of the given epoch
// and names the receiving incarnation. After any verdict but Admitted the
// attempt was not started by this message.
func (f *ForeignAttempts) Admit(id AttemptID, receiver string, epoch uint64, now snipetime.Instant) Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if receiver != f.self {
		return WrongIncarnation
	}
	s := f.sender(id.Sender)
	if epoch < s.epoch {
		return OldSession
	}
	if a, ok := s.attempts[id.N]; ok {
		if a.revoked {
			return Revoked
		}
		return Repeated
	}
	if id.N <= s.floor {
		return Repeated
	}
	s.epoch = epoch
	s.attempts[id.N] = &foreignAttempt{status: Status{State: Running}}
	return Admitted
}

// Finish records the end of an admitted attempt.
func (f *ForeignAttempts) Finish(id AttemptID, result Result, now snipetime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	a, ok := f.sender(id.Sender).attempts[id.N]
	if !ok || a.status.State != Running {
		return
	}
	a.status = Status{State: Finished, Result: result}
	a.until = f.now.Add(AttemptKeep)
}

// Revoke answers a question about an attempt that was asked on a session of the
// given epoch. The caller must close older sessions of the sender. After
// NeverStarted the attempt can never start. If receiver names another
// incarnation, the state is unknown: that process may have run the attempt.
func (f *ForeignAttempts) Revoke(id AttemptID, receiver string, epoch uint64, now snipetime.Instant) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if receiver != f.self {
		return Status{}
	}
	s := f.sender(id.Sender)
	s.epoch = max(s.epoch, epoch)
	if a, ok := s.attempts[id.N]; ok {
		return a.status
	}
	if id.N <= s.floor {
		return Status{}
	}
	s.attempts[id.N] = &foreignAttempt{
		status:  Status{State: NeverStarted},
		revoked: true,
		until:   f.now.Add(AttemptKeep),
	}
	return Status{State: NeverStarted}
}

// Tick forgets ended attempts past AttemptKeep. Numbers up to a forgotten one
// are no longer admitted.
func (f *ForeignAttempts) Tick(now snipetime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	for _, s := range f.senders {
		for n, a := range s.attempts {
			if a.status.State != Running && f.now.After(a.until) {
				s.floor = max(s.floor, n)
				delete(s.attempts, n)
			}
		}
	}
}

func (f *ForeignAttempts) sender(name string) *sender {
	s, ok := f.senders[name]
	if !ok {
		s = &sender{attempts: make(map[uint64]*foreignAttempt)}
		f.senders[name] = s
	}
	return s
}

func (f *ForeignAttempts) observe(now snipetime.Instant) {
	if now.After(f.now) {
		f.now = now
	}
}

package snipeonce

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// AttemptRetention is how long the status of a finished or revoked attempt is
// kept.
const AttemptRetention = 2 * time.Minute

// Admission is the result of RelayedAttempts.Admit.
type Admission uint8

// Results of RelayedAttempts.Admit.
const (
	// Admitted permits the receiver to make the attempt once.
	Admitted Admission = iota + 1
	// WrongIncarnation means that the attempt was sent to another process.
	WrongIncarnation
	// StaleSession means that the sender has opened a newer session since.
	StaleSession
	// Revoked means that the sender revoked the attempt before it arrived.
	Revoked
	// Duplicate means that the attempt was admitted before, or that its number is
	// so low that its status may have expired.
	Duplicate
)

// relayedAttempt is an attempt that another instance relayed or revoked.
type relayedAttempt struct {
	status    Status
	revoked   bool
	expiresAt snipetime.Instant
}

// senderState holds the attempts of one sender incarnation. It is kept for the
// life of the receiver, so that no attempt of an old session is ever admitted.
// It takes about 100 bytes per sender incarnation.
type senderState struct {
	// epoch is the highest session epoch of the sender.
	epoch uint64
	// forgottenUpTo is the highest attempt number whose status has expired.
	// Unknown numbers up to it are not admitted.
	forgottenUpTo uint64
	attempts      map[uint64]*relayedAttempt
}

// RelayedAttempts holds the attempts that other instances relayed to this one
// and admits each of them at most once.
// It is safe for concurrent use.
type RelayedAttempts struct {
	self string

	mu      sync.Mutex
	now     snipetime.Instant
	senders map[string]*senderState
}

// NewRelayedAttempts returns an empty table for the process incarnation self.
func NewRelayedAttempts(self string) *RelayedAttempts {
	return &RelayedAttempts{self: self, senders: make(map[string]*senderState)}
}

// Admit decides whether an attempt may run that arrived on a session of the
// given epoch and is addressed to the incarnation receiver. After any result
// other than Admitted, this message must not start the attempt.
func (f *RelayedAttempts) Admit(id AttemptID, receiver string, epoch uint64, now snipetime.Instant) Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	if receiver != f.self {
		return WrongIncarnation
	}
	s := f.senderFor(id.Sender)
	if epoch < s.epoch {
		return StaleSession
	}
	if a, ok := s.attempts[id.Sequence]; ok {
		if a.revoked {
			return Revoked
		}
		return Duplicate
	}
	if id.Sequence <= s.forgottenUpTo {
		return Duplicate
	}
	s.epoch = epoch
	s.attempts[id.Sequence] = &relayedAttempt{status: Status{State: Running}}
	return Admitted
}

// Finish records the result of an admitted attempt. It does nothing if the
// attempt is not running.
func (f *RelayedAttempts) Finish(id AttemptID, result Result, now snipetime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	a, ok := f.senderFor(id.Sender).attempts[id.Sequence]
	if !ok || a.status.State != Running {
		return
	}
	a.status = Status{State: Finished, Result: result}
	a.expiresAt = f.now.Add(AttemptRetention)
}

// Revoke returns the status of an attempt and prevents its start if it has not
// arrived yet: after NeverStarted it can never start. epoch is that of the
// session on which the revocation arrived; the caller must close older sessions
// of the sender. If receiver is another incarnation, the state is unknown,
// because that process may have run the attempt.
func (f *RelayedAttempts) Revoke(id AttemptID, receiver string, epoch uint64, now snipetime.Instant) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	if receiver != f.self {
		return Status{}
	}
	s := f.senderFor(id.Sender)
	s.epoch = max(s.epoch, epoch)
	if a, ok := s.attempts[id.Sequence]; ok {
		return a.status
	}
	if id.Sequence <= s.forgottenUpTo {
		return Status{}
	}
	s.attempts[id.Sequence] = &relayedAttempt{
		status:    Status{State: NeverStarted},
		revoked:   true,
		expiresAt: f.now.Add(AttemptRetention),
	}
	return Status{State: NeverStarted}
}

// Tick removes finished and revoked attempts after AttemptRetention. Attempts
// with a number up to that of a removed one are no longer admitted.
func (f *RelayedAttempts) Tick(now snipetime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	for _, s := range f.senders {
		for n, a := range s.attempts {
			if a.status.State != Running && f.now.After(a.expiresAt) {
				s.forgottenUpTo = max(s.forgottenUpTo, n)
				delete(s.attempts, n)
			}
		}
	}
}

// senderFor returns the state of a sender incarnation and creates it if needed.
func (f *RelayedAttempts) senderFor(name string) *senderState {
	s, ok := f.senders[name]
	if !ok {
		s = &senderState{attempts: make(map[uint64]*relayedAttempt)}
		f.senders[name] = s
	}
	return s
}

// advanceClock sets f.now unless a later instant was passed before.
func (f *RelayedAttempts) advanceClock(now snipetime.Instant) {
	if now.After(f.now) {
		f.now = now
	}
}

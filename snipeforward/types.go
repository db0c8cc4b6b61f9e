package snipeforward

import (
	"context"
	"net/netip"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetarget"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// Service is the configuration of one service of a team.
type Service struct {
	// Team and Name identify the service.
	Team, Name string
	// Class applies to methods other than GET and HEAD.
	Class sniperetry.Class
	// DefaultTimeout and MaxTimeout bound one request.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxBody and MaxHeader bound a request, in bytes.
	MaxBody, MaxHeader int64
	// RequestBytes and AnswerBytes are the expected sizes.
	RequestBytes, AnswerBytes int64
}

// Refusal says why a request was not run, or why nothing is known about it.
type Refusal struct {
	// Reason is the label value of the refusal counter.
	Reason string
	// RetryAfter is the delay after which a later try can help, or zero.
	RetryAfter time.Duration
}

// Place is one place in the plan of a request.
type Place struct {
	// Name and Region locate the place.
	Name, Region string
	// NeedsShift is set if the place is not the home place.
	NeedsShift bool
	// NeedsLink is set if the place is in another region.
	NeedsLink bool
}

// Configuration finds services in the generation in force.
type Configuration interface {
	// Generation returns the generation in force, 0 for none.
	Generation() uint64
	// Service returns a service, or the reason why there is none.
	Service(team, name string) (Service, *Refusal)
	// RegionOf returns the region of a place, or "".
	RegionOf(place string) string
	// Home returns the home place of a client of a service.
	Home(team, name string, client netip.Addr) string
}

// Planner orders the places for a request.
type Planner interface {
	// Plan appends the places to buffer in the order of preference.
	Plan(s Service, home string, buffer []Place) []Place
}

// Limits spends tokens of shifts and links.
type Limits interface {
	// AdmitShift takes one request and an estimate of its bits from the caps of
	// the service's shift. It can wait for a moment.
	AdmitShift(ctx context.Context, s Service, bits float64) *Refusal
	// CorrectShift charges the difference to the estimate.
	CorrectShift(s Service, difference float64)
	// AdmitLink reports whether bits can be sent to a region soon.
	AdmitLink(region string, bits float64) *Refusal
	// PaceLink waits until bits may be sent to a region.
	PaceLink(ctx context.Context, region string, bits float64) error
}

// SlotRequest asks for a slot in a place of the own region.
type SlotRequest struct {
	Service   Service
	Place     string
	AttemptID string
	// Budget is the time left to the request.
	Budget time.Duration
	// MaxWait bounds the time in the owner's queue; 0 means not to queue.
	MaxWait  time.Duration
	Excluded []string
	Hedge    bool
	// Revoke cancels the attempt if the grant cannot be renewed.
	Revoke func()
}

// AttemptResult is how an attempt ended, as the owner of its slot sees it.
type AttemptResult int

// Results of attempts.
const (
	// AttemptDone is a complete response that is not a server error.
	AttemptDone AttemptResult = iota
	// AttemptFailed is a server error or a lost connection.
	AttemptFailed
	// AttemptDialFailed means that no connection was made.
	AttemptDialFailed
	// AttemptShed is an explicit refusal by the target.
	AttemptShed
	// AttemptCancelled is an attempt that was ended by this side.
	AttemptCancelled
)

// Slots grants slots of targets in the own region.
type Slots interface {
	// Acquire waits for a slot and returns the target.
	Acquire(ctx context.Context, r SlotRequest) (target string, refusal *Refusal)
	// Release ends a granted attempt.
	Release(attemptID string, result AttemptResult, latency time.Duration)
}

// Attempter sends one attempt; *snipetarget.Pools implements it.
type Attempter interface {
	// Attempt returns a response or a *snipetarget.Error.
	Attempt(ctx context.Context, r snipetarget.Request) (*snipetarget.Response, error)
}

// RelayStream is the sending end of a relayed request; *snipepeer.ClientStream
// implements it.
type RelayStream interface {
	WriteChunk(p []byte) error
	CloseBody() error
	ReadAnswer() (*snipewire.RelayAnswer, error)
	ReadChunk() ([]byte, error)
	Peer() snipepeer.Peer
	Close()
}

// Relays carries requests to instances of other regions and to issuers.
type Relays interface {
	// Choose selects an instance of a region and counts a request to it.
	Choose(region, place string) (peer string, ok bool)
	// Finished ends a request counted by Choose.
	Finished(peer string, ok bool, latency time.Duration)
	// Open sends a request. ErrNoSession of snipepeer means that nothing was
	// sent.
	Open(ctx context.Context, peer string, q *snipewire.RelayRequest) (RelayStream, error)
	// Revoke asks the receiver of an attempt about it on a new session.
	// NeverStarted means that the attempt never will start.
	Revoke(ctx context.Context, to snipepeer.Peer, attemptID string) snipeonce.Status
	// NextAttempt returns a new attempt identifier.
	NextAttempt() snipeonce.AttemptID
}

// Records decides about requests of class once.
type Records interface {
	// Issue returns a fresh identifier that names this instance.
	Issue() snipeonce.RequestID
	// Begin decides about a request; after Join the result arrives on the
	// channel, and leave gives the wait up.
	Begin(id snipeonce.RequestID, deadline snipetime.Instant) (d snipeonce.Decision, result <-chan snipeonce.Result, leave func())
	// Finish records how a started request ended.
	Finish(id snipeonce.RequestID, result snipeonce.Result)
	// Revoke prevents a later start and returns what is known.
	Revoke(id snipeonce.RequestID) snipeonce.Status
	// Claim claims an idempotency key for a request that has begun.
	Claim(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (other snipeonce.RequestID, join bool, refused *snipeonce.Result)
	// Peer returns the peer address that answers for an incarnation.
	Peer(incarnation string) (string, bool)
	// Admit decides about an attempt relayed by another instance.
	Admit(id snipeonce.AttemptID, q *snipewire.RelayRequest, from snipepeer.Peer) snipeonce.Admission
	// Finished records the end of an admitted attempt.
	Finished(id snipeonce.AttemptID, result snipeonce.Result)
}

// Policy decides on retries and hedges of one service. It must be safe for
// concurrent use.
type Policy interface {
	FirstAttempt(now snipetime.Instant)
	Observe(now snipetime.Instant, latency time.Duration)
	HedgeDelay(class sniperetry.Class) (time.Duration, bool)
	Decide(now snipetime.Instant, e sniperetry.Event) sniperetry.Decision
	Refund()
}

// Policies returns the retry policy of a service.
type Policies interface {
	Policy(s Service) Policy
}

// Clock returns the current instant.
type Clock interface {
	Now() snipetime.Instant
}

// Entry is an entry instance in the response of a look-up.
type Entry struct {
	Address, Place string
}

// Lookups answers look-ups.
type Lookups interface {
	// Entries returns at most three entry instances in order of preference, the
	// generation, the time to live and a request identifier prefix.
	Entries(team, service string, block netip.Prefix) (LookupAnswer, *Refusal)
}

// LookupAnswer is the answer of a look-up.
type LookupAnswer struct {
	Entries    []Entry
	TimeToLive time.Duration
	Generation uint64
	Prefix     string
}

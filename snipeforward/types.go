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
	// Class applies to methods other than GET and HEAD, which are always safe.
	Class sniperetry.Class
	// DefaultTimeout is the time budget of a request without the header
	// Snipemoor-Timeout; MaxTimeout bounds the value of that header.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxBody bounds the body of a request, and MaxHeader its headers and URI,
	// in bytes.
	MaxBody, MaxHeader int64
	// RequestBytes is the expected size of a request body, and ResponseBytes that
	// of a response, in bytes.
	RequestBytes, ResponseBytes int64
}

// Refusal states why a step of a request was refused.
type Refusal struct {
	// Reason is the label value of the metric snipemoor_refusals_total.
	Reason string
	// RetryAfter is the delay after which a retry may succeed, or zero if it is
	// not known.
	RetryAfter time.Duration
}

// Place is one place in the plan of a request.
type Place struct {
	// Name and Region locate the place.
	Name, Region string
	// NeedsShift is set if the place is not the home place, so that the request
	// needs tokens of the service's shift.
	NeedsShift bool
	// NeedsLink is set if the place is in another region, so that the request
	// needs tokens of the link to that region.
	NeedsLink bool
}

// Configuration gives access to the generation of the configuration in force.
type Configuration interface {
	// Generation returns the generation in force, 0 for none.
	Generation() uint64
	// Service returns a service, or a Refusal if the team or the service is
	// unknown or no configuration is in force.
	Service(team, name string) (Service, *Refusal)
	// RegionOf returns the region of a place, or "" if the place is unknown.
	RegionOf(place string) string
	// Home returns the home place of a service for a client address.
	Home(team, name string, client netip.Addr) string
}

// Planner orders the places for a request.
type Planner interface {
	// Plan appends the places to buffer in order of preference.
	Plan(s Service, home string, buffer []Place) []Place
}

// Limits applies the rate limits of shifts (requests served away from their home
// place) and of links between regions.
type Limits interface {
	// AdmitShift takes the tokens for one request and its estimated bits from
	// the caps of the service's shift. It can wait briefly for tokens.
	AdmitShift(ctx context.Context, s Service, bits float64) *Refusal
	// CorrectShift charges the actual bits of a request minus the estimated ones;
	// difference can be negative.
	CorrectShift(s Service, difference float64)
	// AdmitLink refuses if bits cannot be sent to a region soon. It takes no
	// tokens.
	AdmitLink(region string, bits float64) *Refusal
	// PaceLink waits until bits may be sent to a region.
	PaceLink(ctx context.Context, region string, bits float64) error
}

// SlotRequest requests a slot of a target in a place in the region of this
// instance.
type SlotRequest struct {
	Service Service
	Place   string
	// AttemptID identifies the attempt until its slot is released.
	AttemptID string
	// Budget is the time left until the deadline of the request.
	Budget time.Duration
	// MaxWait bounds the time in the queue of the owner of the slots; 0 means
	// that the request does not queue.
	MaxWait time.Duration
	// Excluded lists targets that must not be selected.
	Excluded []string
	// Hedge is set for the second of two concurrent attempts.
	Hedge bool
	// Revoke is called to cancel the attempt if the grant cannot be renewed.
	Revoke func()
}

// AttemptResult is the result of an attempt, as reported to the owner of its
// slot.
type AttemptResult int

// Results of attempts.
const (
	// AttemptDone is a complete response that is not a server error.
	AttemptDone AttemptResult = iota
	// AttemptFailed is a server error or a lost connection.
	AttemptFailed
	// AttemptDialFailed means that no connection was made.
	AttemptDialFailed
	// AttemptShed is an explicit refusal by an overloaded target.
	AttemptShed
	// AttemptCancelled is an attempt that ended for a reason other than the
	// target, for example because the caller disconnected.
	AttemptCancelled
)

// Slots grants slots of targets in the region of this instance. A slot permits
// one concurrent attempt at a target.
type Slots interface {
	// Acquire waits for a slot and returns the address of its target.
	Acquire(ctx context.Context, r SlotRequest) (target string, refusal *Refusal)
	// Release returns the slot of an attempt and reports its result and latency.
	Release(attemptID string, result AttemptResult, latency time.Duration)
}

// Attempter sends a request to a target once; *snipetarget.Pools implements it.
type Attempter interface {
	// Attempt returns a response or a *snipetarget.Error.
	Attempt(ctx context.Context, r snipetarget.Request) (*snipetarget.Response, error)
}

// RelayStream is the sending end of a relayed request; *snipepeer.RelayClientStream
// implements it.
type RelayStream interface {
	// WriteChunk sends a part of the request body. It blocks while the window of
	// the peer is full.
	WriteChunk(p []byte) error
	// CloseBody marks the request body as complete.
	CloseBody() error
	// ReadResponse waits for the start of the response. It returns a refusal as a
	// *snipepeer.RefusedError.
	ReadResponse() (*snipewire.RelayAnswer, error)
	// ReadChunk returns the next part of the response body. It returns io.EOF
	// only if the body is complete.
	ReadChunk() ([]byte, error)
	// Peer returns the instance at the other end.
	Peer() snipepeer.Peer
	// Close releases the stream. Before the end of the response it cancels the
	// request at the peer. It can be called more than once.
	Close()
}

// Relays sends requests to instances of other regions and to issuers.
type Relays interface {
	// Choose selects an instance of a region, returns its peer address and counts
	// one request in flight to it. ok is false if there is no instance.
	Choose(region, place string) (peer string, ok bool)
	// FinishRelay ends a request that Choose counted. ok is false if the instance
	// failed.
	FinishRelay(peer string, ok bool, latency time.Duration)
	// Open sends the head of a request to the peer address. An error that wraps
	// snipepeer.ErrNotSent means that nothing was sent.
	Open(ctx context.Context, peer string, q *snipewire.RelayRequest) (RelayStream, error)
	// Revoke revokes an attempt at its receiver on a new session. NeverStarted
	// means that the attempt can never start.
	Revoke(ctx context.Context, to snipepeer.Peer, attemptID string) snipeonce.Status
	// NextAttempt returns a new attempt identifier.
	NextAttempt() snipeonce.AttemptID
}

// Records guarantees at-most-once execution of requests of class once and of
// relayed attempts.
type Records interface {
	// Issue returns a new identifier with this process as issuer.
	Issue() snipeonce.RequestID
	// Begin decides whether a request may start here. After Joined, the result
	// arrives on the channel; leave must be called to stop waiting for it.
	Begin(id snipeonce.RequestID, deadline snipetime.Instant) (d snipeonce.Decision, result <-chan snipeonce.Result, leave func())
	// Finish records the result of a started request.
	Finish(id snipeonce.RequestID, result snipeonce.Result)
	// Revoke prevents a later start and returns the state of the request.
	Revoke(id snipeonce.RequestID) snipeonce.Status
	// Claim claims an idempotency key for a request that has begun. If join is
	// set, the key is claimed by other, whose result is also the result of this
	// request. If refused is not nil, the request must not run.
	Claim(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (other snipeonce.RequestID, join bool, refused *snipeonce.Result)
	// Peer returns the peer address of the instance that decides about the
	// requests of an issuer; false if there is none.
	Peer(incarnation string) (string, bool)
	// Admit decides whether an attempt that another instance relayed may run.
	Admit(id snipeonce.AttemptID, q *snipewire.RelayRequest, from snipepeer.Peer) snipeonce.Admission
	// FinishAttempt records the result of an admitted attempt.
	FinishAttempt(id snipeonce.AttemptID, result snipeonce.Result)
}

// Policy decides on retries and hedged attempts of one service. It must be safe
// for concurrent use.
type Policy interface {
	// FirstAttempt counts the first attempt of a request.
	FirstAttempt(now snipetime.Instant)
	// Observe records the latency of an attempt with a complete response.
	Observe(now snipetime.Instant, latency time.Duration)
	// HedgeDelay returns the time after which a running attempt may be hedged. It
	// returns false if the class is not hedged or there is no estimate yet.
	HedgeDelay(class sniperetry.Class) (time.Duration, bool)
	// Decide returns what follows an event. A retry or hedge that it returns has
	// been charged to the retry budget.
	Decide(now snipetime.Instant, e sniperetry.RequestState) sniperetry.Decision
	// Refund returns the budget of a retry or hedge that is not made.
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

// Lookups selects entry instances for callers.
type Lookups interface {
	// Entries returns at most three entry instances for a block of client
	// addresses.
	Entries(team, service string, block netip.Prefix) (LookupResponse, *Refusal)
}

// LookupResponse is the response to a look-up.
type LookupResponse struct {
	// Entries is in order of preference.
	Entries []Entry
	// TimeToLive is how long callers may cache the response; it is sent in whole
	// seconds, rounded down.
	TimeToLive time.Duration
	Generation uint64
	// Prefix is a new prefix for request identifiers.
	Prefix string
}

package snipeonce

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// maxLostReplies is the number of store calls without a reply after which a
	// claim is refused.
	maxLostReplies = 3
	// maxReads bounds the reads that find no claim or one of another request.
	// Competing requests could otherwise replace each other's claims forever.
	maxReads = 8
)

// ClaimKey returns the store key under which an idempotency key is claimed. The
// key is hashed with SHA-256, because a collision would answer one request with
// the result of another.
func ClaimKey(team, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "once/" + team + "/" + service + "/" + hex.EncodeToString(sum[:])
}

// ClaimValue is the stored value of a claim.
type ClaimValue struct {
	// RequestID identifies the request that may run under the key.
	RequestID string `json:"requestId"`
	// Operation is unique to one Claim, so that its writer recognises it in a
	// read after a lost reply.
	Operation string `json:"operation"`
}

// Encode returns the value as JSON for the store.
func (v ClaimValue) Encode() ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return b, nil
}

// DecodeClaim parses a value that Encode produced.
func DecodeClaim(b []byte) (ClaimValue, error) {
	var v ClaimValue
	if err := json.Unmarshal(b, &v); err != nil {
		return ClaimValue{}, fmt.Errorf("decode claim: %w", err)
	}
	return v, nil
}

// ClaimStep is the next step that the owner of a Claim performs.
type ClaimStep uint8

// Steps of a claim.
const (
	// ClaimCreate writes Value if the key does not exist. Written, Conflict,
	// ReplyLost or StoreUnavailable reports the result.
	ClaimCreate ClaimStep = iota + 1
	// ClaimReplace writes Value if the key has Version. The result is reported
	// as for ClaimCreate.
	ClaimReplace
	// ClaimRead reads the key. Found, NotFound, ReplyLost or StoreUnavailable
	// reports the result.
	ClaimRead
	// ClaimRevokeOther requests the issuer of Other to revoke it and passes the
	// reply to IssuerReplied. An unreachable issuer is reported as
	// StateUnknown.
	ClaimRevokeOther
	// ClaimAcquired ends the claim: the key is claimed and the request may run.
	ClaimAcquired
	// ClaimJoin ends the claim: the key is claimed by Other, whose result is
	// also the result of this request.
	ClaimJoin
	// ClaimRefused ends the claim: the request does not run and ends with
	// Result.
	ClaimRefused
)

// ClaimAction is the next step of a claim with its operands.
type ClaimAction struct {
	Step    ClaimStep
	Value   ClaimValue
	Version uint64
	Other   RequestID
	Result  Result
}

// Claim is the state machine that claims one idempotency key for one request.
// Its owner first begins the request in its Table. It then performs each action
// and reports the result to the Claim, and passes a refusal to Table.Finish. At
// the deadline of the request it abandons the claim and finishes the request as
// not-run: ClaimSweep relies on that. A Claim is not safe for concurrent use.
//
// The order matters. While the request is running, its issuer replies Running to
// a competing claimant, which then cannot replace the claim. Once the request
// has ended not-run it can never start: the issuer replies NeverStarted, and the
// competing claimant replaces the claim by compare-and-swap. This also covers a
// write that took effect after its reply was lost: the request is answered
// not-run, and the next claimant of the key replaces the claim after one query
// to the issuer. If the issuer is unreachable, it cannot be determined whether
// the request that holds the claim ran, and the outcome is unknown.
type Claim struct {
	value       ClaimValue
	lastAction  ClaimAction
	lostReplies int
	reads       int
}

// NewClaim returns a claim for a request and its first action. operation must be
// unique to this claim.
func NewClaim(id RequestID, operation string) (*Claim, ClaimAction) {
	c := &Claim{value: ClaimValue{RequestID: id.String(), Operation: operation}}
	return c, c.next(ClaimAction{Step: ClaimCreate, Value: c.value})
}

// Written reports that the last write took effect.
func (c *Claim) Written() ClaimAction {
	return c.next(ClaimAction{Step: ClaimAcquired})
}

// Conflict reports that the last write failed because the key had another
// version. An earlier write of this claim may be the cause, so the next action
// reads the key.
func (c *Claim) Conflict() ClaimAction {
	return c.read()
}

// ReplyLost reports that the reply to the last store call was lost, so that the
// call may have taken effect.
func (c *Claim) ReplyLost() ClaimAction {
	c.lostReplies++
	if c.lostReplies > maxLostReplies {
		return c.StoreUnavailable()
	}
	return c.read()
}

// StoreUnavailable reports that the store is unavailable. The request is refused as
// not-run, whether or not an earlier write took effect.
func (c *Claim) StoreUnavailable() ClaimAction {
	return c.refuse(ReasonClaimStoreUnavailable, OutcomeNotRun)
}

// NotFound reports that a read found no claim.
func (c *Claim) NotFound() ClaimAction {
	c.reads++
	if c.reads > maxReads {
		return c.refuse(ReasonClaimStoreUnavailable, OutcomeNotRun)
	}
	return c.next(ClaimAction{Step: ClaimCreate, Value: c.value})
}

// Found reports that a read found the given claim with the given version.
func (c *Claim) Found(v ClaimValue, version uint64) ClaimAction {
	if v.Operation == c.value.Operation {
		return c.next(ClaimAction{Step: ClaimAcquired, Version: version})
	}
	other, err := ParseRequestID(v.RequestID)
	if err != nil {
		return c.refuse(ReasonIssuerUnreachable, OutcomeUnknown)
	}
	c.reads++
	if c.reads > maxReads {
		return c.refuse(ReasonClaimStoreUnavailable, OutcomeUnknown)
	}
	return c.next(ClaimAction{Step: ClaimRevokeOther, Other: other, Version: version})
}

// IssuerReplied reports the issuer's reply to the last ClaimRevokeOther.
func (c *Claim) IssuerReplied(st Status) ClaimAction {
	switch st.State {
	case NeverStarted:
		return c.next(ClaimAction{Step: ClaimReplace, Value: c.value, Version: c.lastAction.Version})
	case Running, Finished:
		return c.next(ClaimAction{Step: ClaimJoin, Other: c.lastAction.Other})
	default:
		return c.refuse(ReasonIssuerUnreachable, OutcomeUnknown)
	}
}

func (c *Claim) read() ClaimAction { return c.next(ClaimAction{Step: ClaimRead}) }

func (c *Claim) refuse(reason Reason, outcome Outcome) ClaimAction {
	return c.next(ClaimAction{Step: ClaimRefused, Result: Result{Outcome: outcome, Reason: reason}})
}

// next stores and returns the next action.
func (c *Claim) next(a ClaimAction) ClaimAction {
	c.lastAction = a
	return a
}

// ClaimBudget is a token bucket that limits the claim writes of one instance. It
// passes instants as times to rate.Limiter.AllowN, which reads no clock. It is
// safe for concurrent use.
type ClaimBudget struct{ limiter *rate.Limiter }

// NewClaimBudget returns a budget of perSecond writes per second with a burst of
// burst writes.
func NewClaimBudget(perSecond float64, burst int) *ClaimBudget {
	return &ClaimBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow takes one token and reports whether one was available. If not, the
// request must end not-run with ReasonClaimBudget before its first write.
func (b *ClaimBudget) Allow(now snipetime.Instant) bool {
	return b.limiter.AllowN(time.Unix(0, int64(now)), 1)
}

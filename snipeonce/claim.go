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
	// maxUnclear bounds the store calls of a claim whose reply was lost.
	maxUnclear = 3
	// maxRounds bounds the claims of others that a claim follows.
	maxRounds = 8
)

// ClaimPath returns the store key of an idempotency key. The hash is SHA-256,
// because a collision would answer one request with the result of another.
func ClaimPath(team, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "once/" + team + "/" + service + "/" + hex.EncodeToString(sum[:])
}

// ClaimValue is the stored value of a claim.
type ClaimValue struct {
	// RequestID names the request that may run under the key.
	RequestID string `json:"requestId"`
	// Operation is unique to one Claim, so that its writer recognises it.
	Operation string `json:"operation"`
}

// Encode returns the stored form of the value.
func (v ClaimValue) Encode() ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return b, nil
}

// DecodeClaim parses a stored claim.
func DecodeClaim(b []byte) (ClaimValue, error) {
	var v ClaimValue
	if err := json.Unmarshal(b, &v); err != nil {
		return ClaimValue{}, fmt.Errorf("decode claim: %w", err)
	}
	return v, nil
}

// ClaimStep is what the owner of a Claim does next.
type ClaimStep uint8

// Steps of a claim.
const (
	// ClaimCreate writes Value if the key does not exist.
	ClaimCreate ClaimStep = iota + 1
	// ClaimReplace writes Value if the key has Version.
	ClaimReplace
	// ClaimRead reads the key.
	ClaimRead
	// ClaimAsk asks the issuer of Other to revoke it and passes the reply to
	// Issuer. An unreachable issuer is passed as StateUnknown.
	ClaimAsk
	// ClaimHeld ends the claim: the request may run.
	ClaimHeld
	// ClaimJoin ends the claim: the key belongs to Other, whose result is the
	// result of this request.
	ClaimJoin
	// ClaimRefused ends the claim with Result.
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

// Claim claims one idempotency key for one request. Its owner begins the
// request in its Table first, performs each action and reports the result, and
// passes a refusal to Table.Finish. At the deadline of the request it abandons
// the claim and finishes the request not-run: ClaimSweep relies on that. It is
// not safe for concurrent use.
//
// The order matters. While the record is running, the issuer answers a
// competing claimant with Running, and the claim cannot be replaced. Once the
// record has ended not-run it can never start, so a competing claimant is told
// NeverStarted and replaces the claim by compare-and-swap. That holds also for
// a claim whose write took effect after its reply was lost: the request is
// answered not-run, and the next claimant of the key replaces it after one
// question to the issuer. If the issuer is gone, nobody can tell whether the
// named request ran, and the answer is unknown.
type Claim struct {
	value   ClaimValue
	last    ClaimAction
	unclear int
	rounds  int
}

// NewClaim returns a claim for a request and its first action. operation is
// unique to this claim.
func NewClaim(id RequestID, operation string) (*Claim, ClaimAction) {
	c := &Claim{value: ClaimValue{RequestID: id.String(), Operation: operation}}
	return c, c.next(ClaimAction{Step: ClaimCreate, Value: c.value})
}

// Written reports that the last write took effect.
func (c *Claim) Written() ClaimAction {
	return c.next(ClaimAction{Step: ClaimHeld})
}

// Conflict reports that the last write was rejected because of the version. An
// earlier write of this claim may be the cause, so the key is read.
func (c *Claim) Conflict() ClaimAction {
	return c.read()
}

// Lost reports that the last store call has no reply and may have taken effect.
func (c *Claim) Lost() ClaimAction {
	c.unclear++
	if c.unclear > maxUnclear {
		return c.Unavailable()
	}
	return c.read()
}

// Unavailable reports that the store performs no calls. The request is not
// started, whether or not an earlier write took effect.
func (c *Claim) Unavailable() ClaimAction {
	return c.refuse(ReasonClaimStoreUnavailable, OutcomeNotRun)
}

// Absent reports that a read found no claim.
func (c *Claim) Absent() ClaimAction {
	c.rounds++
	if c.rounds > maxRounds {
		return c.refuse(ReasonClaimStoreUnavailable, OutcomeNotRun)
	}
	return c.next(ClaimAction{Step: ClaimCreate, Value: c.value})
}

// Found reports that a read found the given claim and version.
func (c *Claim) Found(v ClaimValue, version uint64) ClaimAction {
	if v.Operation == c.value.Operation {
		return c.next(ClaimAction{Step: ClaimHeld, Version: version})
	}
	other, err := ParseRequestID(v.RequestID)
	if err != nil {
		return c.refuse(ReasonIssuerUnreachable, OutcomeUnknown)
	}
	c.rounds++
	if c.rounds > maxRounds {
		return c.refuse(ReasonClaimStoreUnavailable, OutcomeUnknown)
	}
	return c.next(ClaimAction{Step: ClaimAsk, Other: other, Version: version})
}

// Issuer reports the issuer's reply to the last ClaimAsk.
func (c *Claim) Issuer(st Status) ClaimAction {
	switch st.State {
	case NeverStarted:
		return c.next(ClaimAction{Step: ClaimReplace, Value: c.value, Version: c.last.Version})
	case Running, Finished:
		return c.next(ClaimAction{Step: ClaimJoin, Other: c.last.Other})
	default:
		return c.refuse(ReasonIssuerUnreachable, OutcomeUnknown)
	}
}

func (c *Claim) read() ClaimAction { return c.next(ClaimAction{Step: ClaimRead}) }

func (c *Claim) refuse(reason Reason, outcome Outcome) ClaimAction {
	return c.next(ClaimAction{Step: ClaimRefused, Result: Result{Outcome: outcome, Reason: reason}})
}

func (c *Claim) next(a ClaimAction) ClaimAction {
	c.last = a
	return a
}

// ClaimBudget bounds the claim writes of one instance. It uses rate.Limiter
// with times derived from instants: AllowN reads no clock. It is safe for
// concurrent use.
type ClaimBudget struct{ limiter *rate.Limiter }

// NewClaimBudget returns a budget of perSecond writes with the given burst.
func NewClaimBudget(perSecond float64, burst int) *ClaimBudget {
	return &ClaimBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow takes one write from the budget. A request without budget ends not-run
// with ReasonClaimBudget before its first write.
func (b *ClaimBudget) Allow(now snipetime.Instant) bool {
	return b.limiter.AllowN(time.Unix(0, int64(now)), 1)
}

package snipedaemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	recordPeriod = time.Second
	// handoverBytes is the size of one message of a hand-over.
	handoverBytes = 256 << 10
	// handoverTimeout bounds one message of a hand-over.
	handoverTimeout = 2 * time.Second
	// statusTimeout bounds a question to the issuer of an identifier.
	statusTimeout = 2 * time.Second
	// claimTimeout bounds the claim of one idempotency key.
	claimTimeout = 5 * time.Second
	// claimsPerSecond and claimBurst are the write budget of one instance for
	// idempotency keys: 12 instances use less than half of the several hundred
	// writes a second that the store takes.
	claimsPerSecond = 10.0
	claimBurst      = 50
	claimPrefix     = "once/"
	// claimSweepPeriod is the time between sweeps of expired key claims, and
	// maxSweep bounds the deletions of one sweep.
	claimSweepPeriod = time.Minute
	maxSweep         = 500
	// longestDeadline is the largest maxTimeout that a template can have.
	longestDeadline = time.Hour
)

// records runs the at-most-once records of this instance.
type records struct {
	log     *zap.Logger
	clock   timer
	node    *snipepeer.Node
	store   *snipestore.Client
	self    identity
	table   *snipeonce.Table
	foreign *snipeonce.ForeignAttempts
	minter  *snipeonce.Minter
	budget  *snipeonce.ClaimBudget
	claims  *snipeonce.ClaimSweep
	members func() *snipemember.Snapshot
	tokens  atomic.Uint64

	mu      sync.Mutex
	waiters map[snipeonce.Waiter]chan snipeonce.Result
	// successors maps a closed incarnation to the instance that answers for it.
	successors map[string]successor
}

// successor is the instance that took the records of a closed one over.
type successor struct{ address, incarnation string }

func newRecords(log *zap.Logger, clock timer, node *snipepeer.Node, store *snipestore.Client, self identity, maxBytes int, members func() *snipemember.Snapshot) *records {
	r := &records{
		log: log, clock: clock, node: node, store: store, self: self, members: members,
		table:      snipeonce.NewTable(self.incarnation, snipeonce.Settings{MaxBytes: maxBytes}),
		foreign:    snipeonce.NewForeignAttempts(self.incarnation),
		minter:     snipeonce.NewMinter(self.incarnation),
		budget:     snipeonce.NewClaimBudget(claimsPerSecond, claimBurst),
		claims:     snipeonce.NewClaimSweep(snipeonce.SweepSettings{LongestDeadline: longestDeadline}),
		waiters:    make(map[snipeonce.Waiter]chan snipeonce.Result),
		successors: make(map[string]successor),
	}
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.RecordStatus) (*snipewire.RecordStatusReply, error) {
		return r.answerStatus(q)
	})
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.RecordsHandover) (*snipewire.RecordsHandoverReply, error) {
		return r.acceptHandover(q)
	})
	snipepeer.HandleSend(node, func(_ snipepeer.Peer, m *snipewire.SuccessorNotice) {
		r.table.Notice(m.GetIncarnation(), m.GetSuccessorIncarnation(), r.clock.Now())
		r.mu.Lock()
		r.successors[m.GetIncarnation()] = successor{m.GetSuccessorAddress(), m.GetSuccessorIncarnation()}
		r.mu.Unlock()
	})
	return r
}

// begin decides about a request of class once. A Join returns the channel that
// receives the result and a function that gives the wait up.
func (r *records) begin(id snipeonce.RequestID, deadline snipetime.Instant) (d snipeonce.Decision, result <-chan snipeonce.Result, leave func()) {
	w := snipeonce.Waiter(r.tokens.Add(1))
	ch := make(chan snipeonce.Result, 1)
	r.mu.Lock()
	r.waiters[w] = ch
	r.mu.Unlock()
	forget := func() {
		r.mu.Lock()
		delete(r.waiters, w)
		r.mu.Unlock()
	}
	d = r.table.Begin(id, r.clock.Now(), deadline, w)
	if d.Kind != snipeonce.Join {
		forget()
		return d, nil, nil
	}
	return d, ch, func() {
		r.table.Leave(id, w)
		forget()
	}
}

// finish records how a started request ended and answers those that joined it.
func (r *records) finish(id snipeonce.RequestID, result snipeonce.Result) {
	r.wake(r.table.Finish(id, result, r.clock.Now()), result)
}

func (r *records) wake(waiters []snipeonce.Waiter, result snipeonce.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range waiters {
		if ch, ok := r.waiters[w]; ok {
			ch <- result
			delete(r.waiters, w)
		}
	}
}

func (r *records) tick(now snipetime.Instant) {
	for _, lapse := range r.table.Tick(now) {
		r.wake(lapse.Waiters, snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: snipeonce.ReasonDeadline})
	}
	r.foreign.Tick(now)
}

// lastSuccessor follows the successors of an incarnation. A successor that stops
// hands on what it has taken over.
func (r *records) lastSuccessor(incarnation string) (last successor, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The bound is for notices that name each other.
	for range len(r.successors) {
		next, found := r.successors[incarnation]
		if !found {
			break
		}
		last, ok, incarnation = next, true, next.incarnation
	}
	return last, ok
}

// peerOf returns the peer address of the process that answers for an
// incarnation.
func (r *records) peerOf(incarnation string) (string, bool) {
	if s, ok := r.lastSuccessor(incarnation); ok {
		return s.address, true
	}
	for _, m := range r.members().Members() {
		if m.Incarnation == incarnation && m.State != snipemember.Gone {
			return m.PeerAddress, true
		}
	}
	return "", false
}

func (r *records) answerStatus(q *snipewire.RecordStatus) (*snipewire.RecordStatusReply, error) {
	id, err := snipeonce.ParseRequestID(q.GetRequestId())
	if err != nil {
		return nil, fmt.Errorf("status of %q: %w", q.GetRequestId(), err)
	}
	status := r.table.Revoke(id, r.clock.Now())
	reply := &snipewire.RecordStatusReply{State: uint32(status.State)}
	if status.State == snipeonce.Finished {
		reply.Record = recordTo(id, status.Result)
	}
	return reply, nil
}

// askIssuer revokes a request at the instance that answers for its issuer.
func (r *records) askIssuer(ctx context.Context, id snipeonce.RequestID) snipeonce.Status {
	if id.Incarnation == r.self.incarnation {
		return r.table.Revoke(id, r.clock.Now())
	}
	peer, ok := r.peerOf(id.Incarnation)
	if !ok {
		return snipeonce.Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := snipepeer.Call[*snipewire.RecordStatusReply](ctx, r.node, peer, &snipewire.RecordStatus{RequestId: id.String(), Revoke: true})
	if err != nil {
		r.log.Debug("issuer did not answer", zap.String("request", id.String()), zap.Error(err))
		return snipeonce.Status{}
	}
	status := snipeonce.Status{State: snipeonce.State(reply.GetState())}
	if status.State == snipeonce.Finished {
		status.Result = resultFrom(reply.GetRecord())
	}
	return status
}

// claim claims an idempotency key for a request that has begun. It returns the
// request that owns the key if that is another one, or a refusal.
func (r *records) claim(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (other snipeonce.RequestID, join bool, refused *snipeonce.Result) {
	if !r.budget.Allow(r.clock.Now()) {
		return other, false, &snipeonce.Result{Outcome: snipeonce.OutcomeNotRun, Reason: snipeonce.ReasonClaimBudget}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	path := snipeonce.ClaimPath(team, service, key)
	claim, action := snipeonce.NewClaim(id, snipestore.NewOperation())
	for {
		switch action.Step {
		case snipeonce.ClaimHeld:
			// A sweep may delete the claim some time after the deadline.
			if !deadline.After(r.clock.Now()) {
				return other, false, &snipeonce.Result{Outcome: snipeonce.OutcomeNotRun, Reason: snipeonce.ReasonDeadline}
			}
			return other, false, nil
		case snipeonce.ClaimJoin:
			return action.Other, true, nil
		case snipeonce.ClaimRefused:
			return other, false, &action.Result
		case snipeonce.ClaimCreate, snipeonce.ClaimReplace:
			action = r.writeClaim(ctx, path, claim, action)
		case snipeonce.ClaimRead:
			action = r.readClaim(ctx, path, claim)
		case snipeonce.ClaimAsk:
			action = claim.Issuer(r.askIssuer(ctx, action.Other))
		}
	}
}

// sweep deletes key claims that no request needs any more. The watchers of the
// configuration do so; more than one sweeper is harmless.
func (r *records) sweep(ctx context.Context) {
	items, revision, err := r.store.List(ctx, claimPrefix)
	if err != nil {
		r.log.Debug("key claims not read", zap.Error(err))
		return
	}
	now := r.clock.Now()
	r.claims.Seen(revision, now)
	deleted := 0
	for _, item := range items {
		if deleted == maxSweep || !r.claims.Expired(item.Version, now) {
			continue
		}
		if err := r.store.Delete(ctx, item.Key, item.Version); err == nil {
			deleted++
		}
	}
	if deleted > 0 {
		r.log.Info("key claims deleted", zap.Int("count", deleted))
	}
}

func (r *records) writeClaim(ctx context.Context, path string, claim *snipeonce.Claim, action snipeonce.ClaimAction) snipeonce.ClaimAction {
	value, err := action.Value.Encode()
	if err != nil {
		r.log.Error("claim cannot be encoded", zap.Error(err))
		return claim.Unavailable()
	}
	version := uint64(0)
	if action.Step == snipeonce.ClaimReplace {
		version = action.Version
	}
	_, err = r.store.Put(ctx, path, value, version, "")
	switch {
	case err == nil:
		return claim.Written()
	case errors.Is(err, snipestore.ErrConflict):
		return claim.Conflict()
	case errors.Is(err, snipestore.ErrUnclear):
		return claim.Lost()
	default:
		return claim.Unavailable()
	}
}

func (r *records) readClaim(ctx context.Context, path string, claim *snipeonce.Claim) snipeonce.ClaimAction {
	item, err := r.store.Get(ctx, path)
	switch {
	case errors.Is(err, snipestore.ErrNotFound):
		return claim.Absent()
	case err != nil:
		return claim.Unavailable()
	}
	value, err := snipeonce.DecodeClaim(item.Value)
	if err != nil {
		r.log.Error("claim cannot be decoded", zap.String("key", path), zap.Error(err))
		return claim.Unavailable()
	}
	return claim.Found(value, item.Version)
}

// close ends all starts and hands the records over to the first peer that
// accepts them. It returns the peer, or "" if none did.
func (r *records) close(ctx context.Context, peers []snipemember.Member) string {
	r.table.Close(r.clock.Now())
	export := r.table.Export(r.clock.Now(), handoverBytes)
	for _, p := range peers {
		if !r.handOver(ctx, p.PeerAddress, export) {
			continue
		}
		r.notifySuccessor(export, p, peers)
		r.log.Info("records handed over", zap.String("peer", p.PeerAddress), zap.Int("messages", len(export)))
		return p.PeerAddress
	}
	r.log.Warn("records not handed over; their identifiers become unknown")
	return ""
}

// notifySuccessor tells all peers who answers for the incarnations whose records
// were handed over.
func (r *records) notifySuccessor(export []snipeonce.Handover, successor snipemember.Member, peers []snipemember.Member) {
	told := make(map[string]bool)
	for _, h := range export {
		if told[h.Incarnation] {
			continue
		}
		told[h.Incarnation] = true
		for _, p := range peers {
			_ = r.node.Send(p.PeerAddress, &snipewire.SuccessorNotice{
				Incarnation: h.Incarnation, SuccessorAddress: successor.PeerAddress, SuccessorIncarnation: successor.Incarnation,
			})
		}
	}
}

func (r *records) handOver(ctx context.Context, peer string, messages []snipeonce.Handover) bool {
	for _, h := range messages {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		reply, err := snipepeer.Call[*snipewire.RecordsHandoverReply](callCtx, r.node, peer, handoverTo(h))
		cancel()
		if err != nil || !reply.GetAccepted() {
			r.log.Debug("hand-over not accepted", zap.String("peer", peer), zap.Error(err))
			return false
		}
	}
	return true
}

// update sends the results of requests that ended after the hand-over.
func (r *records) update(ctx context.Context, peer string) {
	if peer != "" {
		r.handOver(ctx, peer, []snipeonce.Handover{r.table.Updates(r.clock.Now())})
	}
}

func (r *records) acceptHandover(q *snipewire.RecordsHandover) (*snipewire.RecordsHandoverReply, error) {
	h, err := handoverFrom(q)
	if err != nil {
		return nil, fmt.Errorf("hand-over of %s: %w", q.GetIncarnation(), err)
	}
	return &snipewire.RecordsHandoverReply{Accepted: r.table.Import(h, r.clock.Now())}, nil
}

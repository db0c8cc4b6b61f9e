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
	// recordPeriod is the time between two checks for expired records.
	recordPeriod = time.Second
	// handoverBytes is the approximate size of one full hand-over message.
	handoverBytes = 256 << 10
	// handoverTimeout bounds the call for one hand-over message.
	handoverTimeout = 2 * time.Second
	// statusTimeout bounds a status call to the issuer of a request identifier.
	statusTimeout = 2 * time.Second
	// claimTimeout bounds all store calls and status calls for one idempotency
	// key.
	claimTimeout = 5 * time.Second
	// claimsPerSecond and claimBurst limit the writes of one instance for
	// idempotency keys: 12 instances use less than half of the several hundred
	// writes per second that the store sustains.
	claimsPerSecond = 10.0
	claimBurst      = 50
	claimKeyPrefix  = "once/"
	// claimSweepPeriod is the time between two sweeps of expired claims on
	// idempotency keys, and maxDeletesPerSweep bounds the deletions of one
	// sweep.
	claimSweepPeriod   = time.Minute
	maxDeletesPerSweep = 500
	// maxDeadline is the largest maxTimeout that a template can have.
	maxDeadline = time.Hour
)

// records manages the at-most-once records of this instance: the state and
// result of each request of class once that it issued, and the claims on
// idempotency keys.
type records struct {
	log             *zap.Logger
	clock           timer
	node            *snipepeer.Node
	store           *snipestore.Client
	self            identity
	table           *snipeonce.Table
	relayedAttempts *snipeonce.RelayedAttempts
	minter          *snipeonce.IDGenerator
	claimBudget     *snipeonce.ClaimBudget
	claimSweep      *snipeonce.ClaimSweep
	members         func() *snipemember.Snapshot
	lastWaiter      atomic.Uint64

	mu sync.Mutex
	// waiters holds the channels of the requests that wait for a result.
	waiters map[snipeonce.Waiter]chan snipeonce.Result
	// successors maps the incarnation of a stopped process to the instance that
	// received its records.
	successors map[string]successor
}

// successor is the instance that received the records of a stopped one.
type successor struct{ address, incarnation string }

func newRecords(log *zap.Logger, clock timer, node *snipepeer.Node, store *snipestore.Client, self identity, maxBytes int, members func() *snipemember.Snapshot) *records {
	r := &records{
		log: log, clock: clock, node: node, store: store, self: self, members: members,
		table:           snipeonce.NewTable(self.incarnation, snipeonce.Settings{MaxBytes: maxBytes}),
		relayedAttempts: snipeonce.NewRelayedAttempts(self.incarnation),
		minter:          snipeonce.NewIDGenerator(self.incarnation),
		claimBudget:     snipeonce.NewClaimBudget(claimsPerSecond, claimBurst),
		claimSweep:      snipeonce.NewClaimSweep(snipeonce.SweepSettings{MaxDeadline: maxDeadline}),
		waiters:         make(map[snipeonce.Waiter]chan snipeonce.Result),
		successors:      make(map[string]successor),
	}
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.RecordStatus) (*snipewire.RecordStatusReply, error) {
		return r.handleRecordStatus(q)
	})
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.RecordsHandover) (*snipewire.RecordsHandoverReply, error) {
		return r.handleHandover(q)
	})
	snipepeer.HandleMessage(node, func(_ snipepeer.Peer, m *snipewire.SuccessorNotice) {
		r.table.SetSuccessor(m.GetIncarnation(), m.GetSuccessorIncarnation(), r.clock.Now())
		r.mu.Lock()
		r.successors[m.GetIncarnation()] = successor{m.GetSuccessorAddress(), m.GetSuccessorIncarnation()}
		r.mu.Unlock()
	})
	return r
}

// begin decides about a request of class once. For Joined it returns a channel
// that receives the result of the running request, and a function that ends the
// wait for it.
func (r *records) begin(id snipeonce.RequestID, deadline snipetime.Instant) (decision snipeonce.Decision, result <-chan snipeonce.Result, cancelWait func()) {
	waiter := snipeonce.Waiter(r.lastWaiter.Add(1))
	ch := make(chan snipeonce.Result, 1)
	r.mu.Lock()
	r.waiters[waiter] = ch
	r.mu.Unlock()
	removeWaiter := func() {
		r.mu.Lock()
		delete(r.waiters, waiter)
		r.mu.Unlock()
	}
	decision = r.table.Begin(id, r.clock.Now(), deadline, waiter)
	if decision.Action != snipeonce.Joined {
		removeWaiter()
		return decision, nil, nil
	}
	return decision, ch, func() {
		r.table.Leave(id, waiter)
		removeWaiter()
	}
}

// finish stores the result of a started request and passes it to the requests
// that joined it.
func (r *records) finish(id snipeonce.RequestID, result snipeonce.Result) {
	r.notifyWaiters(r.table.Finish(id, result, r.clock.Now()), result)
}

// notifyWaiters passes a result to the waiters.
func (r *records) notifyWaiters(waiters []snipeonce.Waiter, result snipeonce.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range waiters {
		if ch, ok := r.waiters[w]; ok {
			ch <- result
			delete(r.waiters, w)
		}
	}
}

// tick discards expired records. A request that is still running when its
// record expires ends with an unknown outcome for its waiters.
func (r *records) tick(now snipetime.Instant) {
	for _, expired := range r.table.Tick(now) {
		r.notifyWaiters(expired.Waiters, snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: snipeonce.ReasonDeadline})
	}
	r.relayedAttempts.Tick(now)
}

// lastSuccessor returns the last successor in the chain that begins at an
// incarnation: a successor that stops passes the records it received on to its
// own successor.
func (r *records) lastSuccessor(incarnation string) (last successor, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The bound ends the loop if successor notices form a cycle.
	for range len(r.successors) {
		next, found := r.successors[incarnation]
		if !found {
			break
		}
		last, ok, incarnation = next, true, next.incarnation
	}
	return last, ok
}

// peerFor returns the peer address of the process that decides about the
// requests of an incarnation: its last successor, or the process itself.
func (r *records) peerFor(incarnation string) (string, bool) {
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

// handleRecordStatus serves the status call of another instance. It revokes the
// request: one that has not started here can never start.
func (r *records) handleRecordStatus(q *snipewire.RecordStatus) (*snipewire.RecordStatusReply, error) {
	id, err := snipeonce.ParseRequestID(q.GetRequestId())
	if err != nil {
		return nil, fmt.Errorf("status of %q: %w", q.GetRequestId(), err)
	}
	status := r.table.Revoke(id, r.clock.Now())
	reply := &snipewire.RecordStatusReply{State: uint32(status.State)}
	if status.State == snipeonce.Finished {
		reply.Record = recordToProto(id, status.Result)
	}
	return reply, nil
}

// revokeAtIssuer revokes a request at the instance that decides for its issuer
// and returns the status there. The status is unknown if that instance does not
// respond.
func (r *records) revokeAtIssuer(ctx context.Context, id snipeonce.RequestID) snipeonce.Status {
	if id.Issuer == r.self.incarnation {
		return r.table.Revoke(id, r.clock.Now())
	}
	peer, ok := r.peerFor(id.Issuer)
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
		status.Result = resultFromProto(reply.GetRecord())
	}
	return status
}

// claimKey claims an idempotency key for a request that has begun. If another
// request owns the key, it returns that one and join. If the request must not
// run, it returns the result to respond with.
func (r *records) claimKey(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (other snipeonce.RequestID, join bool, refused *snipeonce.Result) {
	if !r.claimBudget.Allow(r.clock.Now()) {
		return other, false, &snipeonce.Result{Outcome: snipeonce.OutcomeNotRun, Reason: snipeonce.ReasonClaimBudget}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	path := snipeonce.ClaimKey(team, service, key)
	claim, action := snipeonce.NewClaim(id, snipestore.NewOperation())
	for {
		switch action.Step {
		case snipeonce.ClaimAcquired:
			// After the deadline a sweep may delete the claim, so the request
			// must not start.
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
		case snipeonce.ClaimRevokeOther:
			action = claim.IssuerReplied(r.revokeAtIssuer(ctx, action.Other))
		}
	}
}

// sweepClaims deletes claims on idempotency keys that no request needs any
// more. The watchers of the configuration call it; concurrent sweeps are
// harmless, because each claim is deleted by its version.
func (r *records) sweepClaims(ctx context.Context) {
	items, revision, err := r.store.List(ctx, claimKeyPrefix)
	if err != nil {
		r.log.Debug("key claims not read", zap.Error(err))
		return
	}
	now := r.clock.Now()
	r.claimSweep.ObserveRevision(revision, now)
	deleted := 0
	for _, item := range items {
		if deleted == maxDeletesPerSweep || !r.claimSweep.Expired(item.Version, now) {
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

// writeClaim creates or replaces a claim and returns the next action.
func (r *records) writeClaim(ctx context.Context, path string, claim *snipeonce.Claim, action snipeonce.ClaimAction) snipeonce.ClaimAction {
	value, err := action.Value.Encode()
	if err != nil {
		r.log.Error("idempotency key claim cannot be encoded", zap.Error(err))
		return claim.StoreUnavailable()
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
	case errors.Is(err, snipestore.ErrOutcomeUnknown):
		return claim.ReplyLost()
	default:
		return claim.StoreUnavailable()
	}
}

// readClaim reads the claim of a key and returns the next action.
func (r *records) readClaim(ctx context.Context, path string, claim *snipeonce.Claim) snipeonce.ClaimAction {
	item, err := r.store.Get(ctx, path)
	switch {
	case errors.Is(err, snipestore.ErrNotFound):
		return claim.NotFound()
	case err != nil:
		return claim.StoreUnavailable()
	}
	value, err := snipeonce.DecodeClaim(item.Value)
	if err != nil {
		r.log.Error("idempotency key claim cannot be decoded", zap.String("key", path), zap.Error(err))
		return claim.StoreUnavailable()
	}
	return claim.Found(value, item.Version)
}

// closeAndHandOver stops the start of requests and sends the records to the
// first peer that accepts all of them. It returns the peer's address, or "" if
// no peer accepts.
func (r *records) closeAndHandOver(ctx context.Context, peers []snipemember.Member) string {
	r.table.Close(r.clock.Now())
	export := r.table.Export(r.clock.Now(), handoverBytes)
	for _, p := range peers {
		if !r.sendHandover(ctx, p.PeerAddress, export) {
			continue
		}
		r.announceSuccessor(export, p, peers)
		r.log.Info("records handed over", zap.String("peer", p.PeerAddress), zap.Int("messages", len(export)))
		return p.PeerAddress
	}
	r.log.Warn("records not handed over; their identifiers become unknown")
	return ""
}

// announceSuccessor informs all peers which instance received the records of
// the exported incarnations.
func (r *records) announceSuccessor(export []snipeonce.Handover, successor snipemember.Member, peers []snipemember.Member) {
	announced := make(map[string]bool)
	for _, h := range export {
		if announced[h.Incarnation] {
			continue
		}
		announced[h.Incarnation] = true
		for _, p := range peers {
			_ = r.node.Send(p.PeerAddress, &snipewire.SuccessorNotice{
				Incarnation: h.Incarnation, SuccessorAddress: successor.PeerAddress, SuccessorIncarnation: successor.Incarnation,
			})
		}
	}
}

// sendHandover reports whether the peer has accepted all messages.
func (r *records) sendHandover(ctx context.Context, peer string, messages []snipeonce.Handover) bool {
	for _, h := range messages {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		reply, err := snipepeer.Call[*snipewire.RecordsHandoverReply](callCtx, r.node, peer, handoverToProto(h))
		cancel()
		if err != nil || !reply.GetAccepted() {
			r.log.Debug("hand-over not accepted", zap.String("peer", peer), zap.Error(err))
			return false
		}
	}
	return true
}

// sendUpdates sends the results of requests that ended after the hand-over to
// the peer that received the records.
func (r *records) sendUpdates(ctx context.Context, peer string) {
	if peer != "" {
		r.sendHandover(ctx, peer, []snipeonce.Handover{r.table.Updates(r.clock.Now())})
	}
}

// handleHandover stores the records of a stopping instance.
func (r *records) handleHandover(q *snipewire.RecordsHandover) (*snipewire.RecordsHandoverReply, error) {
	h, err := handoverFromProto(q)
	if err != nil {
		return nil, fmt.Errorf("hand-over of %s: %w", q.GetIncarnation(), err)
	}
	return &snipewire.RecordsHandoverReply{Accepted: r.table.Import(h, r.clock.Now())}, nil
}

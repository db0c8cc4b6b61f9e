package snipeforward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
)

// serveOnce serves a request of class once: it runs the request, waits for its
// result, answers with a stored result or relays it, as Records.Begin decides.
func (f *Forwarder) serveOnce(ctx context.Context, q *request, s sink) {
	d, joined, leave := f.deps.Records.Begin(q.id, q.deadline)
	switch d.Action {
	case snipeonce.Started:
		f.startOnce(ctx, q, s)
	case snipeonce.Joined:
		f.awaitResult(ctx, q, s, joined, leave)
	case snipeonce.Stored, snipeonce.Refused:
		replay(s, d.Result)
	case snipeonce.RelayTo:
		if len(q.relayedBy) > maxHops {
			s.Refuse(unknown(reasonIssuerUnreachable))
			return
		}
		f.relayToIssuer(ctx, q, s, d.Incarnation)
	}
}

// maxHops is the number of instances that may relay a request before this one
// relays it too. It permits a relay to the issuer and one more to its successor.
const maxHops = 1

// startOnce runs a request that this instance has begun. The request continues if
// the caller disconnects, so that a retry with the same identifier can join it.
func (f *Forwarder) startOnce(ctx context.Context, q *request, s sink) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.remaining(q))
	defer cancel()
	rec := &recorder{next: s, limit: maxRecordedBodyBytes, result: snipeonce.Result{
		Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed,
	}}
	// After a panic the result must be unknown, not running.
	defer func() { f.deps.Records.Finish(q.id, rec.result) }()
	if q.idempotencyKey != "" {
		other, join, refused := f.deps.Records.Claim(ctx, q.service.Team, q.service.Name, q.idempotencyKey, q.id, q.deadline)
		switch {
		case refused != nil:
			rec.Refuse(errorReply{outcome: refused.Outcome.String(), reason: string(refused.Reason), retryAfter: time.Second})
			return
		case join:
			f.serveKeyOwner(ctx, q, rec, other)
			return
		}
	}
	f.runAttempts(ctx, q, rec)
}

// serveKeyOwner answers a request with the result of the request that has claimed
// its idempotency key.
func (f *Forwarder) serveKeyOwner(ctx context.Context, q *request, s sink, other snipeonce.RequestID) {
	owner := *q
	owner.id, owner.idReceived, owner.idempotencyKey = other, true, ""
	d, joined, leave := f.deps.Records.Begin(other, q.deadline)
	switch d.Action {
	case snipeonce.Joined:
		f.awaitResult(ctx, &owner, s, joined, leave)
	case snipeonce.Stored, snipeonce.Refused:
		replay(s, d.Result)
	case snipeonce.RelayTo:
		f.relayToIssuer(ctx, &owner, s, d.Incarnation)
	case snipeonce.Started:
		// The claim found the owner of the key running or finished, so its record
		// cannot be missing. If it is missing all the same, that request may have
		// run, so it is not run again.
		f.deps.Records.Finish(other, snipeonce.Result{Outcome: snipeonce.OutcomeUnknown})
		s.Refuse(unknown(reasonIssuerUnreachable))
	}
}

// awaitResult waits for the result of a running request and writes it.
func (f *Forwarder) awaitResult(ctx context.Context, q *request, s sink, joined <-chan snipeonce.Result, leave func()) {
	timer := time.NewTimer(max(f.remaining(q), 0))
	defer timer.Stop()
	select {
	case result := <-joined:
		replay(s, result)
	case <-timer.C:
		leave()
		s.Refuse(unknown(reasonDeadline))
	case <-ctx.Done():
		leave()
		s.Refuse(unknown(reasonCallerGone))
	}
}

// relayToIssuer relays a request to the instance that decides about its
// identifier. If the relay fails, the outcome is unknown, because the request may
// have run there.
func (f *Forwarder) relayToIssuer(ctx context.Context, q *request, s sink, incarnation string) {
	peer, ok := f.deps.Records.Peer(incarnation)
	if !ok {
		s.Refuse(unknown(reasonIssuerUnreachable))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(f.remaining(q), 0))
	defer cancel()
	m := f.newRelayRequest(q)
	m.Join = true
	m.Excluded = append(slices.Clone(q.relayedBy), f.deps.Incarnation)
	stream, err := f.deps.Relays.Open(ctx, peer, m)
	if err != nil {
		s.Refuse(unknown(reasonIssuerUnreachable))
		return
	}
	defer stream.Close()
	region := f.deps.Config.RegionOf(stream.Peer().Place)
	body := q.body.reader()
	go func() {
		if f.sendBody(ctx, body, stream, region) != nil {
			stream.Close()
		}
	}()
	a, err := stream.ReadResponse()
	var refused *snipepeer.RefusedError
	switch {
	case errors.As(err, &refused):
		r := refused.Refusal
		s.Refuse(errorReply{
			outcome: r.GetOutcome(), reason: r.GetReason(), detail: r.GetDetail(),
			retryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond,
		})
	case err != nil && q.body.errorReason() != "":
		s.Refuse(unknown(q.body.errorReason()))
	case err != nil:
		s.Refuse(unknown(reasonIssuerUnreachable))
	default:
		f.deliver(q, s, &response{
			status: int(a.GetStatus()), header: headerFromWire(a.GetHeaders()), length: a.GetContentLength(),
			body: &chunkReader{read: stream.ReadChunk}, finish: func(bodyEnd) {},
		})
	}
}

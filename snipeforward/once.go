package snipeforward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
)

// serveOnce takes a request of class once to its end.
func (f *Forwarder) serveOnce(ctx context.Context, q *request, s sink) {
	d, joined, leave := f.deps.Records.Begin(q.id, q.deadline)
	switch d.Kind {
	case snipeonce.Start:
		f.startOnce(ctx, q, s)
	case snipeonce.Join:
		f.join(ctx, q, s, joined, leave)
	case snipeonce.Stored, snipeonce.Refuse:
		replay(s, d.Result)
	case snipeonce.RelayTo:
		if len(q.passedBy) > maxHops {
			s.Refuse(unknown(reasonIssuerUnreachable))
			return
		}
		f.passOn(ctx, q, s, d.Incarnation)
	}
}

// maxHops permits a relay to the issuer and one more to its successor.
const maxHops = 1

// startOnce runs a request that has begun here. It goes on when the caller
// leaves, so that a retry with the same identifier can join it.
func (f *Forwarder) startOnce(ctx context.Context, q *request, s sink) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.left(q))
	defer cancel()
	rec := &recorder{next: s, limit: keptAnswerBytes, result: snipeonce.Result{
		Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed,
	}}
	// A panic must leave the record as unknown, not as running.
	defer func() { f.deps.Records.Finish(q.id, rec.result) }()
	if q.key != "" {
		other, join, refused := f.deps.Records.Claim(ctx, q.service.Team, q.service.Name, q.key, q.id, q.deadline)
		switch {
		case refused != nil:
			rec.Refuse(end{outcome: refused.Outcome.String(), reason: string(refused.Reason), retryAfter: time.Second})
			return
		case join:
			f.follow(ctx, q, rec, other)
			return
		}
	}
	f.run(ctx, q, rec)
}

// follow answers with the result of the request that owns the idempotency key.
func (f *Forwarder) follow(ctx context.Context, q *request, s sink, other snipeonce.RequestID) {
	owner := *q
	owner.id, owner.named, owner.key = other, true, ""
	d, joined, leave := f.deps.Records.Begin(other, q.deadline)
	switch d.Kind {
	case snipeonce.Join:
		f.join(ctx, &owner, s, joined, leave)
	case snipeonce.Stored, snipeonce.Refuse:
		replay(s, d.Result)
	case snipeonce.RelayTo:
		f.passOn(ctx, &owner, s, d.Incarnation)
	case snipeonce.Start:
		// The owner of the key was running or finished when it was asked, so
		// its record cannot be missing; nothing is run on a doubt.
		f.deps.Records.Finish(other, snipeonce.Result{Outcome: snipeonce.OutcomeUnknown})
		s.Refuse(unknown(reasonIssuerUnreachable))
	}
}

// join waits for the result of a running request.
func (f *Forwarder) join(ctx context.Context, q *request, s sink, joined <-chan snipeonce.Result, leave func()) {
	timer := time.NewTimer(max(f.left(q), 0))
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

// passOn relays a request to the instance that decides about its identifier.
// Whatever fails, the request can have run there.
func (f *Forwarder) passOn(ctx context.Context, q *request, s sink, incarnation string) {
	peer, ok := f.deps.Records.Peer(incarnation)
	if !ok {
		s.Refuse(unknown(reasonIssuerUnreachable))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(f.left(q), 0))
	defer cancel()
	m := f.relayRequest(q)
	m.Join = true
	m.Excluded = append(slices.Clone(q.passedBy), f.deps.Incarnation)
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
	a, err := stream.ReadAnswer()
	var refused *snipepeer.RefusedError
	switch {
	case errors.As(err, &refused):
		r := refused.Refusal
		s.Refuse(end{
			outcome: r.GetOutcome(), reason: r.GetReason(), detail: r.GetDetail(),
			retryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond,
		})
	case err != nil && q.body.fault() != "":
		s.Refuse(unknown(q.body.fault()))
	case err != nil:
		s.Refuse(unknown(reasonIssuerUnreachable))
	default:
		f.deliver(q, s, &answer{
			status: int(a.GetStatus()), header: headerFromWire(a.GetHeaders()), length: a.GetContentLength(),
			body: &chunkReader{read: stream.ReadChunk}, finish: func(ending) {},
		})
	}
}

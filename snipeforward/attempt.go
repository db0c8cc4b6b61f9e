package snipeforward

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
)

const (
	// probeWait is how long a request may queue in each place on the first pass:
	// two control delays between failure domains with a margin.
	probeWait = 4 * time.Millisecond
	// relayWait is how long a relayed request may queue in the other region.
	relayWait = 20 * time.Millisecond
	// relayWorth is the expected wait in the own region above which another
	// region is tried first; a round trip between regions takes 40 to 70 ms.
	relayWorth = 60 * time.Millisecond
	// queueWorth bounds the wait in the own region before another region is
	// tried. A longer wait shows that the expected one was wrong, as it is while
	// a new owner of the slots waits for reports.
	queueWorth  = 500 * time.Millisecond
	maxPlaces   = 16
	bitsPerByte = 8
)

// wait is a place where a request can queue.
type wait struct {
	place Place
	time  time.Duration
}

// attempt makes one attempt. It asks the places of the plan in turn, without
// queueing for long, and then queues where the expected wait is shortest. Only
// a place that grants a slot is sent the request, so passing a place over needs
// no retry budget.
func (f *Forwarder) attempt(ctx context.Context, q *request, hedge bool) (*answer, *failure) {
	var buffer [maxPlaces]Place
	plan := f.deps.Planner.Plan(q.service, q.home, buffer[:0])
	last := &failure{kind: sniperetry.NoSlot, reason: reasonNoTarget}
	var best *wait
	queued := false
	for _, place := range plan {
		if place.NeedsLink && best != nil && best.time <= relayWorth && !hedge && !queued {
			queued = true
			a, failed := f.local(ctx, q, best.place, min(f.left(q)/2, queueWorth), hedge)
			if settled(a, failed) {
				return a, failed
			}
			last = failed
		}
		a, failed := f.at(ctx, q, place, hedge)
		if settled(a, failed) {
			return a, failed
		}
		f.metrics.spills.WithLabelValues(q.service.Team, q.service.Name, failed.reason).Inc()
		if last.reason == reasonNoTarget || !place.NeedsLink {
			last = failed
		}
		if !place.NeedsLink && canQueue(failed) && (best == nil || failed.end.retryAfter < best.time) {
			best = &wait{place, failed.end.retryAfter}
		}
	}
	if best == nil || hedge {
		return nil, last
	}
	return f.local(ctx, q, best.place, f.left(q)*9/10, hedge)
}

// settled reports whether an attempt has ended the walk through the places: it
// has a response, or a target or relay was involved.
func settled(a *answer, failed *failure) bool {
	return a != nil || failed.kind != sniperetry.NoSlot
}

// canQueue reports whether a later slot can help.
func canQueue(failed *failure) bool {
	return failed.reason == reasonNoSlot || failed.reason == "wouldMissDeadline"
}

// at makes an attempt in one place.
func (f *Forwarder) at(ctx context.Context, q *request, place Place, hedge bool) (*answer, *failure) {
	if place.NeedsLink {
		return f.remote(ctx, q, place, hedge)
	}
	return f.local(ctx, q, place, probeWait, hedge)
}

// refusedAttempt is a failure before anything was sent.
func refusedAttempt(r *Refusal) *failure {
	return &failure{kind: sniperetry.NoSlot, reason: r.Reason, end: r.end()}
}

// estimate returns the expected bits of a request and of its response.
func estimate(q *request) (request, response float64) {
	size := q.body.length
	if size < 0 {
		size = q.service.RequestBytes
	}
	size += headerBytes(q.header)
	return float64(size) * bitsPerByte, float64(q.service.AnswerBytes) * bitsPerByte
}

// sentBits returns the bits of a request that was sent.
func sentBits(q *request) float64 {
	return float64(q.body.size()+headerBytes(q.header)) * bitsPerByte
}

// shift spends the tokens of a request that is served away from home. The
// returned function charges what was really transferred.
func (f *Forwarder) shift(ctx context.Context, q *request, place Place) (settle func(bits float64), refusal *Refusal) {
	if !place.NeedsShift {
		return func(float64) {}, nil
	}
	sent, received := estimate(q)
	if refusal := f.deps.Limits.AdmitShift(ctx, q.service, sent+received); refusal != nil {
		return nil, refusal
	}
	return func(bits float64) { f.deps.Limits.CorrectShift(q.service, bits-sent-received) }, nil
}

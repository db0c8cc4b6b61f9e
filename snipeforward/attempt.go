package snipeforward

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
)

const (
	// firstPassWait is how long a request may queue in each place on the first
	// pass: twice the delay of a control message between failure domains, with a
	// margin.
	firstPassWait = 4 * time.Millisecond
	// relayQueueWait is how long a relayed request may queue in the other region.
	relayQueueWait = 20 * time.Millisecond
	// relayThreshold is the expected queue wait in the region of this instance
	// above which another region is tried first. A round trip between regions
	// takes 40 to 70 ms.
	relayThreshold = 60 * time.Millisecond
	// maxLocalQueueWait bounds the queue wait in the region of this instance
	// before another region is tried. A longer wait shows that the expected wait
	// was wrong, for example because a new owner of the slots still waits for
	// reports.
	maxLocalQueueWait = 500 * time.Millisecond
	// planCapacity is the capacity of the buffer for a plan. A plan can be longer.
	planCapacity = 16
	bitsPerByte  = 8
)

// queueChoice is a place where a request can queue, with the expected wait.
type queueChoice struct {
	place Place
	wait  time.Duration
}

// attempt makes one attempt. It tries to acquire a slot in the places of the plan
// in turn with a short queue wait, and then queues in the place with the shortest
// expected wait. The request is sent only to a place that grants a slot, so a
// place that grants none consumes no retry budget.
func (f *Forwarder) attempt(ctx context.Context, q *request, hedge bool) (*response, *failure) {
	var buffer [planCapacity]Place
	plan := f.deps.Planner.Plan(q.service, q.home, buffer[:0])
	last := &failure{kind: sniperetry.NoSlot, reason: reasonNoTarget}
	var best *queueChoice
	queued := false
	for _, place := range plan {
		if place.NeedsLink && best != nil && best.wait <= relayThreshold && !hedge && !queued {
			queued = true
			resp, failed := f.attemptLocal(ctx, q, best.place, min(f.remaining(q)/2, maxLocalQueueWait), hedge)
			if endsSearch(resp, failed) {
				return resp, failed
			}
			last = failed
		}
		resp, failed := f.attemptAt(ctx, q, place, hedge)
		if endsSearch(resp, failed) {
			return resp, failed
		}
		f.metrics.passedOver.WithLabelValues(q.service.Team, q.service.Name, failed.reason).Inc()
		if last.reason == reasonNoTarget || !place.NeedsLink {
			last = failed
		}
		if !place.NeedsLink && canQueue(failed) && (best == nil || failed.reply.retryAfter < best.wait) {
			best = &queueChoice{place, failed.reply.retryAfter}
		}
	}
	if best == nil || hedge {
		return nil, last
	}
	return f.attemptLocal(ctx, q, best.place, f.remaining(q)*9/10, hedge)
}

// endsSearch reports whether a result ends the search through the places of the
// plan: it has a response, or a target or relay was involved.
func endsSearch(resp *response, failed *failure) bool {
	return resp != nil || failed.kind != sniperetry.NoSlot
}

// canQueue reports whether the request could get a slot by queueing longer.
func canQueue(failed *failure) bool {
	return failed.reason == reasonNoSlot || failed.reason == "wouldMissDeadline"
}

// attemptAt makes an attempt in one place, with a short queue wait.
func (f *Forwarder) attemptAt(ctx context.Context, q *request, place Place, hedge bool) (*response, *failure) {
	if place.NeedsLink {
		return f.attemptRemote(ctx, q, place, hedge)
	}
	return f.attemptLocal(ctx, q, place, firstPassWait, hedge)
}

// refusalFailure returns the failure of an attempt that was refused before
// anything was sent.
func refusalFailure(r *Refusal) *failure {
	return &failure{kind: sniperetry.NoSlot, reason: r.Reason, reply: r.errorReply()}
}

// estimateBits returns the expected bits of a request and of its response.
func estimateBits(q *request) (request, response float64) {
	size := q.body.length
	if size < 0 {
		size = q.service.RequestBytes
	}
	size += headerBytes(q.header)
	return float64(size) * bitsPerByte, float64(q.service.ResponseBytes) * bitsPerByte
}

// sentBits returns the bits of a request that was sent.
func sentBits(q *request) float64 {
	return float64(q.body.size()+headerBytes(q.header)) * bitsPerByte
}

// admitShift takes the tokens of a request that is served away from its home
// place. The returned function corrects the charge to the bits that were actually
// transferred.
func (f *Forwarder) admitShift(ctx context.Context, q *request, place Place) (chargeActual func(bits float64), refusal *Refusal) {
	if !place.NeedsShift {
		return func(float64) {}, nil
	}
	sent, received := estimateBits(q)
	if refusal := f.deps.Limits.AdmitShift(ctx, q.service, sent+received); refusal != nil {
		return nil, refusal
	}
	return func(bits float64) { f.deps.Limits.CorrectShift(q.service, bits-sent-received) }, nil
}

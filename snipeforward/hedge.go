package snipeforward

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
)

// concurrentResult is the result of one of two concurrent attempts.
type concurrentResult struct {
	response *response
	failed   *failure
	// index is that of the attempt in the record.
	index int
	hedge bool
	// panicked is the value of a panic. It is raised again on the goroutine of
	// the request, where it does not end the process.
	panicked any
}

// attemptHedged makes one attempt. If the class is hedged and the attempt takes
// longer than the hedge delay, it makes a second one concurrently. It returns the
// first response and cancels the other attempt.
func (f *Forwarder) attemptHedged(ctx context.Context, q *request, policy Policy, state *retryState) (*response, *failure) {
	delay, ok := policy.HedgeDelay(q.class)
	first := state.record.Begin()
	if !ok || state.hedged || !q.body.fullyBuffered {
		resp, failed := f.attempt(ctx, q, false)
		state.end(first, failed)
		return resp, failed
	}
	results := make(chan concurrentResult, 2)
	receive := func() concurrentResult {
		r := <-results
		state.end(r.index, r.failed)
		return r
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	started := f.deps.Clock.Now()
	f.startAttempt(firstCtx, q, concurrentResult{index: first}, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		state.end(r.index, r.failed)
		return cancelOnFinish(r, cancelFirst)
	case <-timer.C:
	}
	d := policy.Decide(f.deps.Clock.Now(), sniperetry.RequestState{
		Class: q.class, Failure: sniperetry.Running, Attempts: state.attempts, Record: state.record,
		Elapsed: f.deps.Clock.Now().Sub(started), Deadline: q.deadline,
	})
	if d.Action != sniperetry.Hedge {
		return cancelOnFinish(receive(), cancelFirst)
	}
	state.hedged = true
	f.countRetry(q, d.Reason)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	f.startAttempt(secondCtx, q, concurrentResult{index: state.record.Begin(), hedge: true}, results)
	cancelBoth := func() {
		cancelFirst()
		cancelSecond()
	}
	r := receive()
	if r.response == nil && r.panicked == nil {
		// The other attempt may still succeed.
		resp, failed := cancelOnFinish(receive(), cancelBoth)
		if failed != nil {
			failed.otherTarget = r.failed.target
		}
		return resp, failed
	}
	if r.hedge {
		cancelFirst()
	} else {
		cancelSecond()
	}
	go discardLoser(results)
	return cancelOnFinish(r, cancelBoth)
}

// startAttempt makes an attempt on a new goroutine and sends r with its result. A hedge
// excludes the target of the first attempt.
func (f *Forwarder) startAttempt(ctx context.Context, q *request, r concurrentResult, results chan<- concurrentResult) {
	// The attempt gets its own copy of the list of excluded targets.
	own := *q
	own.excluded = append([]string(nil), q.excluded...)
	if target := q.currentTarget.Load(); r.hedge && target != nil {
		own.exclude(*target)
	}
	go func() {
		defer func() {
			r.panicked = recover()
			results <- r
		}()
		r.response, r.failed = f.attempt(ctx, &own, r.hedge)
	}()
}

// cancelOnFinish returns a result and calls cancel when its response is finished,
// or at once if there is none. It raises a panic of the attempt again.
func cancelOnFinish(r concurrentResult, cancel context.CancelFunc) (*response, *failure) {
	if r.panicked != nil {
		cancel()
		panic(r.panicked)
	}
	if r.failed != nil {
		cancel()
		return nil, r.failed
	}
	finish := r.response.finish
	r.response.finish = func(how bodyEnd) {
		finish(how)
		cancel()
	}
	return r.response, nil
}

// discardLoser waits for the slower attempt and discards its response.
func discardLoser(results <-chan concurrentResult) {
	if r := <-results; r.response != nil {
		r.response.finish(bodyAbandoned)
	}
}

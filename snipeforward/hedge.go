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
	hedge    bool
	// panicked is the value of a panic. It is raised again on the goroutine of
	// the request, where it does not end the process.
	panicked any
}

// attemptHedged makes one attempt. If the class is hedged and the attempt takes
// longer than the hedge delay, it makes a second one concurrently. It returns the
// first response and cancels the other attempt.
func (f *Forwarder) attemptHedged(ctx context.Context, q *request, policy Policy, state *retryState) (*response, *failure) {
	delay, ok := policy.HedgeDelay(q.class)
	if !ok || state.hedged || !q.body.fullyBuffered {
		return f.attempt(ctx, q, false)
	}
	results := make(chan concurrentResult, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	started := f.deps.Clock.Now()
	f.startAttempt(firstCtx, q, false, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return cancelOnFinish(r, cancelFirst)
	case <-timer.C:
	}
	d := policy.Decide(f.deps.Clock.Now(), sniperetry.RequestState{
		Class: q.class, Failure: sniperetry.Running, Attempts: state.attempts, OtherMayHaveBegun: true,
		Elapsed: f.deps.Clock.Now().Sub(started), Deadline: q.deadline,
	})
	if d.Action != sniperetry.Hedge {
		return cancelOnFinish(<-results, cancelFirst)
	}
	state.hedged = true
	f.countRetry(q, d.Reason)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	f.startAttempt(secondCtx, q, true, results)
	cancelBoth := func() {
		cancelFirst()
		cancelSecond()
	}
	r := <-results
	if r.response == nil && r.panicked == nil {
		// The other attempt may still succeed.
		resp, failed := cancelOnFinish(<-results, cancelBoth)
		if failed != nil {
			failed.otherMayHaveBegun = r.failed.kind.MayHaveBegun()
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

// startAttempt makes an attempt on a new goroutine. A hedge excludes the target
// of the first attempt.
func (f *Forwarder) startAttempt(ctx context.Context, q *request, hedge bool, results chan<- concurrentResult) {
	// The attempt gets its own copy of the list of excluded targets.
	own := *q
	own.excluded = append([]string(nil), q.excluded...)
	if target := q.currentTarget.Load(); hedge && target != nil {
		own.exclude(*target)
	}
	go func() {
		r := concurrentResult{hedge: hedge}
		defer func() {
			r.panicked = recover()
			results <- r
		}()
		r.response, r.failed = f.attempt(ctx, &own, hedge)
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

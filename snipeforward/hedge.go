package snipeforward

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
)

// attempted is the result of one attempt that runs beside another.
type attempted struct {
	answer *answer
	failed *failure
	hedge  bool
	// panicked is the value of a panic, which is raised again on the goroutine
	// of the request so that it does not end the process.
	panicked any
}

// attemptHedged makes one attempt, and a second one beside it if the class is
// hedged and the first takes longer than the hedge delay. The first response
// wins and the other attempt is cancelled.
func (f *Forwarder) attemptHedged(ctx context.Context, q *request, policy Policy, state *attemptState) (*answer, *failure) {
	delay, ok := policy.HedgeDelay(q.class)
	if !ok || state.hedged || !q.body.whole {
		return f.attempt(ctx, q, false)
	}
	results := make(chan attempted, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	started := f.deps.Clock.Now()
	f.attemptBeside(firstCtx, q, false, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return keep(r, cancelFirst)
	case <-timer.C:
	}
	d := policy.Decide(f.deps.Clock.Now(), sniperetry.Event{
		Class: q.class, Failure: sniperetry.Running, Attempts: state.count, Began: true,
		Elapsed: f.deps.Clock.Now().Sub(started), Deadline: q.deadline,
	})
	if d.Action != sniperetry.Hedge {
		return keep(<-results, cancelFirst)
	}
	state.hedged = true
	f.countRetry(q, d.Reason)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	f.attemptBeside(secondCtx, q, true, results)
	cancelBoth := func() {
		cancelFirst()
		cancelSecond()
	}
	r := <-results
	if r.answer == nil && r.panicked == nil {
		// The other attempt can still succeed.
		a, failed := keep(<-results, cancelBoth)
		if failed != nil {
			failed.began = r.failed.kind.Begun()
			failed.beside = r.failed.target
		}
		return a, failed
	}
	if r.hedge {
		cancelFirst()
	} else {
		cancelSecond()
	}
	go discard(results)
	return keep(r, cancelBoth)
}

// attemptBeside makes an attempt on a goroutine of its own.
func (f *Forwarder) attemptBeside(ctx context.Context, q *request, hedge bool, results chan<- attempted) {
	// The copy keeps the list of excluded targets apart.
	own := *q
	own.excluded = append([]string(nil), q.excluded...)
	if target := q.running.Load(); hedge && target != nil {
		own.exclude(*target)
	}
	go func() {
		r := attempted{hedge: hedge}
		defer func() {
			r.panicked = recover()
			results <- r
		}()
		r.answer, r.failed = f.attempt(ctx, &own, hedge)
	}()
}

// keep returns a result whose context ends with the response.
func keep(r attempted, cancel context.CancelFunc) (*answer, *failure) {
	if r.panicked != nil {
		cancel()
		panic(r.panicked)
	}
	if r.failed != nil {
		cancel()
		return nil, r.failed
	}
	finish := r.answer.finish
	r.answer.finish = func(how ending) {
		finish(how)
		cancel()
	}
	return r.answer, nil
}

// discard ends the attempt that lost.
func discard(results <-chan attempted) {
	if r := <-results; r.answer != nil {
		r.answer.finish(endedHere)
	}
}

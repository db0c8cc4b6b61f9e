package snipeforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetarget"
)

// local makes an attempt at a target of the own region.
func (f *Forwarder) local(ctx context.Context, q *request, place Place, maxWait time.Duration, hedge bool) (*answer, *failure) {
	attemptID := f.deps.Incarnation + "/" + strconv.FormatUint(f.attempts.Add(1), 10)
	ctx, cancel := context.WithCancel(ctx)
	target, refusal := f.deps.Slots.Acquire(ctx, SlotRequest{
		Service: q.service, Place: place.Name, AttemptID: attemptID, Budget: f.left(q), MaxWait: maxWait,
		Excluded: q.excluded, Hedge: hedge, Revoke: cancel,
	})
	if refusal != nil {
		cancel()
		return nil, refusedAttempt(refusal)
	}
	settle, refusal := f.shift(q, place)
	if refusal != nil {
		f.deps.Slots.Release(attemptID, AttemptCancelled, 0)
		cancel()
		return nil, refusedAttempt(refusal)
	}
	f.metrics.attempts.WithLabelValues(q.service.Team, q.service.Name, "target").Inc()
	q.running.Store(&target)
	a, failed := f.send(ctx, q, target, attemptID)
	if failed != nil {
		cancel()
		settle(0)
		return nil, failed
	}
	sent, _ := estimate(q)
	counted := &countingReader{r: a.body}
	a.body = counted
	finish := a.finish
	a.finish = func(complete bool) {
		finish(complete)
		settle(sent + float64(counted.n)*bitsPerByte)
		cancel()
	}
	return a, nil
}

// send sends the request to a target under a granted slot and releases the slot
// when the attempt has ended.
func (f *Forwarder) send(ctx context.Context, q *request, target, attemptID string) (*answer, *failure) {
	started := f.deps.Clock.Now()
	var once sync.Once
	release := func(result AttemptResult) {
		once.Do(func() { f.deps.Slots.Release(attemptID, result, f.deps.Clock.Now().Sub(started)) })
	}
	// A panic below must not keep the slot.
	sent := false
	defer func() {
		if !sent {
			release(AttemptCancelled)
		}
	}()
	resp, err := f.deps.Targets.Attempt(ctx, snipetarget.Request{
		Target: target, Method: q.method, URI: q.uri, Header: requestHeader(q.header, q.id.String(), f.left(q)),
		Body: q.body.reader(), ContentLength: q.body.length,
	})
	if err != nil {
		failed, result := classify(ctx, err)
		failed.target = target
		release(result)
		return nil, failed
	}
	sent = true
	result := AttemptDone
	if resp.Status >= http.StatusInternalServerError {
		result = AttemptFailed
	}
	return &answer{
		status: resp.Status, header: resp.Header, length: resp.ContentLength, body: resp.Body, target: target,
		finish: func(complete bool) {
			_ = resp.Body.Close()
			if !complete {
				result = AttemptCancelled
			}
			release(result)
		},
	}, nil
}

// classify says what a failed attempt means for the request and for the slot's
// owner.
func classify(ctx context.Context, err error) (*failure, AttemptResult) {
	var e *snipetarget.Error
	if !errors.As(err, &e) {
		return &failure{kind: sniperetry.ConnectionLost, reason: reasonTargetFailed}, AttemptFailed
	}
	detail := end{retryAfter: e.RetryAfter, detail: string(e.Cause)}
	begun := e.Known == snipetarget.MaybeBegun
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && begun:
		return &failure{kind: sniperetry.ConnectionLost, reason: reasonCallerGone, end: detail}, AttemptCancelled
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{kind: sniperetry.DialFailed, reason: reasonCallerGone, end: detail}, AttemptCancelled
	case begun && e.Cause == snipetarget.CauseTimeout:
		return &failure{kind: sniperetry.ConnectionLost, reason: reasonDeadline, end: detail}, AttemptFailed
	case begun:
		return &failure{kind: sniperetry.ConnectionLost, reason: "connectionLost", end: detail}, AttemptFailed
	case e.Cause == snipetarget.CauseShed:
		return &failure{kind: sniperetry.TargetShed, reason: "targetShed", end: detail}, AttemptShed
	default:
		return &failure{kind: sniperetry.DialFailed, reason: "dialFailed", end: detail}, AttemptDialFailed
	}
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read response: %w", err)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay what it is
}

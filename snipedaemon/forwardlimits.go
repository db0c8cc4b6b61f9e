package snipedaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/snipelimit"
)

// limitRefusal returns the refusal for an error of a limit. Its reason is
// capReason unless the lease that permits spending has lapsed.
func limitRefusal(err error, capReason string, wait time.Duration) *snipeforward.Refusal {
	reason := capReason
	if errors.Is(err, snipelimit.ErrLeaseLapsed) {
		reason = "limitLeaseLapsed"
	}
	return &snipeforward.Refusal{Reason: reason, RetryAfter: wait}
}

// maxShiftWait bounds the wait of a request for a token of a shift cap; the
// request holds a slot meanwhile. Without the wait, randomly spaced requests
// would be refused at a small cap although their mean rate is below it.
const maxShiftWait = 50 * time.Millisecond

// AdmitShift implements snipeforward.Limits.
func (f *forwardAdapter) AdmitShift(ctx context.Context, s snipeforward.Service, bits float64) *snipeforward.Refusal {
	requests, err := f.d.limits.bucket(shiftRequestsID(s.Team, s.Name))
	if err != nil {
		return limitRefusal(err, "shiftCap", time.Second)
	}
	if wait, err := f.takeToken(ctx, requests); err != nil {
		return limitRefusal(err, "shiftCap", wait)
	}
	if wait, err := f.d.limits.spend(shiftBitsID(s.Team, s.Name), bits); err != nil {
		requests.Correct(f.d.clock.Now(), -1)
		return limitRefusal(err, "shiftCap", wait)
	}
	return nil
}

// takeToken takes one token of a bucket. Callers that wait get their tokens in
// the order of arrival. On an error it returns an estimate of the wait, 0 if
// ctx ended.
func (f *forwardAdapter) takeToken(ctx context.Context, b *snipelimit.Bucket) (time.Duration, error) {
	reservation, wait, err := b.Reserve(f.d.clock.Now(), 1, maxShiftWait)
	for err == nil && reservation != nil && wait > 0 {
		sleep(ctx, wait)
		if ctx.Err() != nil {
			reservation.Cancel()
			return 0, fmt.Errorf("wait for a token: %w", ctx.Err())
		}
		wait, err = reservation.Spend(f.d.clock.Now())
	}
	if err != nil {
		return wait, fmt.Errorf("take a token: %w", err)
	}
	return 0, nil
}

// CorrectShift implements snipeforward.Limits.
func (f *forwardAdapter) CorrectShift(s snipeforward.Service, difference float64) {
	if b, err := f.d.limits.bucket(shiftBitsID(s.Team, s.Name)); err == nil {
		b.Correct(f.d.clock.Now(), difference)
	}
}

// maxLinkWait is the longest expected wait for tokens of a link with which a
// request is still relayed over it.
const maxLinkWait = 200 * time.Millisecond

// AdmitLink implements snipeforward.Limits.
func (f *forwardAdapter) AdmitLink(region string, bits float64) *snipeforward.Refusal {
	b, err := f.d.limits.bucket(linkID(f.d.region(), region))
	if err != nil {
		return limitRefusal(err, "linkCap", time.Second)
	}
	if wait := b.Wait(f.d.clock.Now(), bits); wait > maxLinkWait {
		return &snipeforward.Refusal{Reason: "linkCap", RetryAfter: wait}
	}
	return nil
}

// PaceLink implements snipeforward.Limits.
func (f *forwardAdapter) PaceLink(ctx context.Context, region string, bits float64) error {
	return f.d.limits.pace(ctx, linkID(f.d.region(), region), bits)
}

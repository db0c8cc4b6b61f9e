package snipelimit

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	rampStep   = 100 * time.Millisecond
	rampWindow = time.Second
	// rampLimitedPart is the part of the admitted amount from which the ceiling
	// counts as the limit of the use.
	rampLimitedPart = 0.8
	// rampResetAfter is the time without spending after which a ramp restarts
	// from 0.
	rampResetAfter = 3 * time.Second
)

// ramp bounds the increase of an admitted rate. The ceiling rises at the growth
// rate. At the end of a window it falls to the mean use in the window, unless
// the ceiling limited the use: the mean of a rising rate is below its final
// value, and a fall to the mean would halve the growth.
type ramp struct {
	ceiling float64 // in amounts per second
	// used is the amount that was spent in the window, admitted the amount that
	// the ceiling allowed in it.
	used        float64
	admitted    float64
	windowStart snipetime.Instant
	nextStep    snipetime.Instant
}

// step returns the ceiling that applies from now. growth is the share of this
// instance in the growth of the whole limit.
func (r *ramp) step(now snipetime.Instant, growth float64) float64 {
	if now.Before(r.nextStep) {
		return r.ceiling
	}
	r.nextStep = now.Add(rampStep)
	r.admitted += r.ceiling * rampStep.Seconds()
	r.ceiling += growth * rampStep.Seconds()
	if elapsed := now.Sub(r.windowStart); elapsed >= rampWindow {
		if r.used < r.admitted*rampLimitedPart {
			r.ceiling = min(r.ceiling, max(0, r.used)/elapsed.Seconds())
		}
		r.windowStart = now
		r.used, r.admitted = 0, 0
	}
	return r.ceiling
}

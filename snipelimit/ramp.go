package snipelimit

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	rampStep   = 100 * time.Millisecond
	rampWindow = time.Second
	// rampFollowed is the part of the admitted amount from which use is taken
	// to follow the ceiling.
	rampFollowed = 0.8
	// rampIdle is the time without spending after which a ramp starts anew.
	rampIdle = 3 * time.Second
)

// ramp bounds the growth of an admitted rate. The ceiling rises by the growth
// rate. At the end of a window it falls to the use in the window, unless use
// followed the ceiling: the mean of a rising rate is below its end, and falling
// back to it would halve the growth.
type ramp struct {
	ceiling float64
	// used is the amount spent and admitted the amount that the ceiling
	// admitted in the window.
	used     float64
	admitted float64
	window   snipetime.Instant
	next     snipetime.Instant
}

// step returns the ceiling that applies from now; growth is the share of this
// instance.
func (r *ramp) step(now snipetime.Instant, growth float64) float64 {
	if now.Before(r.next) {
		return r.ceiling
	}
	r.next = now.Add(rampStep)
	r.admitted += r.ceiling * rampStep.Seconds()
	r.ceiling += growth * rampStep.Seconds()
	if elapsed := now.Sub(r.window); elapsed >= rampWindow {
		if r.used < r.admitted*rampFollowed {
			r.ceiling = min(r.ceiling, max(0, r.used)/elapsed.Seconds())
		}
		r.window = now
		r.used, r.admitted = 0, 0
	}
	return r.ceiling
}

package snipesync

import (
	"slices"
	"time"
)

// Timing holds the pauses and timeouts of a follower.
type Timing struct {
	// watchPause is the pause between two watches of the store, so that one call
	// returns many changes, and watchWait bounds how long the store waits for a
	// change.
	watchPause, watchWait time.Duration
	// servingPause and servingWait replace them in a watcher that other fronts ask.
	servingPause, servingWait time.Duration
	// maxPeerAge is the maximum age of data from another front. Older data is stale.
	maxPeerAge time.Duration
	// peerWait bounds how long another front waits for a change, and peerGrace is
	// the additional time that its answer may need.
	peerWait, peerGrace time.Duration
}

const (
	// defaultChangeBound and defaultStabilityWindow apply where the platform states
	// none.
	defaultChangeBound     = 2500 * time.Millisecond
	defaultStabilityWindow = 4 * time.Second
	// maxPause bounds the pauses on platforms that state long bounds.
	maxPause = 2 * time.Second
)

// NewTiming derives the times from the bounds of the platform. changeBounds are the
// times within which changes have to be in force; the shortest one counts.
// stabilityWindow is the time within which these bounds have to hold again after a
// disruption. Values of zero or less are ignored; the defaults apply where none
// remains.
//
// A front that asks another one detects within maxPeerAge plus peerWait, two thirds
// of the shortest bound, that the other has lost the store. The data of a watcher
// is older than servingPause plus servingWait only after such a loss, so maxPeerAge
// is longer than their sum. A watch can wait in vain although there are changes, if
// the store lost its history or an answer was lost, so watchWait is shorter than
// the bounds too.
func NewTiming(stabilityWindow time.Duration, changeBounds ...time.Duration) Timing {
	bound := shortestBound(changeBounds)
	if stabilityWindow <= 0 {
		stabilityWindow = defaultStabilityWindow
	}
	return Timing{
		watchPause: min(bound*2/5, maxPause), watchWait: min(bound*4/5, stabilityWindow/2),
		servingPause: min(bound/4, maxPause), servingWait: bound / 6,
		maxPeerAge: bound * 11 / 20, peerWait: bound / 8, peerGrace: bound / 8,
	}
}

const (
	// strictPeriod is the time between two calls of a watcher to the store where
	// revocation is strict. Each call costs money, and the age of what a front knows
	// grows with it.
	strictPeriod = 900 * time.Millisecond
	// strictWait bounds how long the store waits for a change in such a call. What a
	// watch confirms counts from its begin, so that the wait adds to the age twice.
	strictWait = 50 * time.Millisecond
)

// strict returns the times for strict revocation: short waits of the store, and no
// longer period than without it. They apply to all watches of the store, because a
// front that is not asked by others has to know of revocations too. What a front knows
// from a watcher is at most strictPeriod and strictWait old, plus the duration of the
// calls; peerWait is added if a confirmation comes between two calls to the watcher.
func (t Timing) strict() Timing {
	period := min(strictPeriod, t.servingPause+t.servingWait)
	t.watchWait = min(strictWait, t.servingWait)
	t.servingWait = t.watchWait
	t.watchPause = period - t.watchWait
	t.servingPause = t.watchPause
	return t
}

// usualAge returns the greatest age of the data of a watcher that has the store, apart
// from the duration of calls. Older data is used up to maxPeerAge, but another front that
// may have newer data is asked first.
func (t Timing) usualAge() time.Duration { return t.servingPause + t.servingWait }

// shortestBound returns the shortest positive bound, or the default if there is
// none.
func shortestBound(bounds []time.Duration) time.Duration {
	stated := slices.DeleteFunc(slices.Clone(bounds), func(d time.Duration) bool { return d <= 0 })
	if len(stated) == 0 {
		return defaultChangeBound
	}
	return slices.Min(stated)
}

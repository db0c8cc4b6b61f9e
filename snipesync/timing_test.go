package snipesync

import (
	"testing"
	"time"
)

// TestTiming guards against times that add up to more than the platform's bounds
// allow, including bounds that are shorter than the defaults.
func TestTiming(t *testing.T) {
	for _, bound := range []time.Duration{0, 500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, time.Minute} {
		tm := NewTiming(4*time.Second, 0, bound, 2*time.Minute)
		limit := bound
		if bound == 0 {
			limit = 2 * time.Minute
		}
		if tm.watchPause >= limit/2 {
			t.Errorf("bound %v: watch pause %v is not below half of the bound", limit, tm.watchPause)
		}
		if detection := tm.maxPeerAge + tm.peerWait + tm.peerGrace; detection >= limit {
			t.Errorf("bound %v: the loss of a watcher is detected after %v", limit, detection)
		}
		if tm.servingPause+tm.servingWait >= tm.maxPeerAge {
			t.Errorf("bound %v: the data of a watcher is up to %v old, not less than maxPeerAge %v", limit, tm.servingPause+tm.servingWait, tm.maxPeerAge)
		}
		if tm.watchWait > 2*time.Second {
			t.Errorf("bound %v: watch wait %v exceeds half of the stability window", limit, tm.watchWait)
		}
	}
	if NewTiming(0) != NewTiming(defaultStabilityWindow, defaultChangeBound) {
		t.Error("defaults differ from stated bounds of the same length")
	}
}

// TestStrictTiming guards against a front whose knowledge is so old in normal operation
// that it refuses keys soon after it has lost the store, and against more than about one
// call a second to the store, which costs money.
func TestStrictTiming(t *testing.T) {
	const (
		platformBound = 3 * time.Second
		evacuation    = 5 * time.Second
		calls         = 50 * time.Millisecond // duration of two calls to the store and one to a front
		maxKnowledge  = 1600 * time.Millisecond
		minPeriod     = 800 * time.Millisecond
	)
	tm := NewTiming(4*time.Second, platformBound, platformBound, evacuation).strict()
	if age := tm.servingPause*105/100 + 2*tm.servingWait + tm.peerWait + calls; age > maxKnowledge {
		t.Errorf("a front knows what the store held up to %v ago, want at most %v", age, maxKnowledge)
	}
	// A front that loses the store serves keys for three fifths of the time in which they
	// are revoked; confirmations wake the calls between fronts.
	const serving = testRevoke * 3 / 5
	if age := tm.servingPause*105/100 + 2*tm.servingWait; age > testRevoke*4/5-serving {
		t.Errorf("a front knows what the store held up to %v ago and serves without it for less than %v", age, serving)
	}
	if tm.servingPause*95/100 < minPeriod {
		t.Errorf("calls to the store %v apart, want at least %v", tm.servingPause, minPeriod)
	}
	for _, bound := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, platformBound, time.Minute} {
		usual := NewTiming(4*time.Second, bound)
		strict := usual.strict()
		if strict.servingPause+strict.servingWait > usual.servingPause+usual.servingWait || strict.servingPause <= 0 || strict.servingWait <= 0 {
			t.Errorf("bound %v: pause %v, wait %v, without strict revocation %v and %v", bound,
				strict.servingPause, strict.servingWait, usual.servingPause, usual.servingWait)
		}
	}
}

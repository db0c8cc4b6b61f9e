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

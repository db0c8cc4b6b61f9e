package snipeplacement

import (
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// TestRetryTimeAtSlowTarget guards against a slowness, which lasts for a part of a second,
// that moves retry times far beyond the time at which callers give up.
func TestRetryTimeAtSlowTarget(t *testing.T) {
	now := snipetime.Instant(time.Minute)
	target := &snipefleet.Target{Slots: 3}
	for _, slowness := range []float64{1, 2.5, 100} {
		s := &targetState{serviceTime: 640 * time.Millisecond, othersLoad: 6, reportedAt: now, reportedSlowness: slowness}
		for range 3 {
			free := s.slotFreeAt(now, target, 1, 1, false)
			if delay := s.reserveRetry(now, free, false); delay <= 0 || delay > maxFullRetryDelay {
				t.Errorf("retry after %v at slowness %.1f, want at most %v", delay, slowness, maxFullRetryDelay)
			}
		}
	}
}

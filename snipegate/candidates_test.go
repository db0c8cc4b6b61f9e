package snipegate

import (
	"testing"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
)

// TestLoggedCandidates guards against a refusal whose log line does not show that a target
// is slow, and against a usual slowness in each line.
func TestLoggedCandidates(t *testing.T) {
	target := &snipefleet.Target{ID: "a", Slots: 4}
	for want, slowness := range map[string]float64{
		"a:targetsFull:load=8.0/4:age=0ms":           1.04,
		"a:targetsFull:load=8.0/4:age=0ms:slow=2.50": 2.5,
		"a:targetsFull:load=8.0/4:age=0ms:slow=0.50": 0.5,
	} {
		e := zapcore.NewMapObjectEncoder()
		candidate := snipeplacement.Candidate{Target: target, Load: 8, Slowness: slowness, SkipReason: snipeplacement.ReasonFull}
		if err := e.AddArray("looks", loggedCandidates{candidate}); err != nil {
			t.Fatal(err)
		}
		if got := e.Fields["looks"].([]any)[0]; got != want {
			t.Errorf("slowness %v: %v, want %s", slowness, got, want)
		}
	}
}

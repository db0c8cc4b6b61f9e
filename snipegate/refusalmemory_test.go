package snipegate

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// TestRefusalMemory guards against refusals that are forgotten too early, because another
// target refuses the request too or other requests are refused, and against some that are
// never forgotten, so that an identifier is never served again.
func TestRefusalMemory(t *testing.T) {
	const start = snipetime.Instant(time.Hour)
	a, b := &snipefleet.Target{ID: "a"}, &snipefleet.Target{ID: "b"}
	m := newRefusalMemory()
	m.add(start, "1", a)
	m.add(start.Add(refusalRetention/2), "1", b)
	for i := range maxRememberedRequests - 1 {
		m.add(start, "other"+strconv.Itoa(i), a)
	}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{
		{refusalRetention / 2, 2},
		{refusalRetention, 2},
		{refusalRetention + 1, 1},
		{refusalRetention + refusalRetention/2, 1},
		{2 * refusalRetention, 0},
	} {
		if got := len(m.refusedBy(start.Add(step.after), "1")); got != step.want {
			t.Errorf("after %v: refused by %d targets, want %d", step.after, got, step.want)
		}
	}
	if got := len(m.refusedBy(start, "2")); got != 0 {
		t.Errorf("a request that was not refused is refused by %d targets", got)
	}
}

// TestThirdSendOfRefusedRequest guards against a request that its caller sends again and
// again, and that comes to a target that refused it the time before the last.
func TestThirdSendOfRefusedRequest(t *testing.T) {
	refused := statusResult(http.StatusServiceUnavailable, "Not-Run")
	r := newTestGate(t, snipetable.NonIdempotent, refused, refused, refused)
	r.gate.Tables.UpdateIfNewer(newTestTable(t, 2, snipetable.NonIdempotent, 1))
	seen := make(map[string]bool)
	for range 4 {
		if w := r.call(http.MethodPost, "/", ""); w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d", w.Code)
		}
	}
	for _, sent := range r.sender.sent {
		if seen[sent.Address] {
			t.Errorf("sent to %s again", sent.Address)
		}
		seen[sent.Address] = true
	}
	if len(seen) != 3 {
		t.Errorf("sent to %d targets, want each of the three", len(seen))
	}
}

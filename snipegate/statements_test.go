package snipegate

import (
	"net/http"
	"testing"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestLeavingInAnyResponse guards against a statement that a target leaves which is
// overlooked because of the kind of response that carries it, and against one of another
// target at the same address.
func TestLeavingInAnyResponse(t *testing.T) {
	streamed := statusResult(http.StatusOK, "Signed", "Leaving")
	streamed.resp.Stream, streamed.resp.Length = http.NoBody, -1
	broken := sendResult{err: &snipeconn.Error{
		MayHaveBegun: true, Cause: snipeconn.CauseConnectionLost, Err: http.ErrBodyReadAfterClose,
		Status: http.StatusOK, Header: http.Header{"Leaving": {"1"}},
	}}
	for name, tc := range map[string]struct {
		result  sendResult
		leaving bool
	}{
		"200":           {statusResult(http.StatusOK, "Signed", "Leaving"), true},
		"200, streamed": {streamed, true},
		"200, unsigned": {statusResult(http.StatusOK, "Leaving"), true},
		"200, broken":   {broken, true},
		"404":           {statusResult(http.StatusNotFound, "Signed", "Leaving"), true},
		"500":           {statusResult(http.StatusInternalServerError, "Signed", "Leaving"), true},
		"503":           {statusResult(http.StatusServiceUnavailable, "Not-Run", "Leaving"), true},
		"503, unsigned": {statusResult(http.StatusServiceUnavailable, "Leaving"), true},
		"not stated":    {statusResult(http.StatusOK, "Signed"), false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent, tc.result, successResult("x"))
			r.call(http.MethodPost, "/", "")
			stated := r.sender.sent[0].Address
			if left := r.fleet.View().Target("s", stated) == nil; left != tc.leaving {
				t.Errorf("taken to leave: %v, want %v", left, tc.leaving)
			}
		})
	}
	t.Run("of another target", func(t *testing.T) {
		r := newTestGate(t, snipetable.NonIdempotent, statusResult(http.StatusMisdirectedRequest, "Leaving"), successResult("x"))
		r.call(http.MethodPost, "/", "")
		if n := len(r.fleet.View().Targets("s")); n != 2 {
			t.Errorf("%d targets are in use, want the 2 that did not answer 421", n)
		}
	})
}

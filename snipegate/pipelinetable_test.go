package snipegate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetable"
)

// TestRequestKeepsTable guards against a pipelined request that is sent early by one table,
// as idempotent, and handled by a later one, in which it may not be.
func TestRequestKeepsTable(t *testing.T) {
	r := newTestGate(t, snipetable.Idempotent)
	first := r.gate.Tables.Current()
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Host = "h"
	q := &request{gate: r.gate, w: httptest.NewRecorder(), r: req, arrived: time.Now(), call: RequestHeaders{ID: "1"}, table: first}
	r.gate.Tables.UpdateIfNewer(newTestTable(t, 2, snipetable.NonIdempotent, 1))
	if !q.admit() || q.table != first || q.route.Kind != snipetable.Idempotent {
		t.Errorf("handled by version %d", q.table.Version())
	}
}

package snipegate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// ownIDKey is the context key of the ID of the target that accepted a connection.
type ownIDKey struct{}

// TestPredecessorAtAddress guards against a live target that is excluded for good: a
// request for it goes over a connection that the process before it at the address has
// accepted and still serves, and which answers that it is another target.
func TestPredecessorAtAddress(t *testing.T) {
	var accepting atomic.Value
	accepting.Store("old")
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Target") != r.Context().Value(ownIDKey{}) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Signed", "1")
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, ownIDKey{}, accepting.Load())
	}
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	const maxAttempts = 2
	r := newTestGateAt(t, snipetable.NonIdempotent, maxAttempts, address, "old")
	if w := r.callAs("1", http.MethodPost, "/", ""); w.Code != http.StatusOK {
		t.Fatalf("status %d from the first target", w.Code)
	}
	accepting.Store("new")
	now := r.gate.Clock.Now()
	r.fleet.RemoveTarget(now, "old")
	r.fleet.UpdateTarget(now, snipefleet.TargetReport{ID: "new", Service: "s", Address: address, Slots: 4, Born: 2})
	if w := r.callAs("2", http.MethodPost, "/", ""); w.Code != http.StatusOK {
		t.Errorf("status %d from the next target at the address", w.Code)
	}
	if r.fleet.View().Target("s", "new") == nil {
		t.Error("the next target at the address is excluded")
	}
}

package snipegate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestPromiseIsLogged guards against a refusal with the promise that a request has not
// run whose log line does not say on what the promise rests.
func TestPromiseIsLogged(t *testing.T) {
	refused, misaddressed := statusResult(http.StatusServiceUnavailable, "Not-Run"), statusResult(http.StatusMisdirectedRequest)
	notDialled := failureResult(snipeconn.CauseDial, false)
	for name, tc := range map[string]struct {
		results []sendResult
		reasons []string
		status  int
	}{
		"stated twice":             {[]sendResult{refused, refused}, []string{reasonStated, reasonStated}, 503},
		"not sent, then stated":    {[]sendResult{notDialled, refused}, []string{reasonNotSent, reasonStated}, 503},
		"misaddressed, then not":   {[]sendResult{misaddressed, notDialled}, []string{reasonMisaddressed, reasonNotSent}, 503},
		"no promise after it runs": {[]sendResult{refused, failureResult(snipeconn.CauseConnectionLost, true)}, nil, 502},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent, tc.results...)
			core, logs := observer.New(zap.InfoLevel)
			r.gate.Log = zap.New(core)
			if w := r.call(http.MethodPost, "/", ""); w.Code != tc.status {
				t.Fatalf("status %d, want %d", w.Code, tc.status)
			}
			logged, _ := logs.FilterMessage("request").All()[0].ContextMap()["notRun"].([]any)
			if len(logged) != len(tc.reasons) {
				t.Fatalf("logged %v, want %v", logged, tc.reasons)
			}
			for i, attempt := range logged {
				fields := attempt.(map[string]any)
				if fields["reason"] != tc.reasons[i] || fields["target"] != r.sender.sent[i].Address || fields["attempt"] != i+1 {
					t.Errorf("attempt %d to %s is logged as %v", i, r.sender.sent[i].Address, fields)
				}
			}
		})
	}
}

// TestRefusalIsTraceable guards against a logged refusal that cannot be joined with the log
// of the target: by the target that answered, the connection, its age and its requests.
func TestRefusalIsTraceable(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nId: 1\r\nResponder: other\r\nContent-Length: 0\r\n\r\n"
	var peers []string
	address := startTarget(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
		peers = append(peers, c.RemoteAddr().String())
		_, _ = io.WriteString(c, refusal)
	})
	r := newTestGateAt(t, 2, address, "d")
	core, logs := observer.New(zap.InfoLevel)
	r.gate.Log = zap.New(core)
	if w := r.call(http.MethodPost, "/", ""); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d", w.Code)
	}
	logged, _ := logs.FilterMessage("request").All()[0].ContextMap()["notRun"].([]any)
	if len(logged) != 1 {
		t.Fatalf("logged %v, want one attempt", logged)
	}
	fields := logged[0].(map[string]any)
	age, _ := fields["connectionAge"].(time.Duration)
	if fields["responder"] != "other" || fields["connection"] != peers[0] || fields["earlierRequests"] != 0 || age <= 0 || age > time.Minute {
		t.Errorf("logged %v, want the responder, and connection %s without earlier requests", fields, peers[0])
	}
	after, _ := fields["after"].(time.Duration)
	if fields["address"] != address || fields["named"] != true || after <= 0 || after > time.Minute {
		t.Errorf("logged %v, want address %s and a response that names the request", fields, address)
	}
}

// TestRefusalNamesRequest guards against a caller that cannot tell to which of its requests
// a refusal of the front belongs.
func TestRefusalNamesRequest(t *testing.T) {
	r := newTestGate(t, snipetable.NonIdempotent, failureResult(snipeconn.CauseDial, false), failureResult(snipeconn.CauseDial, false))
	w := r.callAs("7", http.MethodPost, "/", "")
	if got := w.Header().Get("Id"); w.Code != http.StatusServiceUnavailable || got != "7" {
		t.Errorf("status %d with ID %q, want 503 with that of the request", w.Code, got)
	}
}

// TestPromisesAreCounted guards against a promise that rests on nothing and that no metric
// shows.
func TestPromisesAreCounted(t *testing.T) {
	stated := notRunAttempt{reason: reasonStated}
	for name, tc := range map[string]struct {
		attempts notRunAttempts
		offered  int
		want     map[string]float64
	}{
		"not offered": {nil, 0, map[string]float64{promiseNotOffered: 1}},
		"stated":      {notRunAttempts{stated, stated}, 2, map[string]float64{reasonStated: 2}},
		"one unknown": {notRunAttempts{stated}, 2, map[string]float64{reasonStated: 1, promiseMissing: 1}},
	} {
		m := NewMetrics(prometheus.NewRegistry())
		m.countPromise(tc.attempts, tc.offered)
		for _, reason := range []string{promiseNotOffered, promiseMissing, reasonStated, reasonNotSent, reasonMisaddressed} {
			if got := testutil.ToFloat64(m.promises.WithLabelValues(reason)); got != tc.want[reason] {
				t.Errorf("%s: %s is %v, want %v", name, reason, got, tc.want[reason])
			}
		}
	}
}

package snipegate

import (
	"net/http"
	"testing"

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
				if fields["reason"] != tc.reasons[i] || fields["target"] != r.sender.sent[i].Address {
					t.Errorf("attempt %d to %s is logged as %v", i, r.sender.sent[i].Address, fields)
				}
			}
		})
	}
}

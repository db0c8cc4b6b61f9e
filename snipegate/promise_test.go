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
	"pgregory.net/rapid"

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
	r := newTestGateAt(t, snipetable.NonIdempotent, 2, address, "d")
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
	if fields["address"] != address || after <= 0 || after > time.Minute {
		t.Errorf("logged %v, want address %s", fields, address)
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

// TestPromisesAreCounted guards against promises that no metric shows.
func TestPromisesAreCounted(t *testing.T) {
	stated, notSent := &notRunAttempt{reason: reasonStated}, &notRunAttempt{reason: reasonNotSent}
	for name, tc := range map[string]struct {
		attempts attemptRecord
		want     map[string]float64
	}{
		"not offered":         {nil, map[string]float64{promiseNotOffered: 1}},
		"stated":              {attemptRecord{stated, stated}, map[string]float64{reasonStated: 2}},
		"not sent and stated": {attemptRecord{notSent, stated}, map[string]float64{reasonNotSent: 1, reasonStated: 1}},
	} {
		m := NewMetrics(prometheus.NewRegistry())
		m.countPromise(tc.attempts.promise())
		for _, reason := range []string{promiseNotOffered, reasonStated, reasonNotSent, reasonMisaddressed} {
			if got := testutil.ToFloat64(m.promises.WithLabelValues(reason)); got != tc.want[reason] {
				t.Errorf("%s: %s is %v, want %v", name, reason, got, tc.want[reason])
			}
		}
	}
}

// TestPromiseNeedsEvidenceForEachAttempt guards against a status that promises that a request
// has not run although nothing shows it of one attempt.
func TestPromiseNeedsEvidenceForEachAttempt(t *testing.T) {
	outcomes := []Outcome{
		OutcomeTargetRefused, OutcomeTargetFailed, OutcomeNoConfiguration, OutcomeNoRoute, OutcomeNoID, OutcomeStopping,
		OutcomeBodyTooLarge, OutcomeBodyBroken, OutcomeBodyTimeout, OutcomeNoMemory, OutcomeCallerGone, OutcomeTimeout,
		OutcomeUnreachable, OutcomeResponseLost, OutcomeMalformed, OutcomeTooLong, OutcomeTruncated, OutcomeUnsigned,
		OutcomeUnauthorized, OutcomeRouteDisabled, OutcomeTenantDisabled, OutcomeConfigurationStale, OutcomeOverQuota,
	}
	rapid.Check(t, func(rt *rapid.T) {
		var attempts attemptRecord
		unknown := false
		for _, known := range rapid.SliceOfN(rapid.Bool(), 0, 5).Draw(rt, "known") {
			attempts.begin()
			if known {
				attempts.settle(notRunAttempt{reason: reasonStated})
			}
			unknown = unknown || !known
		}
		o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
		if status := o.status(attempts.promise()); unknown && impliesNotRun(status) {
			rt.Fatalf("outcome %s has status %d although an attempt may have run", o, status)
		}
	})
}

// TestRefusalsThatShowNothing guards against a promise that rests on a response that does
// not show that the request has not run: one of another request, one that names none, or
// one that is no refusal.
func TestRefusalsThatShowNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		id     []string
	}{
		"503 of another request": {http.StatusServiceUnavailable, []string{"2"}},
		"503 without an ID":      {http.StatusServiceUnavailable, nil},
		"429 without an ID":      {http.StatusTooManyRequests, nil},
		"421 without an ID":      {http.StatusMisdirectedRequest, nil},
		"success":                {http.StatusOK, []string{"1"}},
	} {
		t.Run(name, func(t *testing.T) {
			result := statusResult(tc.status, "Not-Run")
			result.resp.Header["Id"] = tc.id
			r := newTestGate(t, snipetable.NonIdempotent, result, successResult("x"))
			if w := r.call(http.MethodPost, "/", ""); w.Code != http.StatusBadGateway || len(r.sender.sent) != 1 {
				t.Errorf("status %d after %d sends, want 502 after one", w.Code, len(r.sender.sent))
			}
		})
	}
}

// TestLateMisdirectedRefusal guards against a live target that is excluded for good, and a
// promise, by a late copy of its answer to a request for the target before it at its address:
// status 421, in which it names itself.
func TestLateMisdirectedRefusal(t *testing.T) {
	for _, kind := range []snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent} {
		result := statusResult(http.StatusMisdirectedRequest)
		result.resp.Header.Set("Responder", "a")
		r := newTestGate(t, kind, result)
		for _, id := range []string{"b", "c"} {
			r.fleet.RemoveTarget(r.gate.Clock.Now(), id)
		}
		if w := r.call(http.MethodPost, "/", ""); w.Code != http.StatusBadGateway {
			t.Errorf("%s: status %d, want 502", kind, w.Code)
		}
		if r.fleet.View().Target("s", "a") == nil {
			t.Errorf("%s: the target is excluded", kind)
		}
	}
}

// TestStatementsOfDoubtedRefusal guards against a target that counts as leaving because of a
// refusal that is not taken for one, since it does not name the request.
func TestStatementsOfDoubtedRefusal(t *testing.T) {
	for id, leaves := range map[string]bool{"": false, "2": false, "1": true} {
		result := statusResult(http.StatusServiceUnavailable, "Not-Run", "Leaving")
		result.resp.Header.Set("Id", id)
		r := newTestGate(t, snipetable.NonIdempotent, result, result)
		before := len(r.fleet.View().Targets("s"))
		r.call(http.MethodPost, "/", "")
		if got := len(r.fleet.View().Targets("s")) < before; got != leaves {
			t.Errorf("response to %q: a target counts as leaving: %v, want %v", id, got, leaves)
		}
	}
}

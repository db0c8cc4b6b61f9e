package snipegate

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipelog"
	"github.com/snipemoor/snipemoor/snipetrace"
)

// TestPromiseIsTraceable guards against log lines of refusals from which package snipetrace
// reads other attempts than the gate has made.
func TestPromiseIsTraceable(t *testing.T) {
	ended := time.Now()
	text := rapid.StringMatching(`[a-z0-9.:=" -]{0,12}`)
	response := rapid.Custom(func(t *rapid.T) *refusalResponse {
		return &refusalResponse{
			status: rapid.IntRange(400, 599).Draw(t, "status"), responder: text.Draw(t, "responder"),
			localAddr: rapid.StringMatching(`127\.0\.0\.1:[1-9][0-9]{0,4}`).Draw(t, "connection"), age: time.Second,
			earlier: rapid.IntRange(0, 99).Draw(t, "earlier"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		const took = time.Second
		var attempts attemptRecord
		var want []snipetrace.Attempt
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			a := notRunAttempt{
				target: rapid.StringMatching(`i-[0-9a-f]{4}`).Draw(t, "target"), address: "127.0.0.1:80", reason: reasonNotSent,
				after: time.Duration(rapid.Int64Range(0, int64(took)).Draw(t, "after")),
			}
			if rapid.Bool().Draw(t, "sent") {
				a.reason, a.response = reasonStated, response.Draw(t, "response")
			}
			attempts.begin()
			attempts.settle(a)
			want = append(want, wantAttempt(len(attempts), &a))
		}
		got := tracedAttempts(t, attempts, took)
		for i := range got {
			// The log states when the request ended, and so the times of attempts are not exact.
			if got[i].Ended.Before(ended.Add(-took)) {
				t.Errorf("attempt %d ended at %v", i+1, got[i].Ended)
			}
			got[i].Began, got[i].Ended = time.Time{}, time.Time{}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// wantAttempt returns what the log of an attempt has to tell.
func wantAttempt(number int, a *notRunAttempt) snipetrace.Attempt {
	want := snipetrace.Attempt{Front: "front-1", Number: number, Target: a.target, Address: a.address, Evidence: snipetrace.Evidence(a.reason)}
	if a.response != nil {
		want.Status, want.Responder = a.response.status, a.response.responder
		want.Connection, want.EarlierRequests = a.response.localAddr, a.response.earlier
	}
	return want
}

// tracedAttempts logs a refusal that rests on attempts, and returns those that package
// snipetrace reads from the line.
func tracedAttempts(t *rapid.T, attempts attemptRecord, took time.Duration) []snipetrace.Attempt {
	var out bytes.Buffer
	log, err := snipelog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	log.Info("request", zap.String("request", "r1"), zap.Int("status", 503), zap.Duration("took", took),
		zap.Int("attempts", len(attempts)), zap.Array("notRun", attempts), zap.Int("offered", len(attempts)))
	line := out.String()
	tracer := snipetrace.New(snipetrace.Settings{}, []snipetrace.Record{{Request: "r1", Target: "t1"}}, nil)
	if err := tracer.ReadLog("front-1", &out); err != nil {
		t.Fatal(err)
	}
	if v := tracer.Verdict("r1"); v.Hypothesis() != snipetrace.NotInLogs {
		return v.Attempts()
	}
	t.Fatalf("the line cannot be read: %s", line)
	return nil
}

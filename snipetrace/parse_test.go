package snipetrace

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipelog"
)

// TestParsePairs guards against pairs that are lost or changed on the way through the log.
func TestParsePairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.MapOf(rapid.StringMatching(`f[a-zA-Z]{0,8}`), rapid.String()).Draw(t, "fields")
		var out bytes.Buffer
		log, err := snipelog.New("info", &out)
		if err != nil {
			t.Fatal(err)
		}
		var fields []zap.Field
		for key, value := range want {
			fields = append(fields, zap.String(key, value))
		}
		log.Info("request", fields...)
		got, err := parsePairs(strings.TrimSuffix("front-1 "+out.String(), "\n"))
		if err != nil {
			t.Fatalf("%q: %v", out.String(), err)
		}
		for _, key := range []string{"time", "level", "event"} {
			delete(got, key)
		}
		if !maps.Equal(got, pairs(want)) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// TestRecords guards against records that are changed on the way through a file.
func TestRecords(t *testing.T) {
	text := rapid.StringMatching(`[a-zA-Z0-9@#: "=-]{1,12}`)
	record := rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Request: text.Draw(t, "request"), Target: text.Draw(t, "target"), Address: rapid.String().Draw(t, "address"),
			Peer: rapid.String().Draw(t, "peer"), At: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "at")).UTC(),
			Status: rapid.SampledFrom([]int{0, 421, 429, 503}).Draw(t, "status"),
		}
	})
	response := rapid.Custom(func(t *rapid.T) Response {
		return Response{Request: text.Draw(t, "request"), Status: rapid.IntRange(0, 599).Draw(t, "status"), Names: rapid.String().Draw(t, "names")}
	})
	rapid.Check(t, func(t *rapid.T) {
		records, responses := rapid.SliceOf(record).Draw(t, "records"), rapid.SliceOf(response).Draw(t, "responses")
		var file bytes.Buffer
		if err := WriteRecords(&file, records, responses); err != nil {
			t.Fatal(err)
		}
		gotRecords, gotResponses, err := ReadRecords(&file)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(gotRecords, records) || !slices.Equal(gotResponses, responses) {
			t.Fatalf("got %q and %q, want %q and %q", gotRecords, gotResponses, records, responses)
		}
	})
}

// TestUnreadableRecords guards against records that are silently left out or misread.
func TestUnreadableRecords(t *testing.T) {
	const good = "time=2026-12-06T08:00:00Z event=ran request=r1 target=t1\n\n"
	if records, _, err := ReadRecords(strings.NewReader(good)); err != nil || len(records) != 1 {
		t.Fatalf("got %d records, error %v", len(records), err)
	}
	for _, line := range []string{
		"event=ran request=r1 target=t1", "time=2026-12-06T08:00:00Z event=ran request=r1", "time=2026-12-06T08:00:00Z event=ran target=t1",
		"time=2026-12-06T08:00:00Z event=ran request=r1 target=t1 status=503", "time=2026-12-06T08:00:00Z event=refused request=r1 target=t1",
		"time=2026-12-06T08:00:00Z event=left request=r1 target=t1", "event=response request=r1", "event=response status=503", "r1 t1", `event="ran`,
	} {
		_, _, err := ReadRecords(strings.NewReader(good + line))
		if err == nil || !strings.Contains(err.Error(), "line 3") {
			t.Errorf("%s: got error %v, want one that names line 3", line, err)
		}
	}
}

// TestUnreadableLines guards against logs that cannot be read because of a line that a killed
// process left unfinished, or because of a panic in it.
func TestUnreadableLines(t *testing.T) {
	const line = `time=2026-12-06T08:00:00.01Z level=info event=request request=r1 outcome=targetRefused status=503 took=10ms attempts=1 target=t1`
	log := strings.Join([]string{
		`time=2026-12-06T08:00:00.01Z event=request request=r1 notRun="[map[att`, "panic: of another line", "goroutine 1 [running]:", "\tfile.go:12 +0x1=2 x",
		line + ` notRun=[map[attempt:x]]`, line + ` notRun=[map[attempt:0]]`, line + ` offered=1001`, line + " status=x",
		strings.Replace(line, "took=10ms", "took=10", 1), "event=request request=r1", line,
	}, "\n")
	tracer := New(Settings{}, []Record{{Request: "r1", Target: "t1"}}, nil)
	if err := tracer.ReadLog("front-1", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	const unreadable = 8
	if tracer.unreadable != unreadable || len(tracer.offers["r1"]) != 1 {
		t.Errorf("%d lines cannot be read and %d offers, want %d and 1", tracer.unreadable, len(tracer.offers["r1"]), unreadable)
	}
}

// FuzzReadLog guards against log lines that cause a panic or an endless loop.
func FuzzReadLog(f *testing.F) {
	const start = "time=2026-12-06T08:00:00.01Z level=info event="
	f.Add(start+`request request=r1 outcome=targetRefused status=503 took=1ms attempts=2 target=t1 notRun="[map[attempt:1 reason:notSent target:t1]]"`, "t1")
	f.Add(start+`request request=r1 status=503 notRun="[map[address:a after:1ms attempt:2 connection:c reason:stated responder:x y status:429 target:t1]]" offered=2`, "t2")
	f.Add(start+"retry request=r1 reason=answerLost target=t1\n"+start+"request request=r1 outcome=answered status=200 attempts=2", "t1")
	f.Add(`event="log lines dropped" count=3`, "")
	f.Fuzz(func(t *testing.T, log, target string) {
		at := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
		tracer := New(Settings{}, []Record{{Request: "r1", Target: target, At: at}}, []Response{{Request: "r1", Status: 503}})
		if err := tracer.ReadLog("front-1", strings.NewReader(log)); err != nil {
			t.Skip()
		}
		v := tracer.Verdict("r1")
		if v.Hypothesis() == "" || !strings.HasPrefix(v.String(), "request r1: ") {
			t.Errorf("verdict without hypothesis: %v", v)
		}
	})
}

package snipetrace_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/snipemoor/snipemoor/snipetrace"
)

// The golden lines have the form of the newest fronts, or that of older ones without address,
// after, offered and caller. The request arrives at 08:00:00.000.
const (
	timeOfEnd = "time=2026-12-06T08:00:00.01Z level=info "
	refusal   = timeOfEnd + `event=request request=r1 outcome=targetRefused status=503 took=10ms attempts=2 wait=2s route=w service=s target=t1 begun=false `
	newCopy   = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1] ` +
		`map[address:10.0.0.1:80 after:9ms attempt:2 connection:127.0.0.1:4002 connectionAge:2ms earlierRequests:0 reason:stated responder: status:503 target:t1]]" offered=2 caller=127.0.0.1:9`
	oldRetry = "time=2026-12-06T08:00:00.002Z level=info event=retry request=r1 reason=targetRefused target=t1 reusedConnection=true"
	oldCopy  = refusal + `notRun="[map[attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:429 target:t1] ` +
		`map[attempt:2 connection:127.0.0.1:4002 connectionAge:2ms earlierRequests:0 reason:stated responder: status:503 target:t1]]"`
	oldSame = refusal + `notRun="[map[attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:misaddressed responder:t2 status:421 target:t1] ` +
		`map[attempt:2 connection:127.0.0.1:4001 connectionAge:2ms earlierRequests:4 reason:misaddressed responder:t2 status:421 target:t2]]"`
	// oldest has the form without attempt, responder and age of the connection.
	oldest = refusal + `notRun="[map[connection:127.0.0.1:4001 reason:stated status:503 target:t1] ` +
		`map[connection:127.0.0.1:4001 reason:stated status:503 target:t1]]"`
	newSharedAddress = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1] ` +
		`map[address:10.0.0.1:80 after:9ms attempt:2 connection:127.0.0.1:4002 connectionAge:2ms earlierRequests:0 reason:stated responder: status:503 target:t2]]" offered=2 caller=127.0.0.1:9`
	newTwoTargets = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1] ` +
		`map[address:10.0.0.2:80 after:9ms attempt:2 connection:127.0.0.1:4001 connectionAge:2ms earlierRequests:0 reason:stated responder: status:503 target:t2]]" offered=2 caller=127.0.0.1:9`
	newGap = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1]]" offered=2 caller=127.0.0.1:9`
	oldGap = refusal + `notRun="[map[attempt:2 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1]]"`
	// unnamed has an answer that does not carry the identifier.
	unnamed     = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 named:false reason:stated responder: status:503 target:t1]]" offered=1 caller=127.0.0.1:9`
	newSingle   = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1]]" offered=1 caller=127.0.0.1:9`
	newNotSent  = refusal + `notRun="[map[address:10.0.0.1:80 after:2ms attempt:1 reason:notSent target:t1]]" offered=1 caller=127.0.0.1:9`
	oldNotSent  = timeOfEnd + `event=request request=r1 outcome=targetUnreachable status=503 took=10ms attempts=1 target=t1 notRun="[map[attempt:1 reason:notSent target:t1]]"`
	notOffered  = timeOfEnd + `event=request request=r1 outcome=targetsFull status=503 took=10ms attempts=0 notRun=[] offered=0 caller=127.0.0.1:9`
	answered    = `time=2026-12-06T08:00:00.05Z level=info event=request request=r1 outcome=answered status=200 took=10ms attempts=1 target=t6`
	answerLost  = `time=2026-12-06T08:00:00.05Z level=info event=request request=r1 outcome=answerLost status=502 took=10ms attempts=1 target=t1`
	secondRetry = "time=2026-12-06T08:00:00.009Z level=info event=retry request=r1 reason=targetRefused target=t1 reusedConnection=true"
	withdrawal  = "time=2026-12-06T08:00:00.04Z level=info event=retry request=r1 reason=targetLeft target=t1 reusedConnection=true"
	lostRetry   = "time=2026-12-06T08:00:00.042Z level=info event=retry request=r1 reason=answerLost target=t1 reusedConnection=true"
	otherLine   = timeOfEnd + "event=request request=r2 outcome=answered status=200 took=1ms attempts=1 target=t1"
	droppedLine = `event="log lines dropped" count=7`
	resent      = `time=2026-12-06T08:00:00.03Z level=info event=request request=r1 outcome=targetRefused status=503 took=10ms attempts=1 target=t1 ` +
		`notRun="[map[attempt:1 connection:127.0.0.1:4005 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1]]"`
	oldSingle = timeOfEnd + `event=request request=r1 outcome=targetRefused status=503 took=10ms attempts=1 target=t1 ` +
		`notRun="[map[attempt:1 connection:127.0.0.1:4001 connectionAge:1s earlierRequests:3 reason:stated responder: status:503 target:t1]]"`
)

// arrival is when the request arrives in the golden lines.
func arrival() time.Time { return time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC) }

// ran returns the record of a run at a time after the arrival.
func ran(target string, after time.Duration) snipetrace.Record {
	return snipetrace.Record{Request: "r1", Target: target, At: arrival().Add(after)}
}

// from returns the record with the other end of its connection.
func from(r snipetrace.Record, peer string) snipetrace.Record {
	r.Peer = peer
	return r
}

// at returns the record with the address of its target.
func at(r snipetrace.Record, address string) snipetrace.Record {
	r.Address = address
	return r
}

// refused returns the record of a refusal.
func refused(target string, after time.Duration) snipetrace.Record {
	r := ran(target, after)
	r.Status = 503
	return r
}

// TestVerdict guards against a verdict that names another hypothesis than the one that the
// logs and the records show, for lines of the newest and of older fronts.
func TestVerdict(t *testing.T) {
	const ms = time.Millisecond
	promised := []snipetrace.Response{{Request: "r1", Status: 503}}
	for name, c := range map[string]struct {
		log       []string
		records   []snipetrace.Record
		responses []snipetrace.Response
		want      snipetrace.Hypothesis
	}{
		"copy over another connection":        {[]string{newCopy}, []snipetrace.Record{ran("t1", 8*ms)}, promised, snipetrace.CopyOtherConnection},
		"copy over another, old form":         {[]string{oldRetry, oldCopy}, []snipetrace.Record{ran("t1", 8*ms)}, promised, snipetrace.CopyOtherConnection},
		"the same, retry line dropped":        {[]string{oldCopy}, []snipetrace.Record{ran("t1", 8*ms)}, promised, snipetrace.CopyOtherConnection},
		"the same, no record of the caller":   {[]string{newCopy}, []snipetrace.Record{ran("t1", 8*ms)}, nil, snipetrace.CopyOtherConnection},
		"the same, connection known":          {[]string{newCopy}, []snipetrace.Record{from(ran("t1", 8*ms), "127.0.0.1:4002")}, promised, snipetrace.CopyOtherConnection},
		"the same, clock of the target late":  {[]string{newCopy}, []snipetrace.Record{ran("t1", ms)}, promised, snipetrace.CopyOtherConnection},
		"the run is that of the first":        {[]string{newCopy}, []snipetrace.Record{from(ran("t1", ms), "127.0.0.1:4001")}, promised, snipetrace.NoneFits},
		"each refusal is the target's own":    {[]string{newCopy}, []snipetrace.Record{refused("t1", ms), refused("t1", 8*ms), ran("t1", 50*ms)}, promised, snipetrace.AnotherWay},
		"one refusal is the target's own":     {[]string{newCopy}, []snipetrace.Record{refused("t1", ms), ran("t1", 8*ms)}, promised, snipetrace.CopyOtherConnection},
		"two entries at one address":          {[]string{newSharedAddress}, []snipetrace.Record{ran("t2", 8*ms)}, promised, snipetrace.CopyOtherConnection},
		"address only in the records":         {[]string{oldSingle, resent}, []snipetrace.Record{at(ran("t9", 28*ms), "10.0.0.1:80"), at(refused("t1", ms), "10.0.0.1:80")}, promised, snipetrace.CopyOtherConnection},
		"sent again by the caller":            {[]string{oldSingle, resent}, []snipetrace.Record{ran("t1", 28*ms)}, promised, snipetrace.CopyOtherConnection},
		"copy over one connection, old form":  {[]string{oldSame}, []snipetrace.Record{ran("t2", 8*ms)}, promised, snipetrace.CopySameConnection},
		"the same, oldest form":               {[]string{oldRetry, oldest}, []snipetrace.Record{ran("t1", 8*ms)}, promised, snipetrace.CopySameConnection},
		"one port towards two addresses":      {[]string{newTwoTargets}, []snipetrace.Record{ran("t2", 8*ms)}, promised, snipetrace.NoneFits},
		"attempt without an entry":            {[]string{newGap}, []snipetrace.Record{ran("t1", 8*ms)}, promised, snipetrace.NoEvidence},
		"without an entry, old form":          {[]string{oldGap}, []snipetrace.Record{ran("t7", 8*ms)}, promised, snipetrace.NoEvidence},
		"response that names no request":      {[]string{unnamed}, []snipetrace.Record{ran("t1", 2*ms)}, promised, snipetrace.NoEvidence},
		"run after the only refusal":          {[]string{newSingle}, []snipetrace.Record{ran("t1", 60*ms)}, promised, snipetrace.AnotherWay},
		"run at the time of the only refusal": {[]string{newSingle}, []snipetrace.Record{ran("t1", 2*ms)}, promised, snipetrace.NoneFits},
		"not sent and ran":                    {[]string{newNotSent}, []snipetrace.Record{ran("t1", ms)}, promised, snipetrace.AnotherWay},
		"not sent and ran, old form":          {[]string{oldNotSent}, []snipetrace.Record{ran("t1", ms)}, promised, snipetrace.AnotherWay},
		"offered to no target":                {[]string{notOffered}, []snipetrace.Record{ran("t1", ms)}, promised, snipetrace.NoneFits},
		"target that no attempt names":        {[]string{newSingle}, []snipetrace.Record{ran("t8", ms)}, promised, snipetrace.NoneFits},
		"response to another request": {
			[]string{answered},
			[]snipetrace.Record{ran("t6", 45*ms)},
			[]snipetrace.Response{{Request: "r1", Status: 503, Names: "r2"}},
			snipetrace.CallerSide,
		},
		"refusal that no front has logged":           {[]string{answered}, []snipetrace.Record{ran("t6", 45*ms)}, promised, snipetrace.CallerSide},
		"the same beside dropped lines":              {[]string{answered, droppedLine}, []snipetrace.Record{ran("t6", 45*ms)}, promised, snipetrace.NotInLogs},
		"the same beside a line that cannot be read": {[]string{answered, "event=request request=r1"}, []snipetrace.Record{ran("t6", 45*ms)}, promised, snipetrace.NotInLogs},
		"no line": {[]string{otherLine}, []snipetrace.Record{ran("t1", ms)}, promised, snipetrace.NotInLogs},
		"no run":  {[]string{newCopy}, []snipetrace.Record{refused("t1", ms)}, promised, snipetrace.NoneFits},
		"run that is accounted for": {
			[]string{answerLost},
			[]snipetrace.Record{ran("t1", 45*ms)},
			[]snipetrace.Response{{Request: "r1", Status: 502}},
			snipetrace.NoneFits,
		},
		"twice: refused and run, then answered": {
			[]string{oldRetry, oldCopy, answered},
			[]snipetrace.Record{ran("t1", 8*ms), ran("t6", 45*ms)},
			[]snipetrace.Response{{Request: "r1", Status: 503}, {Request: "r1", Status: 200}},
			snipetrace.CopyOtherConnection,
		},
		"twice: refused, run, withdrawn and answered": {
			[]string{oldRetry, secondRetry, withdrawal, strings.Replace(answered, "attempts=1", "attempts=3", 1)},
			[]snipetrace.Record{ran("t1", 3*ms), ran("t6", 45*ms)},
			[]snipetrace.Response{{Request: "r1", Status: 200}},
			snipetrace.CopyOtherConnection,
		},
		"no target for a third attempt": {
			[]string{oldRetry, secondRetry, oldCopy},
			[]snipetrace.Record{ran("t1", 8*ms)},
			promised, snipetrace.CopyOtherConnection,
		},
		"twice: retried without evidence": {
			[]string{lostRetry, strings.Replace(answered, "attempts=1", "attempts=2", 1)},
			[]snipetrace.Record{ran("t1", 41*ms), ran("t6", 45*ms)},
			[]snipetrace.Response{{Request: "r1", Status: 200}},
			snipetrace.NoEvidence,
		},
		"front that ended without a line": {
			[]string{lostRetry},
			[]snipetrace.Record{ran("t1", 41*ms)},
			nil, snipetrace.NoneFits,
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := verdict(t, c.log, c.records, c.responses)
			if v.Hypothesis() != c.want {
				t.Errorf("got %s, want %s:\n%v", v.Hypothesis(), c.want, v)
			}
			if len(v.Reasons()) == 0 {
				t.Error("the verdict gives no reason")
			}
		})
	}
}

// verdict returns the verdict on request r1.
func verdict(t *testing.T, log []string, records []snipetrace.Record, responses []snipetrace.Response) *snipetrace.Verdict {
	t.Helper()
	tracer := snipetrace.New(snipetrace.Settings{}, records, responses)
	if err := tracer.ReadLog("front-1", strings.NewReader(strings.Join(log, "\n"))); err != nil {
		t.Fatal(err)
	}
	return tracer.Verdict("r1")
}

// TestRunsOfOneRequest guards against runs that are assigned to another attempt than that in
// whose time they fall.
func TestRunsOfOneRequest(t *testing.T) {
	const ms = time.Millisecond
	line := timeOfEnd + `event=request request=r1 outcome=targetRefused status=503 took=10ms attempts=4 target=t1 notRun="[`
	for i := range 4 {
		line += fmt.Sprintf(" map[address:a after:%dms attempt:%d connection:c%d earlierRequests:0 reason:stated responder: status:503 target:t1]", 2*i+2, i+1, i+1)
	}
	line = strings.Replace(line, "[ map", "[map", 1) + `]" offered=4`
	reasons := verdict(t, []string{line}, []snipetrace.Record{ran("t1", 3*ms), ran("t1", 5*ms), ran("t1", 7*ms)}, nil).Reasons()
	if len(reasons) != 3 {
		t.Fatalf("got reasons %q, want 3", reasons)
	}
	for i, reason := range reasons {
		if want := fmt.Sprintf("attempt %d of front-1 ran 1ms before", i+2); !strings.HasPrefix(reason, want) {
			t.Errorf("run %d: got %q, want %q", i+1, reason, want)
		}
	}
}

// TestVerdictText guards against a text that leaves out attempts, connections, statements or
// times.
func TestVerdictText(t *testing.T) {
	const ms = time.Millisecond
	records := []snipetrace.Record{at(refused("t1", ms), "10.0.0.1:80"), at(from(ran("t1", 8*ms), "127.0.0.1:4002"), "10.0.0.1:80")}
	responses := []snipetrace.Response{{Request: "r1", Status: 503, Names: "r1"}}
	g := goldie.New(t)
	g.Assert(t, "new-form", []byte(verdict(t, []string{newCopy}, records, responses).String()+"\n"))
	g.Assert(t, "oldest-form", []byte(verdict(t, []string{oldRetry, oldest}, records[1:], nil).String()+"\n"))
	g.Assert(t, "old-form", []byte(verdict(t, []string{oldRetry, oldCopy}, records, nil).String()+"\n"))
}

// TestRefusedAndRan guards against requests that are left out, or listed although they were
// answered or did not run.
func TestRefusedAndRan(t *testing.T) {
	log := strings.Join([]string{
		newCopy, strings.ReplaceAll(newCopy, "request=r1", "request=r3"), strings.ReplaceAll(newCopy, "request=r1", "request=r4"), otherLine,
	}, "\n")
	var records []snipetrace.Record
	for _, id := range []string{"r2", "r1", "r3"} {
		records = append(records, snipetrace.Record{Request: id, Target: "t1", At: arrival()})
	}
	for range 2 {
		records = append(records, snipetrace.Record{Request: "r5", Target: "t1", At: arrival()}, snipetrace.Record{Request: "r6", Target: "t1", At: arrival()})
	}
	records = append(records, snipetrace.Record{Request: "r4", Target: "t1", At: arrival(), Status: 503})
	responses := []snipetrace.Response{{Request: "r3", Status: 503}, {Request: "r3", Status: 200}, {Request: "r5", Status: 503}, {Request: "r5", Status: 200}, {Request: "r6", Status: 200}}
	tracer := snipetrace.New(snipetrace.Settings{}, records, responses)
	if err := tracer.ReadLog("front-1", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(tracer.RefusedAndRan(), " "); got != "r1 r5" {
		t.Errorf("got %q, want r1 and r5", got)
	}
}

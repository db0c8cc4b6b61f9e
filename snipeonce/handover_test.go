package snipeonce

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against requests that become unknown when the successor of their issuer
// stops too, and against not-run answers from a hand-over that was incomplete
// when the successor forwarded it.
func TestHandOn(t *testing.T) {
	second := snipetime.Instant(0).Add(time.Second)
	for _, complete := range []bool{true, false} {
		issuer, first, last := NewTable("a", Settings{}), NewTable("b", Settings{}), NewTable("c", Settings{})
		done := RequestID{Issuer: "a", Generator: "a", Sequence: 1}
		running := RequestID{Issuer: "a", Generator: "a", Sequence: 2}
		absent := RequestID{Issuer: "a", Generator: "a", Sequence: 3}
		for _, id := range []RequestID{done, running} {
			if d := issuer.Begin(id, 0, second, 1); d.Action != Started {
				t.Fatalf("Begin = %+v", d)
			}
		}
		issuer.Finish(done, Result{Outcome: OutcomeDone, Response: &Response{Status: 201}}, 0)
		handOver(t, issuer, first, complete)
		handOver(t, first, last, true)
		last.SetSuccessor("a", "b", 0)
		last.SetSuccessor("b", "c", 0)
		if d := last.Begin(done, second, second+1, 1); complete && (d.Action != Stored || d.Result.Response.Status != 201) {
			t.Errorf("finished request: %+v", d)
		}
		if d := last.Begin(running, second, second+1, 1); d.Result.Outcome != OutcomeUnknown {
			t.Errorf("running request: %+v", d)
		}
		want := map[bool]Outcome{true: OutcomeNotRun, false: OutcomeUnknown}[complete]
		if d := last.Begin(absent, second, second+1, 1); d.Action != Refused || d.Result.Outcome != want {
			t.Errorf("complete %v, absent request: %+v", complete, d)
		}
		other := NewTable("d", Settings{})
		other.SetSuccessor("a", "b", 0)
		other.SetSuccessor("b", "c", 0)
		if d := other.Begin(absent, second, second+1, 1); d.Action != RelayTo || d.Incarnation != "c" {
			t.Errorf("another instance: %+v, want a relay to the last successor", d)
		}
	}
}

// handOver closes a table and imports its export into another one, without the
// first message unless complete is set.
func handOver(t *testing.T, from, to *Table, complete bool) {
	t.Helper()
	from.Close(0)
	messages := from.Export(0, recordOverhead)
	if !complete {
		messages = messages[1:]
	}
	for _, h := range messages {
		if !to.Import(h, 0) {
			t.Fatalf("Import rejects %+v", h)
		}
	}
	if from.Import(Handover{Incarnation: "z"}, 0) {
		t.Error("a closed table imports records that it will not export")
	}
}

// Guards against data races, against a request that starts twice, and against a
// request that was answered not-run and starts, when all methods are called
// concurrently.
func TestConcurrentTable(t *testing.T) {
	const ids, callers = 200, 6
	table, other := NewTable("a", Settings{}), NewTable("b", Settings{})
	var started, refused [ids]atomic.Int32
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range ids {
				id := RequestID{Issuer: "a", Generator: "a", Sequence: uint64(n)}
				now := snipetime.Instant(0).Add(time.Duration(n) * time.Millisecond)
				beginAndEnd(t, table, id, now, Waiter(caller), &started[n], &refused[n])
				table.Tick(now)
				table.Len()
				other.SetSuccessor("a", "c", now)
				other.Tick(now)
				if n == ids/2 {
					table.Close(now)
				}
				for _, h := range append(table.Export(now, 8*recordOverhead), table.Updates(now)) {
					other.Import(h, now)
				}
				other.Begin(id, now, now+1, 1)
			}
		})
	}
	wg.Wait()
	for n := range ids {
		if started[n].Load() > 1 || started[n].Load() > 0 && refused[n].Load() > 0 {
			t.Errorf("request %d: %d starts, %d answers not-run", n, started[n].Load(), refused[n].Load())
		}
	}
}

// beginAndEnd begins a request and ends it or leaves it; some requests are
// revoked first. It counts starts and not-run answers.
func beginAndEnd(t *testing.T, table *Table, id RequestID, now snipetime.Instant, w Waiter, started, refused *atomic.Int32) {
	if w == 0 && id.Sequence%3 == 0 {
		if table.Revoke(id, now).State == NeverStarted {
			refused.Add(1)
		}
	}
	switch d := table.Begin(id, now, now.Add(time.Second), w); d.Action {
	case Started:
		started.Add(1)
		table.Finish(id, Result{Outcome: OutcomeDone}, now)
	case Joined:
		table.Leave(id, w)
	case Refused:
		if d.Result.Outcome == OutcomeNotRun {
			refused.Add(1)
		}
	case Stored:
	default:
		t.Errorf("Begin of an own request = %+v", d)
	}
}

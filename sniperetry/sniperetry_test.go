package sniperetry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetime"
)

const second = snipetime.Instant(time.Second)

func ExamplePolicy() {
	p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(1, 2)), 0)
	d := p.Decide(second, sniperetry.RequestState{
		Class:    sniperetry.Once,
		Failure:  sniperetry.ConnectionLost,
		Attempts: 1,
		Record:   sniperetry.AttemptRecord{sniperetry.ConnectionLost},
		Deadline: 3 * second,
	})
	fmt.Println(d.Action == sniperetry.GiveUp, d.Reason, d.Outcome)
	// Output: true connectionLost unknown
}

// TestAllTargetsFail guards against a retry storm: when every target fails, attempts
// must stay below 1.2 times the number of requests, at low and at high rates.
func TestAllTargetsFail(t *testing.T) {
	for _, perSecond := range []int{20, 200, 2000} {
		p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(7, 7)), 0)
		requests, attempts := 0, 0
		for i := range 20 * perSecond {
			now := snipetime.Instant(i) * second / snipetime.Instant(perSecond)
			requests++
			attempts++
			p.FirstAttempt(now)
			e := sniperetry.RequestState{Class: sniperetry.Safe, Failure: sniperetry.DialFailed, Attempts: 1, Deadline: now + 10*second}
			for p.Decide(now, e).Action == sniperetry.Retry {
				attempts++
				e.Attempts++
			}
		}
		if float64(attempts) >= 1.2*float64(requests) {
			t.Errorf("%d/s: %d attempts for %d requests", perSecond, attempts, requests)
		}
		if attempts == requests {
			t.Errorf("%d/s: no retry at all", perSecond)
		}
	}
}

// TestDecideProperties guards against a second execution of a Once request, the
// outcome not-run for a request that may have begun, also if nothing is known of one of its
// attempts, unknown for one of which each attempt shows that it has not begun, a retry after
// the deadline, and a hedge of a request that is not Safe.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), 0)
		for range 100 {
			p.FirstAttempt(0)
			p.Observe(0, time.Millisecond)
		}
		e := sniperetry.RequestState{
			Class:      rapid.SampledFrom([]sniperetry.Class{sniperetry.Safe, sniperetry.Idempotent, sniperetry.Once, ""}).Draw(t, "class"),
			Failure:    drawState.Draw(t, "failure"),
			Attempts:   rapid.IntRange(1, 5).Draw(t, "attempts"),
			Record:     rapid.SliceOfN(drawState, 0, 6).Draw(t, "record"),
			Elapsed:    time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "elapsed")),
			Deadline:   snipetime.Instant(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "deadline")),
			RetryAfter: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "after")),
		}
		now := snipetime.Instant(rapid.Int64Range(0, int64(time.Second)).Draw(t, "now"))
		d := p.Decide(now, e)
		mayHaveBegun := !notBegun(e.Failure) || len(e.Record) < e.Attempts
		for _, state := range e.Record {
			mayHaveBegun = mayHaveBegun || !notBegun(state)
		}
		retryable := e.Class == sniperetry.Safe || e.Class == sniperetry.Idempotent
		if d.Action == sniperetry.Retry && !now.Add(d.Delay).Before(e.Deadline) {
			t.Fatalf("retry after the deadline: %+v", d)
		}
		if d.Action == sniperetry.Retry && !retryable && mayHaveBegun {
			t.Fatalf("retry of a request that may have begun: %+v", d)
		}
		if d.Action == sniperetry.Hedge && (e.Class != sniperetry.Safe || !now.Before(e.Deadline)) {
			t.Fatalf("hedge of class %q, or after the deadline", e.Class)
		}
		if d.Outcome == sniperetry.NotRun && mayHaveBegun {
			t.Fatalf("not-run for a request that may have begun: %+v", d)
		}
		if d.Action == sniperetry.GiveUp && d.Outcome != sniperetry.NotRun && !mayHaveBegun {
			t.Fatalf("unknown for a request that has not begun: %+v", d)
		}
	})
}

// drawState draws any state of an attempt.
var drawState = rapid.Custom(func(t *rapid.T) sniperetry.AttemptState {
	return sniperetry.AttemptState(rapid.IntRange(0, int(sniperetry.CallerGone)).Draw(t, "state"))
})

// notBegun reports whether a state shows that no target has begun the attempt.
func notBegun(s sniperetry.AttemptState) bool {
	switch s {
	case sniperetry.DialFailed, sniperetry.TargetShed, sniperetry.NoSlot, sniperetry.RelayRefused:
		return true
	default:
		return false
	}
}

// TestMissingAttempt guards against a second execution of a Once request, and against the
// outcome not-run, when the state of an earlier attempt was not recorded.
func TestMissingAttempt(t *testing.T) {
	p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(1, 2)), 0)
	for range 100 {
		p.FirstAttempt(0)
	}
	for _, deadline := range []snipetime.Instant{0, second} {
		e := sniperetry.RequestState{Class: sniperetry.Once, Failure: sniperetry.NoSlot, Attempts: 2, Deadline: deadline}
		if d := p.Decide(0, e); d.Action != sniperetry.GiveUp || d.Outcome != sniperetry.Unknown {
			t.Errorf("deadline %v: %+v, want that it gives up with an unknown outcome", deadline, d)
		}
	}
}

// TestAttemptRecord guards against the outcome not-run for a request with an attempt that
// is still running, was not ended, or has ended in a state that does not show that it has
// not begun, in any order of the ends.
func TestAttemptRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var record sniperetry.AttemptRecord
		var running []int
		shown := 0
		for range rapid.IntRange(0, 8).Draw(t, "steps") {
			if len(running) == 0 || rapid.Bool().Draw(t, "begin") {
				running = append(running, record.Begin())
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
			state := drawState.Draw(t, "end")
			record.End(running[i], state)
			running = append(running[:i], running[i+1:]...)
			if notBegun(state) {
				shown++
			}
		}
		if got := record.Outcome() == sniperetry.NotRun; got != (shown == len(record)) {
			t.Fatalf("outcome %s of %v", record.Outcome(), record)
		}
	})
}

// TestBudgetAndHedge guards against a budget that allows more retries than its ratio,
// and against a hedge before the 95th percentile of the latency.
func TestBudgetAndHedge(t *testing.T) {
	b := sniperetry.NewBudget(sniperetry.BudgetSettings{MinimumPerSecond: 0.001}, 0)
	spent := 0
	for range 1000 {
		b.FirstAttempt(0)
		if b.Spend(0) {
			spent++
		}
	}
	if spent > 100 || spent < 95 {
		t.Errorf("%d tokens spent after 1000 first attempts, want about 100 (ratio 0.1)", spent)
	}
	p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(1, 1)), 0)
	for i := range 200 {
		p.FirstAttempt(0)
		p.Observe(0, time.Duration(i+1)*time.Millisecond)
	}
	delay, ok := p.HedgeDelay(sniperetry.Safe)
	if !ok || delay < 170*time.Millisecond || delay > 200*time.Millisecond {
		t.Fatalf("hedge delay %v, want about 190ms", delay)
	}
	e := sniperetry.RequestState{Class: sniperetry.Safe, Attempts: 1, Deadline: second, Elapsed: delay - 1}
	if d := p.Decide(0, e); d.Action != sniperetry.Wait || d.Delay != 1 {
		t.Errorf("before the delay: %+v", d)
	}
	e.Elapsed = delay
	if d := p.Decide(0, e); d.Action != sniperetry.Hedge {
		t.Errorf("after the delay: %+v", d)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := sniperetry.NewPolicy(sniperetry.Settings{}, rand.New(rand.NewPCG(1, 1)), 0)
	e := sniperetry.RequestState{Class: sniperetry.Safe, Failure: sniperetry.DialFailed, Attempts: 1, Deadline: 1 << 62}
	b.ReportAllocs()
	for b.Loop() {
		p.FirstAttempt(0)
		p.Decide(0, e)
	}
}

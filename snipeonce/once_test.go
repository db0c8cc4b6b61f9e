package snipeonce

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against a second start of one request, both while it is running and
// after it has ended.
func TestStartOnce(t *testing.T) {
	table := NewTable("a", Settings{})
	id := NewIDGenerator("a").Issue(0)
	deadline := snipetime.Instant(0).Add(time.Second)
	if d := table.Begin(id, 0, deadline, 1); d.Action != Started {
		t.Fatalf("first Begin = %+v", d)
	}
	if d := table.Begin(id, 1, deadline, 2); d.Action != Joined {
		t.Fatalf("second Begin = %+v", d)
	}
	w := table.Finish(id, Result{Outcome: OutcomeDone, Response: &Response{Status: 201}}, 2)
	if len(w) != 1 || w[0] != 2 {
		t.Errorf("waiters = %v, want [2]", w)
	}
	if d := table.Begin(id, 3, deadline, 3); d.Action != Stored || d.Result.Response.Status != 201 {
		t.Errorf("third Begin = %+v", d)
	}
}

// Guards against two accepted spellings of one identifier and against a panic on
// identifiers that callers send.
func FuzzParseRequestID(f *testing.F) {
	for _, s := range []string{"a-b-1-2.3", "a-b-01-2.3", "a-b-1-2", "a--1-2.3", "a-b-1-2-3.4", "a-b-1-+2.3", ".", "a-b-1-4398046511105.0"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseRequestID(s)
		if err == nil && id.String() != s {
			t.Errorf("%q parsed as %q", s, id)
		}
	})
}

// Guards against a parser that accepts a malformed identifier or rejects one in
// the form that an IDGenerator generates.
func TestParseRequestID(t *testing.T) {
	for s, valid := range map[string]bool{
		"a-b-1-2.3": true, "a-b-1-2": false, "a-b-01-2.3": false, "-b-1-2.3": false, "a-b-c-1-2.3": false, "a-b-1-2.-3": false,
	} {
		if _, err := ParseRequestID(s); (err == nil) != valid {
			t.Errorf("%q: error %v, want valid %v", s, err, valid)
		}
	}
}

func ExampleTable() {
	minter := NewIDGenerator("68a1b2c300000001")
	table := NewTable("68a1b2c300000001", Settings{})
	id := minter.Issue(0)
	deadline := snipetime.Instant(0).Add(5 * time.Second)
	fmt.Println(table.Begin(id, 0, deadline, 1).Action == Started)
	table.Finish(id, Result{Outcome: OutcomeDone, Response: &Response{Status: 201}}, 0)
	repeat := table.Begin(id, 0, deadline, 2)
	fmt.Println(repeat.Action == Stored, repeat.Result.Outcome, repeat.Result.Response.Status)
	// Output:
	// true
	// true done 201
}

func BenchmarkBeginFinish(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable("a", Settings{MaxBytes: 1 << 40})
			id := RequestID{Issuer: "a", Generator: "a"}
			now := snipetime.Instant(0)
			begin := func() {
				id.Counter++
				id.IssuedAt = Millis(now)
				table.Begin(id, now, now.Add(time.Second), 1)
				table.Finish(id, Result{Outcome: OutcomeDone}, now)
			}
			for range n {
				begin()
			}
			// Each iteration adds one record and lets one expire.
			step := 90 * time.Second / time.Duration(n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				begin()
				table.Tick(now)
			}
		})
	}
}

package snipeonce

import (
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against a second start of one identifier, before and after its end.
func TestStartOnce(t *testing.T) {
	table := NewTable("a", Settings{})
	id := NewMinter("a").Issue(0)
	deadline := snipetime.Instant(0).Add(time.Second)
	if d := table.Begin(id, 0, deadline, 1); d.Kind != Start {
		t.Fatalf("first Begin = %+v", d)
	}
	if d := table.Begin(id, 1, deadline, 2); d.Kind != Join {
		t.Fatalf("second Begin = %+v", d)
	}
	w := table.Finish(id, Result{Outcome: OutcomeDone, Answer: &Answer{Status: 201}}, 2)
	if len(w) != 1 || w[0] != 2 {
		t.Errorf("waiters = %v, want [2]", w)
	}
	if d := table.Begin(id, 3, deadline, 3); d.Kind != Stored || d.Result.Answer.Status != 201 {
		t.Errorf("third Begin = %+v", d)
	}
}

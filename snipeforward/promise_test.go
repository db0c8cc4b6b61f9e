package snipeforward

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/snipemoor/snipemoor/snipetarget"
)

// failingAttempter fails each attempt with an error.
type failingAttempter struct{ err error }

// Attempt implements Attempter.
func (a failingAttempter) Attempt(context.Context, snipetarget.Request) (*snipetarget.Response, error) {
	return nil, a.err
}

// TestFailuresThatShowNothing guards against the outcome not-run after a failure that does
// not show that the target has not begun the request: its error does not say so, whatever
// its cause, or says the contrary. It also guards against unknown after one that does.
func TestFailuresThatShowNothing(t *testing.T) {
	const maybe, not = snipetarget.MaybeBegun, snipetarget.NotBegun
	for name, tc := range map[string]struct {
		err  error
		want string
	}{
		"error of another type":       {errors.New("failed"), outcomeUnknown},
		"error that states nothing":   {&snipetarget.Error{}, outcomeUnknown},
		"dial that states nothing":    {&snipetarget.Error{Cause: snipetarget.CauseDial}, outcomeUnknown},
		"refusal that states nothing": {&snipetarget.Error{Cause: snipetarget.CauseShed}, outcomeUnknown},
		"refusal of a begun request":  {&snipetarget.Error{Cause: snipetarget.CauseShed, Execution: maybe}, outcomeUnknown},
		"lost connection":             {&snipetarget.Error{Cause: snipetarget.CauseConnectionLost, Execution: maybe}, outcomeUnknown},
		"failed dial":                 {&snipetarget.Error{Cause: snipetarget.CauseDial, Execution: not}, outcomeNotRun},
		"refusal":                     {&snipetarget.Error{Cause: snipetarget.CauseShed, Execution: not}, outcomeNotRun},
	} {
		for _, plan := range [][]Place{localPlan, relayPlan} {
			t.Run(name+"/"+plan[0].Name, func(t *testing.T) {
				a, b := newFleet(t, plan, "127.0.0.1:1")
				a.forwarder.deps.Targets, b.forwarder.deps.Targets = failingAttempter{tc.err}, failingAttempter{tc.err}
				resp, err := a.send(t.Context(), http.MethodPost, "once/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				if got := resp.Header.Get(headerOutcome); got != tc.want {
					t.Errorf("outcome %s, want %s", got, tc.want)
				}
			})
		}
	}
}

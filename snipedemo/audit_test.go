package snipedemo

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/examples"
	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// exampleService returns a service of the example deployment society.
func exampleService(t *testing.T, name string) *snipeconfig.Service {
	t.Helper()
	d, err := readDeployment(examples.Files(), "society")
	if err != nil {
		t.Fatal(err)
	}
	service, ok := d.config.Service("society", name)
	if !ok {
		t.Fatalf("no service %s", name)
	}
	return service
}

// executed returns an execution that began at the given time and ran for 10 ms.
func executed(id, key, place string, started time.Duration) execution {
	at := snipetime.Instant(0).Add(started)
	return execution{Execution: snipestandin.Execution{
		RequestID: id, Key: key, Target: "127.0.0.1:1", Started: at, Finished: at.Add(10 * time.Millisecond),
	}, place: place}
}

// Guards against checks that miss a violation or report one that did not happen:
// each case must give exactly the findings in want.
func TestAudit(t *testing.T) {
	once := exampleService(t, "bookdesk")
	stop := time.Unix(100, 0)
	result := func(id string, outcome snipeload.Outcome) callerResult {
		return callerResult{id: id, service: once, homePlace: "tcr-ollur", outcome: outcome, at: stop}
	}
	burst := func(n int, place string, gap time.Duration) (results []callerResult, runs []execution) {
		for i := range n {
			id := "burst." + strings.Repeat("i", i)
			results = append(results, result(id, snipeload.Done))
			runs = append(runs, executed(id, "", place, time.Duration(i)*gap))
		}
		return results, runs
	}
	overResults, overRuns := burst(201, "tcr-kunnam", time.Millisecond)
	homeResults, homeRuns := burst(201, "tcr-ollur", time.Millisecond)
	slowResults, slowRuns := burst(201, "tcr-kunnam", 6*time.Millisecond)
	cut := result("a.1", snipeload.Done)
	cut.lostConnections = 1
	for _, c := range []struct {
		name      string
		resultLog *resultLog
		runs      []execution
		want      []string
	}{
		{"nothing wrong", &resultLog{results: []callerResult{result("a.1", snipeload.Done), result("a.2", snipeload.NotRun)}, keys: []string{"k"}}, []execution{executed("a.1", "k", "tcr-ollur", 0)}, nil},
		{"over the cap", &resultLog{results: overResults}, overRuns, []string{"seconds over the cap of a shift in requests"}},
		{"at home no cap applies", &resultLog{results: homeResults}, homeRuns, nil},
		{"under the cap", &resultLog{results: slowResults}, slowRuns, nil},
		{"wrong answer", &resultLog{wrong: []wrongResponse{{"a.1", "x"}}}, nil, []string{"truncated or wrong answers"}},
		{"ran after not-run", &resultLog{results: []callerResult{result("a.1", snipeload.NotRun)}}, []execution{executed("a.1", "", "tcr-ollur", 0)}, []string{"requests that ran after the answer not-run"}},
		{"ran twice", &resultLog{results: []callerResult{result("a.1", snipeload.Unknown)}}, []execution{executed("a.1", "", "tcr-ollur", 0), executed("a.1", "", "tcr-ollur", 1)}, []string{"requests of class once that ran more than once"}},
		{"key ran twice", &resultLog{results: []callerResult{result("a.1", snipeload.Done), result("a.2", snipeload.Done)}, keys: []string{"k"}}, []execution{executed("a.1", "k", "tcr-ollur", 0), executed("a.2", "k", "tcr-ollur", 1)}, []string{"idempotency keys that ran more than once"}},
		{"drained too late", &resultLog{}, []execution{executed("a.1", "", "tcr-ollur", inForceLimit+1)}, []string{"requests begun at the drained target after 3 s"}},
		{"cut", &resultLog{results: []callerResult{cut}}, nil, []string{"requests cut since the stop began"}},
	} {
		a := newAudit(c.resultLog, map[*snipeconfig.Service][]execution{once: c.runs})
		findings := append(a.checkShiftCaps(), a.checkResponses()...)
		findings = append(findings, a.checkNotRun(a.executionCounts())...)
		findings = append(findings, a.checkOnce(a.executionCounts())...)
		late, _, _ := checkDrain(c.runs, "127.0.0.1:1", 0)
		during, _ := a.checkLostConnections(stop)
		var got []string
		for _, f := range append(findings, late, during) {
			if f.Count > 0 {
				got = append(got, f.Name)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: findings %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against bursts over a cap that are missed, for example because they cross
// the boundary of a window: the result must agree with the sums over every window
// of one second that begins at an event.
func TestSecondsOverCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(1, 10).Draw(t, "limit"))
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(t, "gaps")
		var at []snipetime.Instant
		var weight []float64
		now := snipetime.Instant(0)
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			at = append(at, now)
			weight = append(weight, 1)
		}
		exceeded := false
		for i := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j].Sub(at[i]) < time.Second; j++ {
				sum += weight[j]
			}
			exceeded = exceeded || sum > limit
		}
		if got := secondsOverCap(at, weight, limit) > 0; got != exceeded {
			t.Fatalf("overCap reports %t, want %t", got, exceeded)
		}
	})
}

// Guards against a check that accepts truncated responses or responses to other
// requests.
func TestCheckResponse(t *testing.T) {
	const right = `{"requestId":"p.1","key":"","path":"/a?b","bodyBytes":3,"bodyDigest":"4952883123889572249"}`
	for name, c := range map[string]struct {
		body  string
		valid bool
	}{
		"right":           {right, true},
		"another request": {strings.Replace(right, "p.1", "p.2", 1), false},
		"another path":    {strings.Replace(right, "/a?b", "/a?c", 1), false},
		"another key":     {strings.Replace(right, `"key":""`, `"key":"x"`, 1), false},
		"another body":    {strings.Replace(right, "4952", "4953", 1), false},
		"truncated":       {right[:len(right)-1], false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Snipemoor-Outcome", "done")
			if r.URL.Path == "/v1/entries" {
				_, _ = w.Write([]byte(`{"entries":[{"address":"` + r.Host + `"}],"ttlSeconds":5,"requestIdPrefix":"p"}`))
				return
			}
			_, _ = w.Write([]byte(c.body))
		}))
		caller, err := snipeload.NewCaller(snipeload.CallerConfig{
			Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Team: "t", Service: "s",
		})
		if err != nil {
			t.Fatal(err)
		}
		request := snipeload.Request{Method: http.MethodPost, Path: "/a?b", Body: []byte("abc")}
		err = checkResponse(request, caller.Do(t.Context(), request), int64(len(right)))
		if (err == nil) != c.valid {
			t.Errorf("%s: error %v", name, err)
		}
		caller.Close()
		server.Close()
	}
}

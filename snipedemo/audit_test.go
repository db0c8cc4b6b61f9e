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

// exampleService returns a service of the example society.
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

func ran(id, key, place string, started time.Duration) execution {
	at := snipetime.Instant(0).Add(started)
	return execution{Execution: snipestandin.Execution{
		RequestID: id, Key: key, Target: "127.0.0.1:1", Started: at, Finished: at.Add(10 * time.Millisecond),
	}, place: place}
}

// Guards against checks that overlook a broken guarantee, or report one that
// held: each case has exactly the findings that are named.
func TestAudit(t *testing.T) {
	once := exampleService(t, "bookdesk")
	stop := time.Unix(100, 0)
	sent := func(id string, outcome snipeload.Outcome) told {
		return told{id: id, service: once, home: "tcr-ollur", outcome: outcome, at: stop}
	}
	burst := func(n int, place string, gap time.Duration) (tell []told, runs []execution) {
		for i := range n {
			id := "burst." + strings.Repeat("i", i)
			tell = append(tell, sent(id, snipeload.Done))
			runs = append(runs, ran(id, "", place, time.Duration(i)*gap))
		}
		return tell, runs
	}
	overTold, overRuns := burst(201, "tcr-kunnam", time.Millisecond)
	homeTold, homeRuns := burst(201, "tcr-ollur", time.Millisecond)
	slowTold, slowRuns := burst(201, "tcr-kunnam", 6*time.Millisecond)
	cut := sent("a.1", snipeload.Done)
	cut.cuts = 1
	for _, c := range []struct {
		name   string
		ledger *ledger
		runs   []execution
		want   []string
	}{
		{"nothing wrong", &ledger{told: []told{sent("a.1", snipeload.Done), sent("a.2", snipeload.NotRun)}, keys: []string{"k"}}, []execution{ran("a.1", "k", "tcr-ollur", 0)}, nil},
		{"over the cap", &ledger{told: overTold}, overRuns, []string{"seconds over the cap of a shift in requests"}},
		{"at home no cap applies", &ledger{told: homeTold}, homeRuns, nil},
		{"under the cap", &ledger{told: slowTold}, slowRuns, nil},
		{"wrong answer", &ledger{wrong: []wrongAnswer{{"a.1", "x"}}}, nil, []string{"truncated or wrong answers"}},
		{"ran after not-run", &ledger{told: []told{sent("a.1", snipeload.NotRun)}}, []execution{ran("a.1", "", "tcr-ollur", 0)}, []string{"requests that ran after the answer not-run"}},
		{"ran twice", &ledger{told: []told{sent("a.1", snipeload.Unknown)}}, []execution{ran("a.1", "", "tcr-ollur", 0), ran("a.1", "", "tcr-ollur", 1)}, []string{"requests of class once that ran more than once"}},
		{"key ran twice", &ledger{told: []told{sent("a.1", snipeload.Done), sent("a.2", snipeload.Done)}, keys: []string{"k"}}, []execution{ran("a.1", "k", "tcr-ollur", 0), ran("a.2", "k", "tcr-ollur", 1)}, []string{"idempotency keys that ran more than once"}},
		{"drained too late", &ledger{}, []execution{ran("a.1", "", "tcr-ollur", inForceLimit+1)}, []string{"requests begun at the drained target after 3 s"}},
		{"cut", &ledger{told: []told{cut}}, nil, []string{"requests cut since the stop began"}},
	} {
		a := newAudit(c.ledger, map[*snipeconfig.Service][]execution{once: c.runs})
		findings := append(a.shifts(), a.answers()...)
		findings = append(findings, a.notRun(a.runs())...)
		findings = append(findings, a.once(a.runs())...)
		late, _, _ := drained(c.runs, "127.0.0.1:1", 0)
		during, _ := a.cuts(stop)
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

// Guards against bursts over a cap that go unnoticed, by comparison with a sum
// over every window of one second.
func TestOverCap(t *testing.T) {
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
		if got := overCap(at, weight, limit) > 0; got != exceeded {
			t.Fatalf("overCap reports %t, want %t", got, exceeded)
		}
	})
}

// Guards against responses of other requests, and truncated ones, that pass as
// the right ones.
func TestCheckAnswer(t *testing.T) {
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
		err = checkAnswer(request, caller.Do(t.Context(), request), int64(len(right)))
		if (err == nil) != c.valid {
			t.Errorf("%s: error %v", name, err)
		}
		caller.Close()
		server.Close()
	}
}

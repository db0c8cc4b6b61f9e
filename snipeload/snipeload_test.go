package snipeload_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipeload"
)

// entryServer returns a server that responds to look-ups with the given addresses
// and handles calls with call.
func entryServer(t *testing.T, addresses func() []string, call http.HandlerFunc) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		var entries []string
		for _, a := range addresses() {
			entries = append(entries, fmt.Sprintf(`{"address":%q,"place":"p"}`, a))
		}
		_, _ = fmt.Fprintf(w, `{"entries":[%s],"ttlSeconds":5,"generation":1,"requestIdPrefix":"i-m-1-0"}`, strings.Join(entries, ","))
	})
	mux.HandleFunc("/call/", call)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

// Guards against a caller that changes the request identifier when it sends a
// request again: entry instances would then run a request of class once twice.
func TestCallerKeepsIdentifierOnNextEntry(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	var addresses []string
	answer := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ids = append(ids, r.Header.Get("Snipemoor-Request-Id"))
		first := len(ids) == 1
		mu.Unlock()
		if first {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Snipemoor-Outcome", "done")
	}
	get := func() []string { return addresses }
	a, b := entryServer(t, get, answer), entryServer(t, get, answer)
	addresses = []string{a.Listener.Addr().String(), b.Listener.Addr().String()}
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{Entries: addresses, Team: "t", Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	got := caller.Do(t.Context(), snipeload.Request{Method: http.MethodPost, Path: "/x", Body: []byte("b")})
	if got.Outcome() != snipeload.Done || got.Tries() != 2 {
		t.Fatalf("outcome %s after %d tries (%v), want done after 2", got.Outcome(), got.Tries(), got.Err())
	}
	if len(ids) != 2 || ids[0] != ids[1] || ids[0] != "i-m-1-0.1" {
		t.Errorf("identifiers %q, want the same one twice", ids)
	}
}

// stalledSender blocks every request until the given instant.
type stalledSender struct{ until time.Time }

func (s stalledSender) Do(context.Context, snipeload.Request) snipeload.Result {
	time.Sleep(time.Until(s.until))
	return snipeload.Result{}
}

// Guards against coordinated omission: requests that are due during a stall must be
// sent, and their latency must count from the instant they were due.
func TestLatencyIncludesStall(t *testing.T) {
	const stall = 200 * time.Millisecond
	g, err := snipeload.NewGenerator(snipeload.Config{
		Rate: 1000, Duration: stall / 2, Seed: 7,
		NewRequest: func(int) snipeload.Request { return snipeload.Request{} },
	}, stalledSender{until: time.Now().Add(stall)})
	if err != nil {
		t.Fatal(err)
	}
	report := g.Run(t.Context())
	if report.Total() < 50 {
		t.Errorf("%d requests were offered during the stall, want about 100 (seed 7)", report.Total())
	}
	if got := report.Quantile(0.01); got < stall/2-10*time.Millisecond {
		t.Errorf("lowest latency %s, want at least about %s", got, stall/2)
	}
}

func ExampleReport() {
	r := snipeload.NewReport()
	for i := 1; i <= 100; i++ {
		r.Add(snipeload.Result{}, time.Duration(i)*time.Millisecond)
	}
	fmt.Println(r.Total(), r.Quantile(0.5).Round(time.Millisecond))
	// Output: 100 50ms
}

// Guards against lost connections that are not counted because a later try
// succeeded, and against refused connections that are counted as lost ones.
func TestLostConnectionsAreCounted(t *testing.T) {
	var addresses []string
	list := func() []string { return addresses }
	cutting := entryServer(t, list, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	})
	good := entryServer(t, list, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Snipemoor-Outcome", "done")
	})
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for first, want := range map[*httptest.Server]int{cutting: 1, gone: 0} {
		addresses = []string{strings.TrimPrefix(first.URL, "http://"), strings.TrimPrefix(good.URL, "http://")}
		caller, err := snipeload.NewCaller(snipeload.CallerConfig{Entries: addresses[1:], Team: "t", Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		r := caller.Do(t.Context(), snipeload.Request{Method: http.MethodPost, Path: "/"})
		if r.Outcome() != snipeload.Done || r.Tries() != 2 || r.LostConnections() != want {
			t.Errorf("outcome %s after %d tries with %d lost connections, want done, 2 and %d", r.Outcome(), r.Tries(), r.LostConnections(), want)
		}
		caller.Close()
	}
}

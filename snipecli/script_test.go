package snipecli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// TestScripts guards against commands that report another exit status or
// another outcome than what happened at the store or at the instances.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"snipemoor": runCommand,
			"store":     setStoreFault,
			"instance":  setInstance,
		},
	})
}

// world holds what the commands of one script talk to.
type world struct {
	store *snipestandin.Store
	// lag is how many generations the second member is behind the store, and
	// refuse the reason with which the entry instance refuses calls.
	lag    atomic.Uint64
	refuse atomic.Value
	down   atomic.Bool
	// dropIndex makes the store lose all writes of the index.
	dropIndex atomic.Bool
}

type worldKey struct{}

func setUp(env *testscript.Env) error {
	clock := snipetime.New()
	store, err := snipestandin.NewStore(snipestandin.StoreSettings{Address: "127.0.0.1:0", Clock: clock})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	w := &world{store: store}
	w.refuse.Store("")
	server := httptest.NewServer(w)
	front := httptest.NewServer(http.HandlerFunc(w.serveStore))
	env.Defer(func() {
		server.Close()
		front.Close()
		_ = store.Close()
		clock.Close()
	})
	env.Values[worldKey{}] = w
	examples, err := os.Getwd()
	if err != nil {
		return fmt.Errorf("find examples: %w", err)
	}
	env.Setenv("EXAMPLES", examples+"/../examples")
	env.Setenv("STORE", strings.TrimPrefix(front.URL, "http://"))
	env.Setenv("ADMIN", strings.TrimPrefix(server.URL, "http://"))
	return nil
}

// serveStore passes calls to the store, except for lost writes of the index.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && w.dropIndex.Load() && strings.HasSuffix(r.URL.Path, "config/head") {
		panic(http.ErrAbortHandler)
	}
	w.store.Handler().ServeHTTP(rw, r)
}

// generation returns the generation of the index in the store.
func (w *world) generation() uint64 {
	var head struct{ Generation uint64 }
	value, _ := w.store.Value("config/head")
	if err := json.Unmarshal(value, &head); err != nil {
		return 0
	}
	return head.Generation
}

// ServeHTTP answers as the admin and the callers' interface of an instance.
func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.down.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := w.generation()
	switch {
	case r.URL.Path == "/v1/status":
		_, _ = fmt.Fprintf(rw, `{"address":"127.0.0.1:1","place":"tcr-ollur","generation":%d,"ready":true,"members":[
			{"address":"127.0.0.1:1","place":"tcr-ollur","state":"live","generation":%[1]d,"ready":true},
			{"address":"127.0.0.1:2","place":"tcr-kunnam","state":"live","generation":%d,"ready":true},
			{"address":"127.0.0.1:3","place":"ekm-aluva","state":"gone","generation":0}]}`, now, now-min(now, w.lag.Load()))
	case r.URL.Path == "/v1/entries" && r.URL.Query().Get("service") == "bookdesk":
		_, _ = fmt.Fprintf(rw, `{"entries":[{"address":%q,"place":"tcr-ollur"}],"ttlSeconds":5,"generation":%d,"requestIdPrefix":"i-c-1-1"}`, r.Host, now)
	case strings.HasPrefix(r.URL.Path, "/call/"):
		rw.Header().Set("Snipemoor-Outcome", "done")
		if reason, _ := w.refuse.Load().(string); reason != "" {
			rw.Header().Set("Snipemoor-Outcome", "not-run")
			rw.Header().Set("Snipemoor-Reason", reason)
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		http.NotFound(rw, r)
	}
}

// runCommand runs "snipemoor STATUS ARGS...", fails unless the exit status is
// STATUS, and leaves the output in the files stdout and stderr.
func runCommand(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	clock := snipetime.New()
	defer clock.Close()
	var stdout, stderr bytes.Buffer
	app := snipecli.New(snipecli.Dependencies{Stdout: &stdout, Stderr: &stderr, Clock: clock})
	got := app.Run(context.Background(), args[1:])
	ts.Logf("[status %d]\n%s%s", got, stdout.String(), stderr.String())
	ts.Check(os.WriteFile(ts.MkAbs("stdout"), stdout.Bytes(), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("stderr"), stderr.Bytes(), 0o600))
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}

// setStoreFault runs "store FAULT", which replaces all faults of the store.
func setStoreFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]snipestandin.StoreFaults{
		"works":       {},
		"outage":      {Outage: snipestandin.OutageError},
		"losesAnswer": {LoseAnswers: 1},
		"losesIndex":  {},
	}
	f, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("unknown fault %s", args[0])
	}
	w := ts.Value(worldKey{}).(*world)
	w.store.SetFaults(f)
	w.dropIndex.Store(args[0] == "losesIndex")
}

// setInstance runs "instance works", "instance down", "instance lags" or
// "instance refuses REASON".
func setInstance(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	w.down.Store(args[0] == "down")
	w.lag.Store(0)
	w.refuse.Store("")
	switch args[0] {
	case "lags":
		w.lag.Store(1)
	case "refuses":
		w.refuse.Store(args[1])
	}
}

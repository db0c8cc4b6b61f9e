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

// TestScripts guards against commands whose exit status or output differs from what
// happened at the store or at the instances.
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

// fixture holds the store and the instance that the commands of one script call.
type fixture struct {
	store *snipestandin.Store
	// generationLag is how many generations the second member is behind the
	// store, and refusalReason the reason with which the entry instance refuses
	// calls; empty text means that it accepts them. While down is set, the
	// instance responds to each request with status 503.
	generationLag atomic.Uint64
	refusalReason atomic.Value
	down          atomic.Bool
	// dropIndexWrites makes the connection fail at each write of the index,
	// before it reaches the store.
	dropIndexWrites atomic.Bool
}

// fixtureKey is the key of the fixture among the values of a script.
type fixtureKey struct{}

// setUp starts the fixture of a script and sets the variables EXAMPLES, STORE and
// ADMIN.
func setUp(env *testscript.Env) error {
	clock := snipetime.New()
	store, err := snipestandin.NewStore(snipestandin.StoreSettings{Address: "127.0.0.1:0", Clock: clock})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	fx := &fixture{store: store}
	fx.refusalReason.Store("")
	instance := httptest.NewServer(fx)
	storeProxy := httptest.NewServer(http.HandlerFunc(fx.serveStore))
	env.Defer(func() {
		instance.Close()
		storeProxy.Close()
		_ = store.Close()
		clock.Close()
	})
	env.Values[fixtureKey{}] = fx
	examples, err := os.Getwd()
	if err != nil {
		return fmt.Errorf("find examples: %w", err)
	}
	env.Setenv("EXAMPLES", examples+"/../examples")
	env.Setenv("STORE", strings.TrimPrefix(storeProxy.URL, "http://"))
	env.Setenv("ADMIN", strings.TrimPrefix(instance.URL, "http://"))
	return nil
}

// serveStore forwards calls to the store, except for dropped writes of the index.
func (fx *fixture) serveStore(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && fx.dropIndexWrites.Load() && strings.HasSuffix(r.URL.Path, "config/head") {
		panic(http.ErrAbortHandler)
	}
	fx.store.Handler().ServeHTTP(rw, r)
}

// generation returns the generation of the index in the store, or 0 if there is no
// index.
func (fx *fixture) generation() uint64 {
	var head struct{ Generation uint64 }
	value, _ := fx.store.Value("config/head")
	if err := json.Unmarshal(value, &head); err != nil {
		return 0
	}
	return head.Generation
}

// ServeHTTP serves the admin and the callers' interface of an instance.
func (fx *fixture) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if fx.down.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current := fx.generation()
	switch {
	case r.URL.Path == "/v1/status":
		_, _ = fmt.Fprintf(rw, `{"address":"127.0.0.1:1","place":"tcr-ollur","generation":%d,"ready":true,"members":[
			{"address":"127.0.0.1:1","place":"tcr-ollur","state":"live","generation":%[1]d,"ready":true},
			{"address":"127.0.0.1:2","place":"tcr-kunnam","state":"live","generation":%d,"ready":true},
			{"address":"127.0.0.1:3","place":"ekm-aluva","state":"gone","generation":0}]}`, current, current-min(current, fx.generationLag.Load()))
	case r.URL.Path == "/v1/entries" && r.URL.Query().Get("service") == "bookdesk":
		_, _ = fmt.Fprintf(rw, `{"entries":[{"address":%q,"place":"tcr-ollur"}],"ttlSeconds":5,"generation":%d,"requestIdPrefix":"i-c-1-1"}`, r.Host, current)
	case strings.HasPrefix(r.URL.Path, "/call/"):
		rw.Header().Set("Snipemoor-Outcome", "done")
		if reason, _ := fx.refusalReason.Load().(string); reason != "" {
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

// setStoreFault runs "store FAULT", which replaces all faults of the store; the
// fault "works" is none.
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
	fx := ts.Value(fixtureKey{}).(*fixture)
	fx.store.SetFaults(f)
	fx.dropIndexWrites.Store(args[0] == "losesIndex")
}

// setInstance runs "instance works", "instance down", "instance lags" or
// "instance refuses REASON".
func setInstance(ts *testscript.TestScript, _ bool, args []string) {
	fx := ts.Value(fixtureKey{}).(*fixture)
	fx.down.Store(args[0] == "down")
	fx.generationLag.Store(0)
	fx.refusalReason.Store("")
	switch args[0] {
	case "lags":
		fx.generationLag.Store(1)
	case "refuses":
		fx.refusalReason.Store(args[1])
	}
}

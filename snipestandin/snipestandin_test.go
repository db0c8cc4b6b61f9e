package snipestandin_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against stand-ins that leave goroutines running after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTarget(t *testing.T, s snipestandin.TargetSettings) *snipestandin.Target {
	t.Helper()
	s.Address = "127.0.0.1:0"
	target, err := snipestandin.NewTarget(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := target.Close(); err != nil {
			t.Error(err)
		}
	})
	return target
}

// call sends a request on a new connection and returns the status, the header and
// the body of the response. The idempotency key is derived from the identifier.
func call(ctx context.Context, method, url, id, body string) (int, http.Header, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	request.Close = true
	request.Header.Set(snipestandin.HeaderRequestID, id)
	request.Header.Set(snipestandin.HeaderIdempotencyKey, "key-"+id)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// Guards against a target that runs a request although a fault hits it at a stage
// before execution, or that does not run it although the fault comes later.
func TestTargetStages(t *testing.T) {
	clock := snipetime.New()
	defer clock.Close()
	for _, c := range []struct {
		stage snipestandin.Stage
		runs  int
	}{
		{snipestandin.StageBeforeRead, 0},
		{snipestandin.StageAfterHeaders, 0},
		{snipestandin.StageMidBody, 0},
		{snipestandin.StageAfterExecution, 1},
		{snipestandin.StageMidAnswer, 1},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/silent=%v", c.stage, silent), func(t *testing.T) {
				target := newTarget(t, snipestandin.TargetSettings{Clock: clock, Slots: 1, AnswerBytes: 1000})
				target.SetFaults(snipestandin.TargetFaults{Stage: c.stage, Requests: 1, Silent: silent})
				url := "http://" + target.Address() + "/x"
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				if _, _, _, err := call(ctx, http.MethodPost, url, "r1", "some body"); err == nil {
					t.Error("the request got a complete response, want a failure")
				}
				if got := target.RunsByRequestID("r1"); got != c.runs || target.RunsByKey("key-r1") != c.runs {
					t.Errorf("the request ran %d times, want %d", got, c.runs)
				}
				// The failed request must free its slot, and the next one must not fail.
				waitUntil(t, func() bool { running, _ := target.InFlight(); return running == 0 })
				status, _, body, err := call(context.Background(), http.MethodPost, url, "r2", "some body")
				if err != nil || status != http.StatusOK || !strings.Contains(body, `"requestId":"r2"`) || len(body) != 1000 {
					t.Errorf("the next request got status %d, %d bytes, error %v", status, len(body), err)
				}
			})
		}
	}
}

// Guards against a target that runs more requests at once than it has slots,
// that sheds a request without the headers Snipemoor-Not-Run and Retry-After, or
// that keeps running a request whose client has disconnected.
func TestTargetSlots(t *testing.T) {
	clock := snipetime.NewManual(0)
	target := newTarget(t, snipestandin.TargetSettings{
		Clock: clock, Slots: 1, Queue: 1, MedianServiceTime: time.Second, Sigma: 0,
	})
	url := "http://" + target.Address() + "/x"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan int, 2)
	var wg sync.WaitGroup
	start := func(ctx context.Context, id string) {
		wg.Go(func() {
			status, _, _, _ := call(ctx, http.MethodGet, url, id, "")
			results <- status
		})
	}
	start(ctx, "running")
	waitUntil(t, func() bool { running, _ := target.InFlight(); return running == 1 })
	start(context.Background(), "waiting")
	waitUntil(t, func() bool { _, waiting := target.InFlight(); return waiting == 1 })
	status, header, _, err := call(context.Background(), http.MethodGet, url, "shed", "")
	if err != nil || status != http.StatusServiceUnavailable || header.Get(snipestandin.HeaderNotRun) != "1" || header.Get("Retry-After") != "1" {
		t.Errorf("status %d, header %v, error %v, want a shed request", status, header, err)
	}
	cancel()
	waitUntil(t, func() bool { return target.RunsByRequestID("waiting") == 1 })
	waitUntil(t, func() bool { clock.Advance(time.Second); return len(results) == 2 })
	wg.Wait()
	if first, second := <-results, <-results; first+second != http.StatusOK {
		t.Errorf("statuses are %d and %d, want one cancelled and one 200", first, second)
	}
	stats := target.Stats()
	if stats.MaxBusy != 1 || stats.Shed != 1 || stats.Cancelled != 1 || stats.SlotExcess != 2 || target.RunsByRequestID("shed") != 0 {
		t.Errorf("stats are %+v", stats)
	}
}

// waitUntil polls until the condition holds. It is meant for events in other
// goroutines that a stand-in does not signal.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(10 * time.Second)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("the condition did not hold within 10 s")
		}
	}
}

// Guards against load reports that ignore the lag or the fault ReportBusy, and
// against a drain that the health endpoint does not show.
func TestTargetReports(t *testing.T) {
	clock := snipetime.NewManual(0)
	target := newTarget(t, snipestandin.TargetSettings{
		Clock: clock, Slots: 2, MedianServiceTime: time.Hour, LoadLag: time.Second,
	})
	url := "http://" + target.Address()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _, _ = call(ctx, http.MethodGet, url+"/x", "r", "")
	}()
	waitUntil(t, func() bool { running, _ := target.InFlight(); return running == 1 })
	expectLoad := func(want string) {
		t.Helper()
		_, _, body, err := call(context.Background(), http.MethodGet, url+"/load", "", "")
		if err != nil || !strings.Contains(body, want) {
			t.Errorf("load is %s, error %v, want %s", body, err, want)
		}
	}
	expectLoad(`"busy":0`)
	clock.Advance(time.Second)
	expectLoad(`"busy":1`)
	reportedBusy := 7
	target.SetFaults(snipestandin.TargetFaults{ReportBusy: &reportedBusy, Draining: true})
	expectLoad(`"busy":7`)
	if status, _, _, err := call(context.Background(), http.MethodGet, url+"/healthz", "", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("a draining target reports status %d, error %v", status, err)
	}
	body := `{"stage": "midBody", "requests": -1, /* comment */ "slowdown": 2}`
	if status, _, _, err := call(context.Background(), http.MethodPost, url+"/standin/fault", "", body); err != nil || status != http.StatusOK {
		t.Errorf("setting faults got status %d, error %v", status, err)
	}
	if f := target.Faults(); f.Stage != snipestandin.StageMidBody || f.Requests != -1 || f.Draining {
		t.Errorf("faults are %+v", f)
	}
	cancel()
	<-done
}

// Guards against leases that expire early, late or without their keys.
func TestStoreLease(t *testing.T) {
	clock := snipetime.NewManual(0)
	store, err := snipestandin.NewStore(snipestandin.StoreSettings{Address: "127.0.0.1:0", Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	url := "http://" + store.Address() + "/v1"
	expectStatus := func(method, path, body string, want int) {
		t.Helper()
		status, _, text, err := call(context.Background(), method, url+path, "", body)
		if err != nil || status != want {
			t.Fatalf("%s %s got status %d %s, error %v, want %d", method, path, status, text, err, want)
		}
	}
	expectStatus(http.MethodPost, "/leases", `{"ttl": "15s"}`, http.StatusOK)
	expectStatus(http.MethodPut, "/kv/a/b", `{"value": "aGVsbG8=", "ifVersion": 0, "lease": "lease-1"}`, http.StatusOK)
	clock.Advance(14 * time.Second)
	expectStatus(http.MethodPost, "/leases/lease-1/renew", "", http.StatusOK)
	clock.Advance(14999 * time.Millisecond)
	expectStatus(http.MethodGet, "/kv/a/b", "", http.StatusOK)
	clock.Advance(time.Millisecond)
	expectStatus(http.MethodGet, "/kv/a/b", "", http.StatusNotFound)
	expectStatus(http.MethodPost, "/leases/lease-1/renew", "", http.StatusNotFound)
	expectStatus(http.MethodGet, "/watch?prefix=a/&after=1", "", http.StatusOK)
}

// Guards against a list that shows a change before the lag has passed, or does
// not show it after that.
func TestInstanceListLag(t *testing.T) {
	clock := snipetime.NewManual(0)
	list, err := snipestandin.NewInstanceList(snipestandin.InstanceListSettings{
		Address: "127.0.0.1:0", Clock: clock, Lag: 2 * time.Second,
		Instances: []snipestandin.Instance{{Address: "127.0.0.1:1", Place: "p", Role: "entry", State: "live"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = list.Close() }()
	list.SetState("127.0.0.1:1", "leaving")
	for _, want := range []string{"live", "live", "leaving"} {
		_, _, body, err := call(context.Background(), http.MethodGet, "http://"+list.Address()+"/v1/instances", "", "")
		if err != nil || !strings.Contains(body, `"state":"`+want+`"`) {
			t.Errorf("list is %s, error %v, want %s", body, err, want)
		}
		clock.Advance(time.Second)
	}
}

// Guards against a network that delivers data during a cut or on a silent
// connection, that loses data when a cut ends, or that adds no delay.
func TestNetwork(t *testing.T) {
	clock := snipetime.New()
	defer clock.Close()
	target := newTarget(t, snipestandin.TargetSettings{Clock: clock, Slots: 4})
	const delay = 20 * time.Millisecond
	network := snipestandin.NewNetwork(snipestandin.NetworkSettings{
		PlaceOf: func(netip.AddrPort) string { return "b" },
		Delay:   func(_, _ string) time.Duration { return delay },
	})
	defer network.Close()
	transport := &http.Transport{DialContext: network.Dialer("a")}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	get := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address()+"/x", nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	start := time.Now()
	if err := get(10 * time.Second); err != nil || time.Since(start) < 4*delay {
		t.Fatalf("the first request took %v, error %v, want two round trips", time.Since(start), err)
	}
	if count := network.SilenceConnections("a", "b"); count != 1 {
		t.Errorf("%d connections were silenced, want 1", count)
	}
	if err := get(300 * time.Millisecond); err == nil {
		t.Error("a request on a silent connection got a response")
	}
	if err := get(10 * time.Second); err != nil {
		t.Errorf("a new connection failed: %v", err)
	}
	network.Cut([]string{"a"}, []string{"b"})
	result := make(chan error, 1)
	go func() { result <- get(10 * time.Second) }()
	select {
	case err := <-result:
		t.Errorf("a request ended during the cut: %v", err)
	case <-time.After(5 * delay):
	}
	network.Restore()
	if err := <-result; err != nil {
		t.Errorf("a request failed after the cut: %v", err)
	}
}

// Guards against a network that ignores the local address, so that callers of
// all client blocks appear to be in one block.
func TestNetworkLocalAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	network := snipestandin.NewNetwork(snipestandin.NetworkSettings{
		PlaceOf: func(netip.AddrPort) string { return "" },
		Delay:   func(_, _ string) time.Duration { return 0 },
	})
	defer network.Close()
	local := netip.MustParseAddr("127.96.3.1")
	conn, err := network.DialerFrom("a", local)(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if from := netip.MustParseAddrPort(accepted.RemoteAddr().String()); from.Addr() != local {
		t.Errorf("connection from %s, want %s", from, local)
	}
}

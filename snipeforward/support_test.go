package snipeforward

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetarget"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// testTimeout bounds each request and each wait of a test.
const testTimeout = 10 * time.Second

// instance is an entry instance with real connections, records and retry policy;
// configuration, plan, limits and slots are fakes. It has one service per class,
// named after the class.
type instance struct {
	name, region string
	service      Service
	plan         []Place
	targets      []string
	// hedge is the hedge delay, or 0 for no hedges.
	hedge time.Duration
	// panicAt is the step that panics: "shift", or "" for none.
	panicAt string
	// emptyTargetIsFull refuses a slot whenever the next target is "".
	emptyTargetIsFull bool
	// beforeHedgeRefusal is called before a hedge is refused a slot; with nil,
	// hedges are granted slots.
	beforeHedgeRefusal func()
	// noSlots refuses all slots.
	noSlots bool
	// issuerPeer is the instance to which requests of other issuers are relayed,
	// or "" for the issuer itself.
	issuerPeer string
	// wrapStream replaces the streams of relayed requests, unless it is nil.
	wrapStream func(RelayStream) RelayStream
	fleet      map[string]*instance
	claims     *sync.Map

	peerAddress     string
	clock           *snipetime.Service
	node            *snipepeer.Node
	forwarder       *Forwarder
	server          *httptest.Server
	client          *http.Client
	table           *snipeonce.Table
	relayedAttempts *snipeonce.RelayedAttempts
	minter          *snipeonce.IDGenerator

	mu sync.Mutex
	// changed is signalled after each change of a slot and after each end of a
	// request of class once.
	changed *sync.Cond
	// heldSlots holds the identifiers of the attempts that hold a slot.
	heldSlots map[string]bool
	results   []AttemptResult
	// chargedBits is the sum of the bits charged to the shift.
	chargedBits float64
	// next is the source of target indices, waiters and attempt numbers.
	next uint64
	// joinRelays counts the requests that were relayed to their issuer.
	joinRelays int
	// endedAttempts counts the attempts for other instances that have ended.
	endedAttempts int
	waiters       map[snipeonce.Waiter]chan snipeonce.Result
	policy        *sniperetry.Policy
}

var (
	localPlan = []Place{{Name: "r1", Region: "r1"}}
	relayPlan = []Place{{Name: "r2", Region: "r2", NeedsShift: true, NeedsLink: true}}
)

// newFleet starts the instances "a" in region r1 and "b" in r2, both with the
// given targets; requests to "a" follow the plan.
func newFleet(t testing.TB, plan []Place, targets ...string) (a, b *instance) {
	t.Helper()
	fleet, claims := make(map[string]*instance), new(sync.Map)
	for name, region := range map[string]string{"a": "r1", "b": "r2"} {
		i := &instance{
			name: name, region: region, plan: plan, targets: targets, fleet: fleet, claims: claims,
			service: Service{
				Team: "t", DefaultTimeout: testTimeout, MaxTimeout: testTimeout, MaxBody: 1 << 20, MaxHeader: 8 << 10,
				RequestBytes: 1000, ResponseBytes: 1000,
			},
			heldSlots: make(map[string]bool), waiters: make(map[snipeonce.Waiter]chan snipeonce.Result),
		}
		i.changed = sync.NewCond(&i.mu)
		i.start(t)
		fleet[name] = i
	}
	return fleet["a"], fleet["b"]
}

// start starts the node and the HTTP server of the instance and stops them at the
// end of the test.
func (i *instance) start(t testing.TB) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i.peerAddress = listener.Addr().String()
	i.clock = snipetime.New()
	i.node = snipepeer.New(snipepeer.Settings{
		Address: i.peerAddress, Incarnation: i.name, Place: i.region,
	}, listener, &net.Dialer{}, zap.NewNop())
	i.table = snipeonce.NewTable(i.name, snipeonce.Settings{})
	i.relayedAttempts = snipeonce.NewRelayedAttempts(i.name)
	i.minter = snipeonce.NewIDGenerator(i.name)
	i.policy = sniperetry.NewPolicy(sniperetry.Settings{
		Budget: sniperetry.BudgetSettings{Ratio: 10, MinimumPerSecond: 1000, Cap: 1000},
	}, rand.New(rand.NewPCG(1, 2)), i.clock.Now())
	pools := snipetarget.New(snipetarget.Settings{}, &net.Dialer{})
	i.forwarder = New(Dependencies{
		Clock: i.clock, Config: i, Planner: i, Limits: i, Slots: i, Targets: pools, Relays: i, Records: testRecords{i},
		Policies: i, Lookups: i, Incarnation: i.name, Region: func() string { return i.region },
	}, prometheus.NewRegistry())
	i.node.HandleRelay(i.forwarder.ServeRelay)
	i.node.Start()
	i.server = httptest.NewUnstartedServer(nil)
	i.server.Config = i.forwarder.Server(func() bool { return true })
	i.server.Start()
	i.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
	t.Cleanup(func() {
		i.client.CloseIdleConnections()
		i.server.Close()
		i.node.Close()
		pools.Close()
		i.clock.Close()
	})
}

// send sends a request to the service and path after /call/t/. headers holds
// names and values in turn.
func (i *instance) send(ctx context.Context, method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, i.server.URL+"/call/t/"+path, body)
	if err != nil {
		return nil, err
	}
	for n := 0; n < len(headers); n += 2 {
		r.Header.Add(headers[n], headers[n+1])
	}
	return i.client.Do(r)
}

// waitFor waits until a condition holds and fails the test after testTimeout. The
// condition is called with i.mu held after each change of a slot.
func (i *instance) waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	timedOut := false
	timeout := time.AfterFunc(testTimeout, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		timedOut = true
		i.changed.Broadcast()
	})
	defer timeout.Stop()
	i.mu.Lock()
	defer i.mu.Unlock()
	for !condition() {
		if timedOut {
			t.Fatalf("instance %s: no %s; held %v, results %v", i.name, what, i.heldSlots, i.results)
		}
		i.changed.Wait()
	}
}

// waitIdle waits until every slot is released and returns the results of all
// attempts so far.
func (i *instance) waitIdle(t testing.TB) []AttemptResult {
	t.Helper()
	i.waitFor(t, "release of all slots", func() bool { return len(i.heldSlots) == 0 })
	return slices.Clone(i.results)
}

func (i *instance) Generation() uint64 { return 7 }

func (i *instance) Service(team, name string) (Service, *Refusal) {
	if team != "t" {
		return Service{}, &Refusal{Reason: reasonUnknownTeam}
	}
	s := i.service
	s.Name, s.Class = name, sniperetry.Class(name)
	if s.Class != sniperetry.Safe && s.Class != sniperetry.Idempotent && s.Class != sniperetry.Once {
		return Service{}, &Refusal{Reason: reasonUnknownService}
	}
	return s, nil
}

func (i *instance) RegionOf(place string) string { return place }

func (i *instance) Home(string, string, netip.Addr) string { return i.region }

func (i *instance) Plan(_ Service, _ string, buffer []Place) []Place {
	return append(buffer, i.plan...)
}

func (i *instance) AdmitShift(_ context.Context, _ Service, bits float64) *Refusal {
	if i.panicAt == "shift" {
		panic("injected")
	}
	i.CorrectShift(Service{}, bits)
	return nil
}

func (i *instance) CorrectShift(_ Service, bits float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.chargedBits += bits
}

func (i *instance) AdmitLink(string, float64) *Refusal { return nil }

func (i *instance) PaceLink(ctx context.Context, _ string, _ float64) error { return ctx.Err() }

func (i *instance) Acquire(ctx context.Context, r SlotRequest) (string, *Refusal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if ctx.Err() != nil || i.noSlots {
		return "", &Refusal{Reason: reasonNoTarget}
	}
	if r.Hedge && i.beforeHedgeRefusal != nil {
		for len(i.heldSlots) == 0 {
			i.changed.Wait()
		}
		i.beforeHedgeRefusal()
		i.noSlots = true
		return "", &Refusal{Reason: reasonNoTarget}
	}
	for range i.targets {
		i.next++
		target := i.targets[i.next%uint64(len(i.targets))]
		if target == "" && i.emptyTargetIsFull {
			break
		}
		if !slices.Contains(r.Excluded, target) {
			i.heldSlots[r.AttemptID] = true
			i.changed.Broadcast()
			return target, nil
		}
	}
	return "", &Refusal{Reason: reasonNoTarget}
}

func (i *instance) Release(attemptID string, result AttemptResult, _ time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.heldSlots, attemptID)
	i.results = append(i.results, result)
	i.changed.Broadcast()
}

func (i *instance) Choose(region, _ string) (string, bool) {
	for _, other := range i.fleet {
		if other.region == region {
			return other.peerAddress, true
		}
	}
	return "", false
}

func (i *instance) FinishRelay(string, bool, time.Duration) {}

func (i *instance) Open(ctx context.Context, peer string, q *snipewire.RelayRequest) (RelayStream, error) {
	i.mu.Lock()
	if q.GetJoin() {
		i.joinRelays++
	}
	i.mu.Unlock()
	s, err := i.node.OpenRelay(ctx, peer, q)
	if err != nil {
		return nil, err
	}
	if i.wrapStream != nil {
		return i.wrapStream(s), nil
	}
	return s, nil
}

func (i *instance) Revoke(_ context.Context, to snipepeer.Peer, attemptID string) snipeonce.Status {
	id, err := snipeonce.ParseAttemptID(attemptID)
	if err != nil {
		return snipeonce.Status{}
	}
	return i.fleet[to.Incarnation].relayedAttempts.Revoke(id, to.Incarnation, to.Epoch, i.clock.Now())
}

func (i *instance) NextAttempt() snipeonce.AttemptID {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.next++
	return snipeonce.AttemptID{Sender: i.name, Sequence: i.next}
}

func (i *instance) Policy(Service) Policy { return testPolicy{i} }

func (i *instance) Entries(string, string, netip.Prefix) (LookupResponse, *Refusal) {
	return LookupResponse{Entries: []Entry{{Address: "127.0.0.1:80", Place: "r1"}}, TimeToLive: time.Second}, nil
}

// testPolicy is the real retry policy with the hedge delay of the instance.
type testPolicy struct{ i *instance }

func (p testPolicy) FirstAttempt(now snipetime.Instant) {
	p.i.mu.Lock()
	defer p.i.mu.Unlock()
	p.i.policy.FirstAttempt(now)
}

func (p testPolicy) Observe(snipetime.Instant, time.Duration) {}

func (p testPolicy) HedgeDelay(class sniperetry.Class) (time.Duration, bool) {
	return p.i.hedge, class == sniperetry.Safe && p.i.hedge > 0
}

func (p testPolicy) Decide(now snipetime.Instant, e sniperetry.RequestState) sniperetry.Decision {
	if e.Failure == sniperetry.Running {
		return sniperetry.Decision{Action: sniperetry.Hedge, Reason: sniperetry.ReasonHedge}
	}
	p.i.mu.Lock()
	defer p.i.mu.Unlock()
	return p.i.policy.Decide(now, e)
}

func (p testPolicy) Refund() {}

// testRecords implements Records with the real record tables and a claim store in
// memory that all instances share.
type testRecords struct{ *instance }

func (r testRecords) Issue() snipeonce.RequestID { return r.minter.Issue(r.clock.Now()) }

func (r testRecords) Begin(id snipeonce.RequestID, deadline snipetime.Instant) (snipeonce.Decision, <-chan snipeonce.Result, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	w, ch := snipeonce.Waiter(r.next), make(chan snipeonce.Result, 1)
	d := r.table.Begin(id, r.clock.Now(), deadline, w)
	if d.Action == snipeonce.Joined {
		r.waiters[w] = ch
	}
	return d, ch, func() { r.table.Leave(id, w) }
}

func (r testRecords) Finish(id snipeonce.RequestID, result snipeonce.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.table.Finish(id, result, r.clock.Now()) {
		r.waiters[w] <- result
		delete(r.waiters, w)
	}
	r.changed.Broadcast()
}

func (r testRecords) Revoke(id snipeonce.RequestID) snipeonce.Status {
	return r.table.Revoke(id, r.clock.Now())
}

func (r testRecords) Claim(_ context.Context, _, _, key string, id snipeonce.RequestID, _ snipetime.Instant) (snipeonce.RequestID, bool, *snipeonce.Result) {
	other, claimed := r.claims.LoadOrStore(key, id)
	return other.(snipeonce.RequestID), claimed && other != id, nil
}

func (r testRecords) Peer(incarnation string) (string, bool) {
	if r.issuerPeer != "" {
		incarnation = r.issuerPeer
	}
	other, ok := r.fleet[incarnation]
	if !ok {
		return "", false
	}
	return other.peerAddress, true
}

func (r testRecords) Admit(id snipeonce.AttemptID, q *snipewire.RelayRequest, _ snipepeer.Peer) snipeonce.Admission {
	return r.relayedAttempts.Admit(id, q.GetIncarnation(), q.GetSessionEpoch(), r.clock.Now())
}

func (r testRecords) FinishAttempt(id snipeonce.AttemptID, result snipeonce.Result) {
	r.relayedAttempts.Finish(id, result, r.clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedAttempts++
	r.changed.Broadcast()
}

func newLog(w io.Writer) *log.Logger { return log.New(w, "", 0) }

// lockedBuffer is a buffer for the log of a server, safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

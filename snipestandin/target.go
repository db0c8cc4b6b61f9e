package snipestandin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Stage is a point in the processing of a request at a target.
type Stage string

// The stages of a request, in order. The target runs the request between
// StageMidBody and StageAfterExecution.
const (
	// StageBeforeRead is before the request header is read.
	StageBeforeRead Stage = "beforeRead"
	// StageAfterHeaders is after the header was read, before the target waits for
	// a free slot and reads the body.
	StageAfterHeaders Stage = "afterHeaders"
	// StageMidBody is when half of the body has been read.
	StageMidBody Stage = "midBody"
	// StageAfterExecution is after the request ran and before the response.
	StageAfterExecution Stage = "afterExecution"
	// StageMidAnswer is when half of the response body has been sent.
	StageMidAnswer Stage = "midAnswer"
)

// TargetFaults are the faults of a target. The zero value has no fault.
type TargetFaults struct {
	// Stage is where requests fail, if Requests is not zero.
	Stage Stage `check:"oneof=beforeRead|afterHeaders|midBody|afterExecution|midAnswer"`
	// Requests is how many of the next requests fail; -1 stands for all.
	Requests int `check:"min=-1,max=1000000"`
	// Silent leaves failing requests without a response and their connections
	// open. Otherwise their connections are closed.
	Silent bool
	// Draining makes the target refuse new requests and report itself unhealthy.
	Draining bool
	// Down makes the target close each connection at its next request, except
	// for control requests. For a target that refuses connections, use Close.
	Down bool
	// ReportHealthy and ReportUnhealthy make the health endpoint report this
	// state whatever the true state is. ReportUnhealthy wins over ReportHealthy.
	ReportHealthy   bool
	ReportUnhealthy bool
	// ReportBusy, if not nil, is the number of busy slots that the load
	// endpoint reports whatever the true number is.
	ReportBusy *int `check:"min=0,max=1000000"`
	// LoadFrozen makes the load endpoint keep reporting the load that it reported
	// when the fault was set.
	LoadFrozen bool
	// LoadOutage makes the load endpoint respond with status 503.
	LoadOutage bool
	// Slowdown multiplies service times by 1 + Slowdown.
	Slowdown float64 `check:"min=0,max=1000"`
}

// TargetSettings are the settings of a stand-in target.
type TargetSettings struct {
	// Address is the address to listen on; port 0 selects a free port.
	Address string
	// Clock measures service times and the load lag, and dates executions.
	Clock Clock
	// Seed seeds the service times.
	Seed uint64
	// Slots is how many requests run at once, at least 1, and Queue is how many
	// more wait. All others are shed.
	Slots int
	Queue int
	// MedianServiceTime and Sigma are the median of the service time and the
	// standard deviation of its natural logarithm, which is normally distributed.
	MedianServiceTime time.Duration
	Sigma             float64
	// ColdPenalty slows down a target that has just started: the service time is
	// multiplied by 1 + ColdPenalty at the start, and the penalty falls linearly
	// to zero over ColdFade.
	ColdPenalty float64
	ColdFade    time.Duration
	// ConnectCost and ProbeCost are the times that a new connection and a
	// probe add to the service time of the next request.
	ConnectCost time.Duration
	ProbeCost   time.Duration
	// MaxConnections is how many open connections the target allows; it closes
	// others at once. Zero stands for no limit.
	MaxConnections int
	// LoadLag is the age of the load that the load endpoint reports.
	LoadLag time.Duration
	// AnswerBytes is the minimum size in bytes of a response body. The body
	// contains the identifiers of its request and is padded to this size.
	AnswerBytes int
	// RetryAfter is the value of the header Retry-After of a shed request. It is
	// rounded down to full seconds, and is at least one second.
	RetryAfter time.Duration
}

// Execution is the record of one request that ran at a target.
type Execution struct {
	// RequestID and Key are the headers Snipemoor-Request-Id and
	// Idempotency-Key of the request.
	RequestID string `json:"requestId"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Target is the address of the target that ran the request.
	Target string `json:"target"`
	// Started and Finished are instants on the clock of the target. Finished is
	// zero while the request runs.
	Started  snipetime.Instant `json:"started"`
	Finished snipetime.Instant `json:"finished"`
	// Cancelled means that the request ended early, because the connection
	// was closed or its deadline passed.
	Cancelled bool `json:"cancelled"`
	// BodyBytes is the size of the request body in bytes, and BodyDigest is its
	// 64-bit xxHash.
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// maxExecutions bounds the number of execution records of a target; the oldest
// are dropped.
const maxExecutions = 200_000

// Target is a stand-in for a target, which is a back-end server with a limited
// number of slots. It is safe for concurrent use.
type Target struct {
	settings TargetSettings
	clock    Clock
	server   *server
	address  string
	started  snipetime.Instant
	closed   chan struct{}

	// hook is called at each stage of a request; see SetHook.
	hook atomic.Pointer[func(Stage)]

	mu     sync.Mutex
	faults TargetFaults
	random *rand.Rand
	// busy is the number of slots in use.
	busy int
	// waiters holds a channel for each queued request, in order of arrival. It is
	// closed when the request gets a slot.
	waiters []chan struct{}
	// pendingCost is the cost of connections and probes since the last request
	// began; the next request pays it.
	pendingCost time.Duration
	// smoothedLatency is the reported latency, an exponential moving average.
	smoothedLatency time.Duration
	// loadSamples are the loads that current and later reports can show, the
	// oldest first.
	loadSamples []loadSample
	// frozenLoad is what the fault LoadFrozen reports.
	frozenLoad loadWire
	executions []*Execution
	// runsByID and runsByKey count executions by request identifier and by
	// idempotency key.
	runsByID  map[string]int
	runsByKey map[string]int
	stats     TargetStats
}

// TargetStats are counts of a target since its start.
type TargetStats struct {
	// Requests is the number of requests whose header was read, without probes
	// and control requests.
	Requests uint64 `json:"requests"`
	// Executed is the number of requests that began to run.
	Executed uint64 `json:"executed"`
	// Shed is the number of requests refused because all slots were busy and the
	// queue was full, or because the target was draining.
	Shed uint64 `json:"shed"`
	// SlotExcess is the number of requests that arrived while all slots were
	// busy, whether they were queued or shed.
	SlotExcess uint64 `json:"slotExcess"`
	// MaxBusy is the highest number of requests that ran at once.
	MaxBusy int `json:"maxBusy"`
	// Cancelled is the number of requests that ended early.
	Cancelled uint64 `json:"cancelled"`
	// Probes is the number of calls of the health and load endpoints.
	Probes uint64 `json:"probes"`
	// Connections is the number of accepted connections, and Refused is the
	// number of those that were closed at once because of MaxConnections.
	Connections uint64 `json:"connections"`
	Refused     uint64 `json:"refused"`
	// LastStart is when the latest request began to run.
	LastStart snipetime.Instant `json:"lastStart"`
}

// NewTarget starts a target. It fails if the settings have less than one slot or
// if it cannot listen on the address.
func NewTarget(settings TargetSettings) (*Target, error) {
	if settings.Slots < 1 {
		return nil, fmt.Errorf("target %s has %d slots, want at least 1", settings.Address, settings.Slots)
	}
	t := &Target{
		settings:  settings,
		clock:     settings.Clock,
		started:   settings.Clock.Now(),
		closed:    make(chan struct{}),
		random:    rand.New(rand.NewPCG(settings.Seed, 2)),
		runsByID:  map[string]int{},
		runsByKey: map[string]int{},
	}
	listener, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	t.address = listener.Addr().String()
	t.recordLoad()
	t.server = serve(&targetListener{Listener: listener, target: t}, &http.Server{
		Handler:   t.Handler(),
		ConnState: trackConnState,
	})
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.address }

// Close closes the listener and all connections at once, as a crash would. It
// must be called only once.
func (t *Target) Close() error {
	close(t.closed)
	return t.server.close()
}

// SetFaults replaces all faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.LoadFrozen && !t.faults.LoadFrozen {
		t.frozenLoad = t.reportedLoad()
	}
	t.faults = f
}

// SetHook sets a function that is called when a request reaches a stage, before
// the faults of the stage apply. The request waits until the function returns,
// so that a test can block it there. Probes reach StageBeforeRead too. Nil
// removes the function.
func (t *Target) SetHook(hook func(Stage)) {
	if hook == nil {
		t.hook.Store(nil)
		return
	}
	t.hook.Store(&hook)
}

// Faults returns the faults that are set. Requests is the number of requests
// that are still to fail.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Stats returns the counts since the start.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// InFlight returns the number of running requests and the number of queued ones.
func (t *Target) InFlight() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy, len(t.waiters)
}

// RunsByRequestID returns how many times a request with the identifier began to
// run.
func (t *Target) RunsByRequestID(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsByID[requestID]
}

// RunsByKey returns how many times a request with the idempotency key began to
// run.
func (t *Target) RunsByKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsByKey[key]
}

// Executions returns the records of the requests that began to run, in this
// order. The number of records is limited, and the oldest are dropped.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Execution, len(t.executions))
	for i, e := range t.executions {
		list[i] = *e
	}
	return list
}

// consumeFault calls the hook and reports whether the current request fails at
// the stage, and how. A failure lowers the number of requests that are still to
// fail.
func (t *Target) consumeFault(stage Stage) (fails, silent bool) {
	if hook := t.hook.Load(); hook != nil {
		(*hook)(stage)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Stage != stage || t.faults.Requests == 0 {
		return false, false
	}
	if t.faults.Requests > 0 {
		t.faults.Requests--
	}
	return true, t.faults.Silent
}

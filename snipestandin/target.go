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

// Stage is a stage of a request at a target.
type Stage string

// The stages of a request, in order. The target runs the request between
// StageMidBody and StageAfterExecution.
const (
	// StageBeforeRead is before the request header is read.
	StageBeforeRead Stage = "beforeRead"
	// StageAfterHeaders is after the header and before the body is read.
	StageAfterHeaders Stage = "afterHeaders"
	// StageMidBody is when half of the body has been read.
	StageMidBody Stage = "midBody"
	// StageAfterExecution is after the request ran and before the answer.
	StageAfterExecution Stage = "afterExecution"
	// StageMidAnswer is when half of the answer has been sent.
	StageMidAnswer Stage = "midAnswer"
)

// TargetFaults are the faults of a target. The zero value has no fault.
type TargetFaults struct {
	// Stage is where requests fail, if Requests is not zero.
	Stage Stage `check:"oneof=beforeRead|afterHeaders|midBody|afterExecution|midAnswer"`
	// Requests is how many of the next requests fail; -1 stands for all.
	Requests int `check:"min=-1,max=1000000"`
	// Silent makes failing requests wait without an answer instead of closing
	// their connection.
	Silent bool
	// Draining makes the target refuse new work and report itself unhealthy.
	Draining bool
	// Down makes the target close each connection at its next request, except
	// for control requests. Use Close for a target that refuses to be dialled.
	Down bool
	// ReportHealthy and ReportUnhealthy make the health endpoint report this
	// regardless of the state.
	ReportHealthy   bool
	ReportUnhealthy bool
	// ReportBusy, if not nil, is the number of busy slots that the load
	// endpoint reports regardless of the load.
	ReportBusy *int `check:"min=0,max=1000000"`
	// LoadFrozen makes the load endpoint report the load of the moment at
	// which the fault was set.
	LoadFrozen bool
	// LoadOutage makes the load endpoint answer with status 503.
	LoadOutage bool
	// Slowdown multiplies service times by 1 + Slowdown.
	Slowdown float64 `check:"min=0,max=1000"`
}

// TargetSettings are the settings of a stand-in target.
type TargetSettings struct {
	// Address is the address to listen on; port 0 takes a free one.
	Address string
	// Clock is the clock of service times, lags and logs.
	Clock Clock
	// Seed seeds the service times.
	Seed uint64
	// Slots is how many requests run at once, and Queue how many more wait.
	// All others are shed.
	Slots int
	Queue int
	// MedianServiceTime and Sigma are the parameters of the log-normal
	// distribution of service times.
	MedianServiceTime time.Duration
	Sigma             float64
	// ColdPenalty is how many times longer, beyond the normal time, a request
	// takes right after the start. It falls to zero over ColdFade.
	ColdPenalty float64
	ColdFade    time.Duration
	// ConnectCost and ProbeCost are the times that a new connection and a
	// probe add to the service time of the next request.
	ConnectCost time.Duration
	ProbeCost   time.Duration
	// MaxConnections is how many connections the target accepts; it closes
	// others at once. Zero stands for no limit.
	MaxConnections int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// AnswerBytes is the least size of the body of an answer, which holds the
	// identifiers of its request.
	AnswerBytes int
	// RetryAfter is sent with a shed request. Less than a second counts as one.
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
	// Started and Finished are the times on the clock of the target. Finished
	// is zero while the request runs.
	Started  snipetime.Instant `json:"started"`
	Finished snipetime.Instant `json:"finished"`
	// Cancelled means that the request ended early, because the connection
	// was closed or its deadline passed.
	Cancelled bool `json:"cancelled"`
	// BodyBytes and BodyDigest are size and xxhash of the request body.
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// maxExecutions bounds the log of a target; the oldest records are dropped.
const maxExecutions = 200_000

// Target is a stand-in back end. It is safe for concurrent use.
type Target struct {
	settings TargetSettings
	clock    Clock
	server   *server
	address  string
	started  snipetime.Instant
	closed   chan struct{}

	// hook is called at each stage of a request; see SetHook.
	hook atomic.Pointer[func(Stage)]

	mu         sync.Mutex
	faults     TargetFaults
	random     *rand.Rand
	busy       int
	waiting    []chan struct{}
	debt       time.Duration
	latency    time.Duration
	loads      []loadSample
	frozen     loadWire
	executions []*Execution
	runs       map[string]int
	keyRuns    map[string]int
	stats      TargetStats
}

// TargetStats are counts of a target since its start.
type TargetStats struct {
	// Requests is the number of requests whose header was read.
	Requests uint64 `json:"requests"`
	// Executed is the number of requests that began to run.
	Executed uint64 `json:"executed"`
	// Shed is the number of requests refused for lack of slots or for a drain.
	Shed uint64 `json:"shed"`
	// SlotExcess is the number of requests that came while all slots were busy.
	SlotExcess uint64 `json:"slotExcess"`
	// MaxBusy is the highest number of requests that ran at once.
	MaxBusy int `json:"maxBusy"`
	// Cancelled is the number of requests that ended early.
	Cancelled uint64 `json:"cancelled"`
	// Probes is the number of calls of the health and load endpoints.
	Probes uint64 `json:"probes"`
	// Connections is the number of accepted connections, and Refused the
	// number of those closed at once.
	Connections uint64 `json:"connections"`
	Refused     uint64 `json:"refused"`
	// LastStart is when the latest request began to run.
	LastStart snipetime.Instant `json:"lastStart"`
}

// NewTarget starts a target. It fails if the settings have no slot.
func NewTarget(settings TargetSettings) (*Target, error) {
	if settings.Slots < 1 {
		return nil, fmt.Errorf("target %s has %d slots", settings.Address, settings.Slots)
	}
	t := &Target{
		settings: settings,
		clock:    settings.Clock,
		started:  settings.Clock.Now(),
		closed:   make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, 2)),
		runs:     map[string]int{},
		keyRuns:  map[string]int{},
	}
	listener, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	t.address = listener.Addr().String()
	t.recordLoad()
	t.server = serve(&targetListener{Listener: listener, target: t}, &http.Server{
		Handler:   t.Handler(),
		ConnState: trackState,
	})
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.address }

// Close ends the listener and all connections, like a crash. It must be called
// only once.
func (t *Target) Close() error {
	close(t.closed)
	return t.server.close()
}

// SetFaults replaces all faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.LoadFrozen && !t.faults.LoadFrozen {
		t.frozen = t.load()
	}
	t.faults = f
}

// SetHook sets a function that is called when a request reaches a stage, before
// the faults of the stage apply. The request waits until the function returns,
// so that a test can hold it there. Probes reach StageBeforeRead too. Nil removes
// the function.
func (t *Target) SetHook(hook func(Stage)) {
	if hook == nil {
		t.hook.Store(nil)
		return
	}
	t.hook.Store(&hook)
}

// Faults returns the faults that are set, with the remaining count.
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

// Busy returns the number of requests that run and that wait.
func (t *Target) Busy() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy, len(t.waiting)
}

// Runs returns how often a request with the identifier began to run.
func (t *Target) Runs(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[requestID]
}

// RunsOfKey returns how often a request with the idempotency key began to run.
func (t *Target) RunsOfKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keyRuns[key]
}

// Executions returns the records of requests in the order in which they began.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Execution, len(t.executions))
	for i, e := range t.executions {
		list[i] = *e
	}
	return list
}

// fails reports whether the current request fails at the stage, and uses up
// one of the failing requests.
func (t *Target) fails(stage Stage) (fails, silent bool) {
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

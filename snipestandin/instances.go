package snipestandin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Instance is one entry of the platform's list.
type Instance struct {
	// Address is the ip:port of a target, or the one that callers of an entry
	// instance connect to.
	Address string `json:"address" check:"required"`
	// PeerAddress is the ip:port that other instances connect to; it is empty
	// for a target.
	PeerAddress string `json:"peerAddress"`
	// Place is the name of the place that the instance is in.
	Place string `json:"place" check:"required"`
	// Role is entry or target, and State is live or leaving.
	Role  string `json:"role" check:"required,oneof=entry|target"`
	State string `json:"state" check:"required,oneof=live|leaving"`
}

// InstanceListFaults are the faults of an instance list. The zero value has no
// fault.
type InstanceListFaults struct {
	// Outage makes all calls fail.
	Outage Outage `check:"oneof=error|silent|close"`
	// Delay is added before each response.
	Delay time.Duration `check:"max=10m"`
}

// InstanceListSettings are the settings of a stand-in instance list.
type InstanceListSettings struct {
	// Address is the address to listen on; port 0 selects a free port.
	Address string
	// Clock measures the lag and the delay faults.
	Clock Clock
	// Lag is the time after which a change becomes visible.
	Lag time.Duration
	// Instances is the initial list, which is visible at once.
	Instances []Instance
}

// InstanceList is a stand-in for the platform's list of live and leaving
// instances. It is safe for concurrent use.
type InstanceList struct {
	clock  Clock
	lag    time.Duration
	server *server
	closed chan struct{}

	mu      sync.Mutex
	faults  InstanceListFaults
	changes []listChange
	calls   uint64
}

// listChange is a list that was set at an instant.
type listChange struct {
	at        snipetime.Instant
	instances []Instance
}

// NewInstanceList starts an instance list. It fails if it cannot listen on the
// address.
func NewInstanceList(settings InstanceListSettings) (*InstanceList, error) {
	l := &InstanceList{clock: settings.Clock, lag: settings.Lag, closed: make(chan struct{})}
	// Dated back by the lag, the initial list is visible at once.
	first := listChange{at: settings.Clock.Now().Add(-settings.Lag), instances: slices.Clone(settings.Instances)}
	l.changes = []listChange{first}
	listener, err := listen(settings.Address)
	if err != nil {
		return nil, err
	}
	l.server = serve(listener, &http.Server{Handler: l.Handler()})
	return l, nil
}

// Address returns the address that the list listens on.
func (l *InstanceList) Address() string { return l.server.address() }

// Close closes the listener and ends all calls. It must be called only once.
func (l *InstanceList) Close() error {
	close(l.closed)
	return l.server.close()
}

// SetInstances replaces the list. The change becomes visible after the lag.
func (l *InstanceList) SetInstances(instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: l.clock.Now(), instances: slices.Clone(instances)})
}

// SetState changes the state of the instance at the address. The change
// becomes visible after the lag. It reports false if there is no such instance.
func (l *InstanceList) SetState(address, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances := slices.Clone(l.changes[len(l.changes)-1].instances)
	i := slices.IndexFunc(instances, func(i Instance) bool { return i.Address == address })
	if i < 0 {
		return false
	}
	instances[i].State = state
	l.changes = append(l.changes, listChange{at: l.clock.Now(), instances: instances})
	return true
}

// SetFaults replaces all faults.
func (l *InstanceList) SetFaults(f InstanceListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Calls returns the number of requests for the list since the start, including
// those that failed. Control requests are not counted.
func (l *InstanceList) Calls() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Visible returns the list that the platform shows now, which is the newest one
// that is at least as old as the lag.
func (l *InstanceList) Visible() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.clock.Now().Add(-l.lag)
	for len(l.changes) > 1 && !l.changes[1].at.After(limit) {
		l.changes = l.changes[1:]
	}
	return slices.Clone(l.changes[0].instances)
}

// Handler returns the HTTP interface of the list.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.handleList)
	mux.HandleFunc("POST /standin/fault", l.handleFault)
	mux.HandleFunc("POST /standin/instances", l.handleSetInstances)
	return mux
}

// instancesWire is the JSON form of the list, in responses and control requests.
type instancesWire struct {
	Instances []Instance `json:"instances"`
}

func (l *InstanceList) handleList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	faults := l.faults
	l.mu.Unlock()
	if !sleep(r.Context(), l.clock, faults.Delay) {
		dropConnection()
	}
	switch faults.Outage {
	case OutageError:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	case OutageSilent:
		select {
		case <-r.Context().Done():
		case <-l.closed:
		}
		dropConnection()
	case OutageClose:
		dropConnection()
	case OutageNone:
	}
	writeJSON(w, http.StatusOK, instancesWire{Instances: l.Visible()})
}

func (l *InstanceList) handleFault(w http.ResponseWriter, r *http.Request) {
	var f InstanceListFaults
	if readControl(w, r, &f) {
		l.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (l *InstanceList) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	var list instancesWire
	if readControl(w, r, &list) {
		l.SetInstances(list.Instances)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

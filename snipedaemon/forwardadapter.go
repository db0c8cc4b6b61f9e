package snipedaemon

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/sniperoute"
)

// forwardAdapter implements the interfaces of snipeforward with the components
// of the daemon.
type forwardAdapter struct {
	d         *Daemon
	forwarder *snipeforward.Forwarder
	// lastAttempt is the number of the last relayed attempt.
	lastAttempt atomic.Uint64

	mu       sync.Mutex
	policies map[serviceKey]*lockedPolicy

	// boundedTargets holds the addresses of the targets whose connection pool
	// has a bound. Only reconcileNow accesses it.
	boundedTargets map[string]bool
}

// buildForwarding creates the request forwarder and the HTTP server for
// callers.
func (d *Daemon) buildForwarding(registry *prometheus.Registry) {
	f := &forwardAdapter{d: d, policies: make(map[serviceKey]*lockedPolicy)}
	d.forward = f
	f.forwarder = snipeforward.New(snipeforward.Dependencies{
		Clock: d.clock, Config: f, Planner: f, Limits: f, Slots: slotAdapter{f}, Targets: d.pools, Relays: f,
		Records: recordAdapter{f}, Policies: f, Lookups: f, Region: d.region, Incarnation: d.self.incarnation,
		Log: d.log,
	}, registry)
	d.node.HandleRelay(f.forwarder.ServeRelay)
	snipepeer.HandleCall(d.node, f.handleAttemptStatus)
	d.callerServer = f.forwarder.Server(d.Ready)
	d.callerServer.ErrorLog = d.serverLog()
}

// configure drops the retry policies of services that are no longer configured.
// The others keep their state.
func (f *forwardAdapter) configure(snapshot *snipeconfig.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.policies {
		if _, ok := snapshot.Service(key.team, key.service); !ok {
			delete(f.policies, key)
		}
	}
}

// setPoolBounds divides the connections that each target of the region permits
// evenly among the instances of the region. Pools of removed targets are
// dropped.
func (f *forwardAdapter) setPoolBounds(snapshot *snipeconfig.Snapshot, region string, instances int) {
	present := make(map[string]bool)
	for _, team := range snapshot.Teams() {
		for _, s := range team.Services() {
			t := s.Template()
			for _, target := range s.Targets() {
				if target.Place().Region().Name() == region {
					address := target.Address().String()
					present[address] = true
					f.d.pools.SetConnLimit(address, t.ConnectionsPerTarget()/max(instances, 1), t.ConnectCost())
				}
			}
		}
	}
	for address := range f.boundedTargets {
		if !present[address] {
			f.d.pools.Forget(address)
		}
	}
	f.boundedTargets = present
}

// refuseRequests refuses new requests of callers; those in flight continue.
func (f *forwardAdapter) refuseRequests() { f.forwarder.StopAccepting() }

// inFlight returns the number of requests of callers that have not ended.
func (f *forwardAdapter) inFlight() int { return f.forwarder.InFlight() }

// Generation implements snipeforward.Configuration.
func (f *forwardAdapter) Generation() uint64 { return f.d.config.generation() }

// Service implements snipeforward.Configuration.
func (f *forwardAdapter) Service(team, name string) (snipeforward.Service, *snipeforward.Refusal) {
	snapshot := f.d.config.current()
	if snapshot == nil {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "noConfiguration", RetryAfter: time.Second}
	}
	if _, ok := snapshot.Team(team); !ok {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "unknownTeam"}
	}
	s, ok := snapshot.Service(team, name)
	if !ok {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "unknownService"}
	}
	t := s.Template()
	return snipeforward.Service{
		Team: team, Name: name, Class: sniperetry.Class(t.Class().String()),
		DefaultTimeout: t.DefaultTimeout(), MaxTimeout: t.MaxTimeout(),
		MaxBody: t.MaxBodyBytes(), MaxHeader: t.MaxHeaderBytes(),
		RequestBytes: t.RequestBytes(), ResponseBytes: t.AnswerBytes(),
	}, nil
}

// RegionOf implements snipeforward.Configuration.
func (f *forwardAdapter) RegionOf(place string) string {
	if snapshot := f.d.config.current(); snapshot != nil {
		if p, ok := snapshot.Fleet().Place(place); ok {
			return p.Region().Name()
		}
	}
	return ""
}

// Home implements snipeforward.Configuration.
func (f *forwardAdapter) Home(team, name string, client netip.Addr) string {
	snapshot := f.d.config.current()
	if snapshot == nil {
		return ""
	}
	s, ok := snapshot.Service(team, name)
	if !ok {
		return ""
	}
	return f.d.lookup.homePlace(s, client)
}

// Plan implements snipeforward.Planner.
func (f *forwardAdapter) Plan(s snipeforward.Service, home string, buffer []snipeforward.Place) []snipeforward.Place {
	var candidates [16]sniperoute.PlaceCandidate
	for _, c := range f.d.planning.plan(s.Team, s.Name, home, candidates[:0]) {
		buffer = append(buffer, snipeforward.Place{
			Name: c.Place, Region: c.Region, NeedsShift: c.NeedsShift, NeedsLink: c.NeedsLink,
		})
	}
	return buffer
}

// Entries implements snipeforward.Lookups.
func (f *forwardAdapter) Entries(team, service string, block netip.Prefix) (snipeforward.LookupResponse, *snipeforward.Refusal) {
	var answer snipeforward.LookupResponse
	if _, refusal := f.Service(team, service); refusal != nil {
		return answer, refusal
	}
	s, ok := f.d.config.current().Service(team, service)
	if !ok {
		return answer, &snipeforward.Refusal{Reason: "unknownService"}
	}
	list, generation, prefix := f.d.lookup.entries(s, block, f.d.records.minter.Issue(f.d.clock.Now()))
	if list.Len() == 0 {
		return answer, &snipeforward.Refusal{Reason: "noEntry", RetryAfter: time.Second}
	}
	answer.Generation, answer.Prefix, answer.TimeToLive = generation, prefix, snipelookup.ResultTimeToLive
	for i := range list.Len() {
		e := list.At(i)
		answer.Entries = append(answer.Entries, snipeforward.Entry{Address: e.Address, Place: e.Place})
	}
	return answer, nil
}

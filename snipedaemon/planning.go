package snipedaemon

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
)

// serviceKey names a service of a team.
type serviceKey struct{ team, service string }

// loadReport is the newest load of a slot group and the time at which the owner
// measured it.
type loadReport struct {
	load       snipeslot.Load
	measuredAt snipetime.Instant
}

// servicePlanner is the planner of one service with the slot groups of each
// place.
type servicePlanner struct {
	mu      sync.Mutex
	planner *sniperoute.Planner
	groups  map[string][]string
}

// planning orders the places for a request by the load reports on their slot
// groups, and selects instances of other regions to relay requests to.
type planning struct {
	clock timer
	seed  uint64

	mu       sync.RWMutex
	region   string
	services map[serviceKey]*servicePlanner
	reports  map[string]loadReport
	random   *rand.Rand

	relayMu sync.Mutex
	relays  *sniperoute.Relays
}

func newPlanning(clock timer, seed uint64) *planning {
	return &planning{
		clock: clock, seed: seed,
		services: make(map[serviceKey]*servicePlanner),
		reports:  make(map[string]loadReport),
		random:   rand.New(rand.NewPCG(seed, 5)),
		relays:   sniperoute.NewRelays(rand.New(rand.NewPCG(seed, 6))),
	}
}

// configure replaces the services and their places. Places that remain keep
// their weights.
func (p *planning) configure(snapshot *snipeconfig.Snapshot, region string, members []snipemember.Member) error {
	fleet := snapshot.Fleet()
	delay := func(from, to string) time.Duration {
		a, okA := fleet.Place(from)
		b, okB := fleet.Place(to)
		if !okA || !okB {
			return 0
		}
		return fleet.Delay(a, b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.region = region
	services := make(map[serviceKey]*servicePlanner)
	for _, team := range snapshot.Teams() {
		for _, service := range team.Services() {
			key := serviceKey{team.Name(), service.Name()}
			sp, ok := p.services[key]
			if !ok {
				random := rand.New(rand.NewPCG(p.seed, uint64(len(services))))
				sp = &servicePlanner{planner: sniperoute.NewPlanner(sniperoute.PlannerSettings{}, region, random)}
			}
			services[key] = sp
			sp.mu.Lock()
			sp.groups = groupNamesByPlace(service)
			err := sp.planner.SetPlaces(plannerPlaces(snapshot, service, members), delay)
			sp.mu.Unlock()
			if err != nil {
				return fmt.Errorf("service %s/%s: %w", key.team, key.service, err)
			}
		}
	}
	p.services = services
	return nil
}

// groupNamesByPlace returns the names of a service's slot groups in each place.
func groupNamesByPlace(service *snipeconfig.Service) map[string][]string {
	groups := make(map[string][]string)
	for _, place := range service.Places() {
		groups[place.Name()] = groupNames(service.Team().Name(), service.Name(), place.Name(), service.TargetsIn(place.Name()))
	}
	return groups
}

// plannerPlaces returns all places of the fleet, because each can be the home
// of a request. A place is drained if all targets of the service in it are
// draining or if it has none.
func plannerPlaces(snapshot *snipeconfig.Snapshot, service *snipeconfig.Service, members []snipemember.Member) []sniperoute.Place {
	instances := make(map[string]int)
	for _, m := range members {
		if m.State == snipemember.Live {
			instances[m.Place]++
		}
	}
	now := time.Now()
	var places []sniperoute.Place
	for _, place := range snapshot.Fleet().Places() {
		drained := true
		for _, t := range service.TargetsIn(place.Name()) {
			drained = drained && snapshot.TargetDraining(service.Team(), t, now)
		}
		places = append(places, sniperoute.Place{
			Name: place.Name(), FailureDomain: place.Domain().Name(), Region: place.Region().Name(),
			Instances: instances[place.Name()], Drained: drained,
		})
	}
	return places
}

// recordLoad stores the load of a group that was measured age ago. It ignores a
// load that is older than the stored one.
func (p *planning) recordLoad(now snipetime.Instant, load snipeslot.Load, age time.Duration) {
	measuredAt := now.Add(-age)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.reports[load.Group]; ok && measuredAt.Before(old.measuredAt) {
		return
	}
	p.reports[load.Group] = loadReport{load: load, measuredAt: measuredAt}
}

// updateWeights passes the newest load of each place to the planners.
func (p *planning) updateWeights(now snipetime.Instant) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, sp := range p.services {
		sp.mu.Lock()
		for place, groups := range sp.groups {
			if load, ok := p.placeLoad(now, groups); ok {
				sp.planner.ObserveLoad(now, place, load)
			}
		}
		sp.mu.Unlock()
	}
}

// placeLoad returns the sum of the loads of a place's groups, with the age of
// the oldest. It reports false if the place has no group or a group has no load
// yet.
func (p *planning) placeLoad(now snipetime.Instant, groups []string) (sniperoute.LoadReport, bool) {
	var total sniperoute.LoadReport
	for _, g := range groups {
		r, ok := p.reports[g]
		if !ok {
			return total, false
		}
		total.Free += r.load.Free
		total.Total += r.load.Total
		total.Queued += r.load.Queued
		total.Age = max(total.Age, now.Sub(r.measuredAt))
	}
	return total, len(groups) > 0
}

// plan appends the places for a request to buffer in order of preference.
func (p *planning) plan(team, service, home string, buffer []sniperoute.PlaceCandidate) []sniperoute.PlaceCandidate {
	p.mu.RLock()
	sp, ok := p.services[serviceKey{team, service}]
	p.mu.RUnlock()
	if !ok {
		return buffer
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.planner.Plan(home, buffer)
}

// mostFreeGroup returns the slot group in a place that has the most free slots
// by the newest loads, and a random one among equals.
func (p *planning) mostFreeGroup(team, service, place string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp, ok := p.services[serviceKey{team, service}]
	if !ok {
		return "", false
	}
	sp.mu.Lock()
	groups := sp.groups[place]
	sp.mu.Unlock()
	if len(groups) == 0 {
		return "", false
	}
	start := p.random.IntN(len(groups))
	best := groups[start]
	for i := range groups {
		g := groups[(start+i)%len(groups)]
		if p.reports[g].load.Free > p.reports[best].load.Free {
			best = g
		}
	}
	return best, true
}

// setRelays replaces the instances of other regions that requests can be
// relayed to. own is the region of this instance.
func (p *planning) setRelays(members []snipemember.Member, own string) {
	var relays []sniperoute.Relay
	for _, m := range members {
		if m.Region == own || m.PeerAddress == "" || (m.State != snipemember.Live && m.State != snipemember.Leaving) {
			continue
		}
		relays = append(relays, sniperoute.Relay{
			Address: m.PeerAddress, Place: m.Place, Region: m.Region,
			Leaving: m.State == snipemember.Leaving || !m.Ready,
		})
	}
	p.relayMu.Lock()
	p.relays.SetInstances(relays)
	p.relayMu.Unlock()
}

// chooseRelay selects an instance of the region, preferably in the place, and
// counts a request to it as in flight.
func (p *planning) chooseRelay(region, place string) (string, bool) {
	p.relayMu.Lock()
	defer p.relayMu.Unlock()
	address, ok := p.relays.Choose(region, place, "")
	if ok {
		p.relays.Started(address)
	}
	return address, ok
}

// finishRelay ends a request that chooseRelay has counted.
func (p *planning) finishRelay(address string, ok bool, latency time.Duration) {
	p.relayMu.Lock()
	p.relays.Finished(address, ok, latency)
	p.relayMu.Unlock()
}

// relayRecovered clears the failure of an instance from which a heartbeat has
// arrived.
func (p *planning) relayRecovered(address string) {
	p.relayMu.Lock()
	p.relays.Recovered(address)
	p.relayMu.Unlock()
}

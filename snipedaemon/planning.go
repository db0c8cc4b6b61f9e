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

// groupReport is the newest load report on a slot group.
type groupReport struct {
	load snipeslot.Load
	at   snipetime.Instant
}

// servicePlan is the planner of one service with the groups of each place.
type servicePlan struct {
	mu      sync.Mutex
	planner *sniperoute.Planner
	groups  map[string][]string
}

// planning orders places for requests from load reports, and selects instances
// of other regions for relays.
type planning struct {
	clock timer
	seed  uint64

	mu       sync.RWMutex
	region   string
	services map[serviceKey]*servicePlan
	reports  map[string]groupReport
	random   *rand.Rand

	relayMu sync.Mutex
	relays  *sniperoute.Relays
}

func newPlanning(clock timer, seed uint64) *planning {
	return &planning{
		clock: clock, seed: seed,
		services: make(map[serviceKey]*servicePlan),
		reports:  make(map[string]groupReport),
		random:   rand.New(rand.NewPCG(seed, 5)),
		relays:   sniperoute.NewRelays(rand.New(rand.NewPCG(seed, 6))),
	}
}

// configure rebuilds the planners; weights of places that remain are kept.
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
	kept := make(map[serviceKey]*servicePlan)
	for _, team := range snapshot.Teams() {
		for _, service := range team.Services() {
			key := serviceKey{team.Name(), service.Name()}
			plan, ok := p.services[key]
			if !ok {
				random := rand.New(rand.NewPCG(p.seed, uint64(len(kept))))
				plan = &servicePlan{planner: sniperoute.NewPlanner(sniperoute.PlannerSettings{}, region, random)}
			}
			kept[key] = plan
			plan.mu.Lock()
			plan.groups = placeGroups(service)
			err := plan.planner.SetPlaces(placesOf(snapshot, service, members), delay)
			plan.mu.Unlock()
			if err != nil {
				return fmt.Errorf("service %s/%s: %w", key.team, key.service, err)
			}
		}
	}
	p.services = kept
	return nil
}

func placeGroups(service *snipeconfig.Service) map[string][]string {
	groups := make(map[string][]string)
	for _, place := range service.Places() {
		groups[place.Name()] = groupNames(service.Team().Name(), service.Name(), place.Name(), service.TargetsIn(place.Name()))
	}
	return groups
}

// placesOf returns all places of the fleet that can be homes of requests.
// Places without targets of the service are drained for it.
func placesOf(snapshot *snipeconfig.Snapshot, service *snipeconfig.Service, members []snipemember.Member) []sniperoute.Place {
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

// report takes the load of a group that is age old.
func (p *planning) report(now snipetime.Instant, load snipeslot.Load, age time.Duration) {
	at := now.Add(-age)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.reports[load.Group]; ok && at.Before(old.at) {
		return
	}
	p.reports[load.Group] = groupReport{load: load, at: at}
}

// tick moves the weights of all places by the newest reports.
func (p *planning) tick(now snipetime.Instant) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, plan := range p.services {
		plan.mu.Lock()
		for place, groups := range plan.groups {
			if load, ok := p.sum(now, groups); ok {
				plan.planner.Report(now, place, load)
			}
		}
		plan.mu.Unlock()
	}
}

// sum adds the reports on the groups of a place. Its age is that of the oldest.
func (p *planning) sum(now snipetime.Instant, groups []string) (sniperoute.Load, bool) {
	var total sniperoute.Load
	for _, g := range groups {
		r, ok := p.reports[g]
		if !ok {
			return total, false
		}
		total.Free += r.load.Free
		total.Total += r.load.Total
		total.Queued += r.load.Queued
		total.Age = max(total.Age, now.Sub(r.at))
	}
	return total, len(groups) > 0
}

// plan appends the places for a request in the order of preference.
func (p *planning) plan(team, service, home string, buffer []sniperoute.PlaceCandidate) []sniperoute.PlaceCandidate {
	p.mu.RLock()
	plan, ok := p.services[serviceKey{team, service}]
	p.mu.RUnlock()
	if !ok {
		return buffer
	}
	plan.mu.Lock()
	defer plan.mu.Unlock()
	return plan.planner.Plan(home, buffer)
}

// group returns the slot group of a place with the most free slots by the
// newest reports, a random one among equals.
func (p *planning) group(team, service, place string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan, ok := p.services[serviceKey{team, service}]
	if !ok {
		return "", false
	}
	plan.mu.Lock()
	groups := plan.groups[place]
	plan.mu.Unlock()
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

// setRelays replaces the entry instances of other regions.
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

// chooseRelay selects an instance of another region and counts a request to it.
func (p *planning) chooseRelay(region, place string) (string, bool) {
	p.relayMu.Lock()
	defer p.relayMu.Unlock()
	address, ok := p.relays.Choose(region, place, "")
	if ok {
		p.relays.Started(address)
	}
	return address, ok
}

// finishRelay ends a request counted by chooseRelay.
func (p *planning) finishRelay(address string, ok bool, latency time.Duration) {
	p.relayMu.Lock()
	p.relays.Finished(address, ok, latency)
	p.relayMu.Unlock()
}

// relayRecovered clears the failure of an instance whose session is up again.
func (p *planning) relayRecovered(address string) {
	p.relayMu.Lock()
	p.relays.Recovered(address)
	p.relayMu.Unlock()
}

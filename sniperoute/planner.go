package sniperoute

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Defaults of PlannerSettings.
const (
	DefaultStep         = 0.05
	DefaultStepInterval = 2 * time.Second
	DefaultReportStale  = 5 * time.Second
	DefaultFullShare    = 0.05
	DefaultSpareShare   = 0.2
	DefaultDelayScale   = 10 * time.Millisecond
)

// PlannerSettings are the parameters of a Planner. Zero fields mean defaults.
type PlannerSettings struct {
	// Step is the largest change of a weight per report.
	Step float64
	// StepInterval is the shortest time between two steps of a place. It is the
	// lag of reports, so that a step follows the effect of the one before.
	StepInterval time.Duration
	// ReportStale is the age from which a report does not move weights.
	ReportStale time.Duration
	// FullShare is the share of free slots below which a place passes requests
	// on and accepts fewer.
	FullShare float64
	// SpareShare is the share of free slots above which a place takes requests
	// back and accepts more.
	SpareShare float64
	// DelayScale is the delay that halves the weight of another place.
	DelayScale time.Duration
}

func (s PlannerSettings) withDefaults() PlannerSettings {
	s.Step = cmp.Or(s.Step, DefaultStep)
	s.StepInterval = cmp.Or(s.StepInterval, DefaultStepInterval)
	s.ReportStale = cmp.Or(s.ReportStale, DefaultReportStale)
	s.FullShare = cmp.Or(s.FullShare, DefaultFullShare)
	s.SpareShare = cmp.Or(s.SpareShare, DefaultSpareShare)
	s.DelayScale = cmp.Or(s.DelayScale, DefaultDelayScale)
	return s
}

// Place is a place with targets of the service.
type Place struct {
	Name, FailureDomain, Region string
	// Instances is the number of live entry instances in the place.
	Instances int
	// Drained places receive no request.
	Drained bool
}

// Load is the sum of the reports on the slot groups of a service in a place.
type Load struct {
	Free, Total, Queued int
	// Age is the time since the owner took the numbers.
	Age time.Duration
}

// PlaceCandidate is one place of a plan.
type PlaceCandidate struct {
	Place, Region string
	// NeedsShift is set if the place is not the home place.
	NeedsShift bool
	// NeedsLink is set if the region is not that of the planning instance.
	NeedsLink bool
}

type placeState struct {
	place    Place
	usable   bool
	reported bool
	taken    snipetime.Instant // when the owner took the latest report
	stepped  snipetime.Instant
	// keep is the share of its own requests that the place serves.
	keep float64
	// accept weighs the place as an alternative for others.
	accept float64
}

// tier is a range of alternatives that are equally close in the order of
// failure domain, region and other regions.
type tier struct {
	from, to int
}

type homePlan struct {
	// others holds the indices of the other places by tier, then by delay.
	others []uint16
	factor []float32 // weight by delay, parallel to others
	tiers  []tier
}

// Planner orders places for the requests of one team and service.
type Planner struct {
	settings PlannerSettings
	region   string
	random   *rand.Rand
	places   []placeState
	index    map[string]int
	homes    []homePlan
}

// NewPlanner returns a planner for an instance in region without places. It
// panics if random is nil.
func NewPlanner(settings PlannerSettings, region string, random *rand.Rand) *Planner {
	if random == nil {
		panic("sniperoute: no random source")
	}
	return &Planner{settings: settings.withDefaults(), region: region, random: random, index: map[string]int{}}
}

// withoutWeight is the number of places that a plan names without regard to
// their weights.
const withoutWeight = 2

// maximumPlaces bounds the places, whose indices are kept in 16 bits.
const maximumPlaces = 1 << 16

// SetPlaces replaces the places and keeps the weights of those that remain.
// delay returns the one-way delay between two places. It fails on a repeated
// name and on more than 65,536 places.
func (p *Planner) SetPlaces(places []Place, delay func(from, to string) time.Duration) error {
	if len(places) > maximumPlaces {
		return fmt.Errorf("%d places, at most %d are supported", len(places), maximumPlaces)
	}
	live := map[string]int{}
	index := make(map[string]int, len(places))
	states := make([]placeState, len(places))
	for i, place := range places {
		if _, repeated := index[place.Name]; repeated {
			return fmt.Errorf("place %q is given twice", place.Name)
		}
		index[place.Name] = i
		live[place.Region] += place.Instances
		states[i] = placeState{keep: 1, accept: p.settings.Step}
		if old, ok := p.index[place.Name]; ok {
			states[i] = p.places[old]
		}
		states[i].place = place
	}
	for i := range states {
		pl := &states[i].place
		states[i].usable = !pl.Drained && (pl.Region == p.region || live[pl.Region] > 0)
	}
	p.places, p.index = states, index
	p.homes = make([]homePlan, len(states))
	for i := range states {
		p.homes[i] = p.planHome(i, delay)
	}
	return nil
}

func (p *Planner) planHome(home int, delay func(from, to string) time.Duration) homePlan {
	h := &p.places[home].place
	others := make([]int, 0, len(p.places))
	delays := make([]time.Duration, len(p.places))
	for i := range p.places {
		if i != home && p.places[i].usable {
			others = append(others, i)
			delays[i] = delay(h.Name, p.places[i].place.Name)
		}
	}
	distance := func(i int) int {
		o := &p.places[i].place
		switch {
		case o.Region != h.Region:
			return 2
		case o.FailureDomain != h.FailureDomain:
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(others, func(a, b int) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(delays[a], delays[b]))
	})
	var plan homePlan
	for n, i := range others {
		if n == 0 || distance(i) != distance(others[n-1]) {
			plan.tiers = append(plan.tiers, tier{from: n, to: n})
		}
		plan.tiers[len(plan.tiers)-1].to = n + 1
		plan.others = append(plan.others, uint16(i))
		factor := 1 / (1 + float64(delays[i])/float64(p.settings.DelayScale))
		plan.factor = append(plan.factor, float32(factor))
	}
	return plan
}

// Report moves the weights of a place by at most one step each, in the
// direction of the report. It does nothing if the report is stale, is not newer
// than the one before, or follows a step by less than the step interval.
func (p *Planner) Report(now snipetime.Instant, place string, l Load) {
	i, ok := p.index[place]
	if !ok || l.Total <= 0 || l.Age >= p.settings.ReportStale {
		return
	}
	s := &p.places[i]
	taken := now.Add(-l.Age)
	if s.reported && !taken.After(s.taken) {
		return
	}
	// A report taken before the effect of the last step could show would let
	// the same overload be counted twice.
	early := s.reported && taken.Sub(s.stepped) < p.settings.StepInterval
	s.reported, s.taken = true, taken
	if early {
		return
	}
	s.stepped = now
	free := float64(l.Free) / float64(l.Total)
	switch {
	case l.Queued > 0 || free < p.settings.FullShare:
		s.accept = max(s.accept-2*p.settings.Step, 0)
		if p.mayGrow(now, i) {
			s.keep = max(s.keep-p.settings.Step, 0)
		}
	case free > p.settings.SpareShare:
		s.accept = min(s.accept+p.settings.Step, free)
		s.keep = min(s.keep+p.settings.Step, 1)
	}
}

// mayGrow reports whether home may pass on a larger share: the tier that would
// receive it must have weight, and every place in it with weight a fresh report.
func (p *Planner) mayGrow(now snipetime.Instant, home int) bool {
	plan := &p.homes[home]
	for _, t := range plan.tiers {
		weighted := false
		for _, o := range plan.others[t.from:t.to] {
			s := &p.places[o]
			if s.accept <= 0 {
				continue
			}
			if !p.fresh(now, s) {
				return false
			}
			weighted = true
		}
		if weighted {
			return true
		}
	}
	return false
}

func (p *Planner) fresh(now snipetime.Instant, s *placeState) bool {
	return s.reported && now.Sub(s.taken) < p.settings.ReportStale
}

// Weights returns the share of its own requests that a place keeps, and its
// weight as an alternative. It reports false for an unknown place.
func (p *Planner) Weights(place string) (keep, accept float64, ok bool) {
	i, ok := p.index[place]
	if !ok {
		return 0, 0, false
	}
	return p.places[i].keep, p.places[i].accept, true
}

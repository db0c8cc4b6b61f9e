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
	DefaultStep          = 0.05
	DefaultStepInterval  = 2 * time.Second
	DefaultMaxReportAge  = 5 * time.Second
	DefaultLowFreeShare  = 0.05
	DefaultHighFreeShare = 0.2
	DefaultDelayScale    = 10 * time.Millisecond
)

// PlannerSettings are the parameters of a Planner. Zero fields mean defaults.
type PlannerSettings struct {
	// Step is the largest change per report of the share of its requests that a
	// place keeps, from 0 to 1. The weight of the place as an alternative rises
	// by at most one step and falls by two.
	Step float64
	// StepInterval is the shortest time between two steps of a place. It equals
	// the lag of reports, so that each step is based on a report that shows the
	// effect of the step before.
	StepInterval time.Duration
	// MaxReportAge is the age from which a report is ignored.
	MaxReportAge time.Duration
	// LowFreeShare is the share of free slots, from 0 to 1, below which a place
	// sends more of its requests to other places and receives fewer from them.
	LowFreeShare float64
	// HighFreeShare is the share of free slots, from 0 to 1, above which a place
	// serves more of its own requests and receives more from other places.
	HighFreeShare float64
	// DelayScale is the one-way delay that halves the weight of another place.
	DelayScale time.Duration
}

func (s PlannerSettings) withDefaults() PlannerSettings {
	s.Step = cmp.Or(s.Step, DefaultStep)
	s.StepInterval = cmp.Or(s.StepInterval, DefaultStepInterval)
	s.MaxReportAge = cmp.Or(s.MaxReportAge, DefaultMaxReportAge)
	s.LowFreeShare = cmp.Or(s.LowFreeShare, DefaultLowFreeShare)
	s.HighFreeShare = cmp.Or(s.HighFreeShare, DefaultHighFreeShare)
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

// LoadReport is the sum of the reported loads of the slot groups of a service in a
// place.
type LoadReport struct {
	// Free and Total count slots, Queued counts requests that wait for one.
	Free, Total, Queued int
	// Age is the time since the owner of the slots measured the load.
	Age time.Duration
}

// PlaceCandidate is one place of a plan.
type PlaceCandidate struct {
	Place, Region string
	// NeedsShift is set if the place is not the home place of the request.
	NeedsShift bool
	// NeedsLink is set if the region is not that of the planning instance.
	NeedsLink bool
}

type placeState struct {
	place    Place
	usable   bool
	reported bool
	measured snipetime.Instant // when the owner measured the load of the latest report
	lastStep snipetime.Instant
	// ownShare is the share of the requests with this home place that the place
	// serves itself, from 0 to 1.
	ownShare float64
	// spillWeight is the weight of the place as an alternative for the requests
	// of other places, from 0 to 1.
	spillWeight float64
}

// tier is a range of alternatives at the same distance from the home place: in
// the same failure domain, in the same region or in another region.
type tier struct {
	from, to int
}

// alternatives holds the places that can serve requests of one home place
// instead of it.
type alternatives struct {
	// places holds the indices of the places, by tier and then by delay.
	places      []uint16
	delayFactor []float32 // weight by delay, parallel to places
	tiers       []tier
}

// Planner orders places for the requests of one team and service.
type Planner struct {
	settings     PlannerSettings
	region       string
	random       *rand.Rand
	places       []placeState
	index        map[string]int
	alternatives []alternatives
}

// NewPlanner returns a planner for an instance in region without places. It
// panics if random is nil.
func NewPlanner(settings PlannerSettings, region string, random *rand.Rand) *Planner {
	if random == nil {
		panic("sniperoute: no random source")
	}
	return &Planner{settings: settings.withDefaults(), region: region, random: random, index: map[string]int{}}
}

// maxUnweighted bounds the places that a plan includes without regard to their
// weights.
const maxUnweighted = 2

// maxPlaces bounds the places, whose indices are stored in 16 bits.
const maxPlaces = 1 << 16

// SetPlaces replaces the places and keeps the weights of those that remain.
// delay returns the one-way delay between two places. It fails on a repeated
// name and on more than 65,536 places.
func (p *Planner) SetPlaces(places []Place, delay func(from, to string) time.Duration) error {
	if len(places) > maxPlaces {
		return fmt.Errorf("%d places, at most %d are supported", len(places), maxPlaces)
	}
	liveInstances := map[string]int{}
	index := make(map[string]int, len(places))
	states := make([]placeState, len(places))
	for i, place := range places {
		if _, repeated := index[place.Name]; repeated {
			return fmt.Errorf("place %q is given twice", place.Name)
		}
		index[place.Name] = i
		liveInstances[place.Region] += place.Instances
		states[i] = placeState{ownShare: 1, spillWeight: p.settings.Step}
		if old, ok := p.index[place.Name]; ok {
			states[i] = p.places[old]
		}
		states[i].place = place
	}
	for i := range states {
		pl := &states[i].place
		states[i].usable = !pl.Drained && (pl.Region == p.region || liveInstances[pl.Region] > 0)
	}
	p.places, p.index = states, index
	p.alternatives = make([]alternatives, len(states))
	for i := range states {
		p.alternatives[i] = p.alternativesOf(i, delay)
	}
	return nil
}

func (p *Planner) alternativesOf(home int, delay func(from, to string) time.Duration) alternatives {
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
	var alts alternatives
	for n, i := range others {
		if n == 0 || distance(i) != distance(others[n-1]) {
			alts.tiers = append(alts.tiers, tier{from: n, to: n})
		}
		alts.tiers[len(alts.tiers)-1].to = n + 1
		alts.places = append(alts.places, uint16(i))
		delayFactor := 1 / (1 + float64(delays[i])/float64(p.settings.DelayScale))
		alts.delayFactor = append(alts.delayFactor, float32(delayFactor))
	}
	return alts
}

// ObserveLoad adjusts the weights of a place to a load report. If the place is
// full, its weight as an alternative falls by two steps and the share of its
// own requests that it keeps by one, the latter only while other places can
// receive more. If it has spare slots, both rise by one step; the weight rises
// at most to the share of free slots. ObserveLoad changes no weight if the place
// is unknown, if the report is stale or not newer than the one before, or if its
// load was measured less than the step interval after the last step.
func (p *Planner) ObserveLoad(now snipetime.Instant, place string, l LoadReport) {
	i, ok := p.index[place]
	if !ok || l.Total <= 0 || l.Age >= p.settings.MaxReportAge {
		return
	}
	s := &p.places[i]
	measured := now.Add(-l.Age)
	if s.reported && !measured.After(s.measured) {
		return
	}
	// A report whose load was measured before the last step took effect would
	// count the same overload twice.
	tooEarly := s.reported && measured.Sub(s.lastStep) < p.settings.StepInterval
	s.reported, s.measured = true, measured
	if tooEarly {
		return
	}
	s.lastStep = now
	free := float64(l.Free) / float64(l.Total)
	switch {
	case l.Queued > 0 || free < p.settings.LowFreeShare:
		s.spillWeight = max(s.spillWeight-2*p.settings.Step, 0)
		if p.canSpill(now, i) {
			s.ownShare = max(s.ownShare-p.settings.Step, 0)
		}
	case free > p.settings.HighFreeShare:
		s.spillWeight = min(s.spillWeight+p.settings.Step, free)
		s.ownShare = min(s.ownShare+p.settings.Step, 1)
	}
}

// canSpill reports whether home may send a larger share of its requests to other
// places. The nearest tier with weight would receive them; every place in it
// with weight must have a fresh report.
func (p *Planner) canSpill(now snipetime.Instant, home int) bool {
	alts := &p.alternatives[home]
	for _, t := range alts.tiers {
		weighted := false
		for _, o := range alts.places[t.from:t.to] {
			s := &p.places[o]
			if s.spillWeight <= 0 {
				continue
			}
			if !p.hasFreshReport(now, s) {
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

func (p *Planner) hasFreshReport(now snipetime.Instant, s *placeState) bool {
	return s.reported && now.Sub(s.measured) < p.settings.MaxReportAge
}

// Weights returns the share of its own requests that a place serves and its
// weight as an alternative for other places, both from 0 to 1. It reports false
// for an unknown place.
func (p *Planner) Weights(place string) (ownShare, spillWeight float64, ok bool) {
	i, ok := p.index[place]
	if !ok {
		return 0, 0, false
	}
	return p.places[i].ownShare, p.places[i].spillWeight, true
}

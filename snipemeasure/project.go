package snipemeasure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipeslot"
)

const (
	heartbeat     = 500 * time.Millisecond
	ownerTick     = 50 * time.Millisecond
	maximumPlaces = 4 // places that one request tries
)

// project drives the decision code of this repository. A request asks the
// owners of its planned places for a free slot in turn, and if there is none it
// queues at the one with the shortest expected wait.
type project struct {
	m        *model
	owners   []*snipeslot.Owner
	choosers []*sniperoute.Chooser
	planners []*sniperoute.Planner
	retries  []*sniperetry.Policy
	places   map[string]int
	calls    map[string]*call
	calling  int
	holders  []*snipeslot.Holder // by entry instance
}

// call is a request of the project's policy.
type call struct {
	*request
	attempts int
	plan     []sniperoute.PlaceCandidate
	tried    int
	best     int // place with the shortest expected wait
	bestWait time.Duration
	queueing bool
}

func newProject(m *model, seed uint64) (*project, error) {
	s := m.settings
	p := &project{
		m: m, places: map[string]int{}, calls: map[string]*call{},
	}
	var members []snipeslot.Member
	for i := range s.Entries {
		members = append(members, snipeslot.Member{Address: fmt.Sprint("entry-", i), Incarnation: "1"})
		p.holders = append(p.holders, snipeslot.NewHolder(members[i], 0))
	}
	var places []sniperoute.Place
	for i := range s.Places {
		name := fmt.Sprint("place-", i)
		p.places[name] = i
		places = append(places, sniperoute.Place{Name: name, FailureDomain: name, Region: "region", Instances: 1})
		chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(seed, uint64(i))))
		settings := snipeslot.Settings{Group: name, Epoch: 1}
		owner := snipeslot.NewOwner(settings, chooser, 0)
		owner.SetLease(1 << 62)
		owner.SetMembers(0, members)
		for j, member := range members {
			p.holders[j].OwnerChanged(name, 1)
			owner.Renew(0, snipeslot.Renew{Group: name, From: member, Epoch: 1, Sequence: 1})
		}
		p.choosers = append(p.choosers, chooser)
		p.owners = append(p.owners, owner)
	}
	p.configure()
	delay := func(string, string) time.Duration { return s.ControlDelay }
	for i := range s.Entries {
		random := rand.New(rand.NewPCG(seed+1, uint64(i)))
		planner := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "region", random)
		if err := planner.SetPlaces(places, delay); err != nil {
			return nil, fmt.Errorf("places of the model: %w", err)
		}
		p.planners = append(p.planners, planner)
		p.retries = append(p.retries, sniperetry.NewPolicy(sniperetry.Settings{}, random, 0))
	}
	m.every(ownerTick, func() {
		for i, o := range p.owners {
			p.answerAll(i, o.Tick(m.now))
		}
	})
	m.every(heartbeat, p.report)
	m.every(heartbeat, p.renew)
	return p, nil
}

func address(index int) string { return strconv.Itoa(index) }

// configure passes the targets to the owners.
func (p *project) configure() {
	targets := make([][]snipeslot.Target, len(p.owners))
	for _, b := range p.m.backends {
		targets[b.place] = append(targets[b.place], snipeslot.Target{Address: address(b.index), Slots: b.slots, Draining: b.draining})
	}
	for i, o := range p.owners {
		p.answerAll(i, o.Configure(p.m.now, targets[i]))
	}
}

func (p *project) change() {
	switch p.m.scenario {
	case Drained:
		p.configure()
	case Cold:
		b := p.m.changed()
		p.choosers[b.place].SetCold(p.m.now, address(b.index))
	default:
	}
}

// report sends the owners' load to all planners; it arrives one heartbeat later.
func (p *project) report() {
	for i, o := range p.owners {
		l := o.Load()
		load := sniperoute.Load{Free: l.Free, Total: l.Total, Queued: l.Queued, Age: heartbeat}
		p.m.after(heartbeat, func() {
			for _, planner := range p.planners {
				planner.Report(p.m.now, placeName(i), load)
			}
		})
	}
}

// renew prolongs the running grants of all entry instances.
func (p *project) renew() {
	sent := p.m.now
	for _, h := range p.holders {
		for _, list := range h.Renewals() {
			place := p.places[list.Group]
			p.m.after(p.m.settings.ControlDelay, func() {
				reply, replies := p.owners[place].Renew(p.m.now, list)
				p.answerAll(place, replies)
				p.m.after(p.m.settings.ControlDelay, func() {
					if cancel := h.Renewed(sent, list, reply); len(cancel) > 0 {
						panic("snipemeasure: running attempts without a grant: " + strings.Join(cancel, ", "))
					}
				})
			})
		}
	}
}

func placeName(i int) string { return fmt.Sprint("place-", i) }

func (p *project) arrive(r *request) {
	p.retries[r.entry].FirstAttempt(p.m.now)
	p.start(&call{request: r})
}

// start begins an attempt with a new plan.
func (p *project) start(c *call) {
	c.attempts++
	c.tried, c.queueing, c.bestWait = 0, false, 1<<62
	buffer := make([]sniperoute.PlaceCandidate, 0, maximumPlaces)
	c.plan = p.planners[c.entry].Plan(placeName(c.place), buffer)
	p.acquire(c)
}

// acquire asks the next place for a free slot, or queues when all were asked.
func (p *project) acquire(c *call) {
	remaining := p.m.settings.Timeout - p.m.now.Sub(c.arrived)
	a := snipeslot.Acquire{Budget: remaining}
	place := c.best
	if c.tried < len(c.plan) {
		place = p.places[c.plan[c.tried].Place]
		c.tried++
		if c.tried == len(c.plan) && c.tried > 1 {
			// The last place queues the request if none before had a shorter wait,
			// which saves a further message to it.
			a.MaximumWait, a.MaximumExpected = remaining, max(c.bestWait, 1)
		}
	} else {
		c.queueing = true
		a.MaximumWait = remaining
	}
	p.calling++
	a.AttemptID = strconv.Itoa(p.calling)
	a.Group = placeName(place)
	p.calls[a.AttemptID] = c
	a, ok := p.holders[c.entry].Begin(p.m.now, a)
	if !ok {
		panic("snipemeasure: attempt " + a.AttemptID + " exists already")
	}
	p.m.after(p.m.settings.ControlDelay, func() {
		p.answer(place, p.owners[place].Acquire(p.m.now, a))
	})
}

func (p *project) answerAll(place int, replies []snipeslot.Reply) {
	for _, r := range replies {
		p.answer(place, r)
	}
}

// answer carries a reply to its entry instance.
func (p *project) answer(place int, r snipeslot.Reply) {
	c := p.calls[r.AttemptID]
	p.m.after(p.m.settings.ControlDelay, func() {
		verdict, release := p.holders[c.entry].Answer(p.m.now, r)
		switch verdict {
		case snipeslot.Start:
			p.run(c, place, r.AttemptID, r.Target)
		case snipeslot.Return:
			p.release(place, release)
		case snipeslot.Refuse:
			p.refused(c, place, r)
		default:
		}
	})
}

func (p *project) release(place int, r snipeslot.Release) {
	p.m.after(p.m.settings.ControlDelay, func() { p.answerAll(place, p.owners[place].Release(p.m.now, r)) })
}

func (p *project) refused(c *call, place int, r snipeslot.Reply) {
	if !c.queueing {
		if r.RetryAfter < c.bestWait {
			c.best, c.bestWait = place, r.RetryAfter
		}
		p.acquire(c)
		return
	}
	d := p.retries[c.entry].Decide(p.m.now, sniperetry.Event{
		Class: sniperetry.Safe, Failure: sniperetry.NoSlot, Attempts: c.attempts,
		Deadline: c.arrived.Add(p.m.settings.Timeout), RetryAfter: r.RetryAfter,
	})
	if d.Action != sniperetry.Retry {
		p.m.refuse()
		return
	}
	p.m.cell.Retries++
	p.m.after(d.Delay, func() { p.start(c) })
}

// run sends the attempt to its target. The target has a free slot, unless the
// owner broke its bound.
func (p *project) run(c *call, place int, attemptID, target string) {
	index, err := strconv.Atoi(target)
	if err != nil {
		panic("snipemeasure: grant for an unknown target: " + target)
	}
	b := p.m.backends[index]
	if b.busy >= b.slots {
		p.m.cell.Overloads++
	}
	c.complete = func(service time.Duration) {
		p.m.finish(c.request)
		p.finished(c, place, attemptID, service)
	}
	p.m.submit(b, c.request)
}

// finished passes the slot on at the entry instance or releases it.
func (p *project) finished(c *call, place int, attemptID string, service time.Duration) {
	holder := p.holders[c.entry]
	release, next, ok := holder.HandOver(p.m.now, attemptID, service)
	if ok {
		p.run(p.calls[next.AttemptID], place, next.AttemptID, next.Target)
	} else {
		release, _ = holder.Finish(attemptID, snipeslot.OutcomeDone, service)
	}
	p.release(place, release)
}

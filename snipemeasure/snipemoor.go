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
	heartbeatInterval = 500 * time.Millisecond // between load reports and between renewals
	ownerTickInterval = 50 * time.Millisecond  // between calls of Owner.Tick
	maxPlacesPerPlan  = 4                      // places that one attempt asks
)

// snipemoorPolicy runs the decision code of snipemoor. An attempt asks the owners of
// its planned places for a free slot in turn. If none has one, it queues at the
// owner with the shortest expected wait. Owners and choosers are indexed by place;
// planners, retry policies and holders by entry instance; requests by the identifier
// that each message for a slot has.
type snipemoorPolicy struct {
	sim           *simulation
	owners        []*snipeslot.Owner
	choosers      []*sniperoute.Chooser
	planners      []*sniperoute.Planner
	retryPolicies []*sniperetry.Policy
	places        map[string]int
	requests      map[string]*pendingRequest
	attemptCount  int
	holders       []*snipeslot.Holder
}

// pendingRequest is a request with the number of its attempts and the state of the
// current one: the plan, the number of places that were asked, and whether it waits
// in a queue.
type pendingRequest struct {
	*request
	attempts  int
	plan      []sniperoute.PlaceCandidate
	asked     int
	bestPlace int // place with the shortest expected wait
	bestWait  time.Duration
	queueing  bool
}

func newSnipemoorPolicy(sim *simulation, seed uint64) (*snipemoorPolicy, error) {
	s := sim.settings
	p := &snipemoorPolicy{
		sim: sim, places: map[string]int{}, requests: map[string]*pendingRequest{},
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
	p.configureOwners()
	delay := func(string, string) time.Duration { return s.ControlDelay }
	for i := range s.Entries {
		random := rand.New(rand.NewPCG(seed+1, uint64(i)))
		planner := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "region", random)
		if err := planner.SetPlaces(places, delay); err != nil {
			return nil, fmt.Errorf("set places of the simulation: %w", err)
		}
		p.planners = append(p.planners, planner)
		p.retryPolicies = append(p.retryPolicies, sniperetry.NewPolicy(sniperetry.Settings{}, random, 0))
	}
	sim.scheduleEvery(ownerTickInterval, func() {
		for i, o := range p.owners {
			p.deliverReplies(i, o.Tick(sim.now))
		}
	})
	sim.scheduleEvery(heartbeatInterval, p.reportLoad)
	sim.scheduleEvery(heartbeatInterval, p.renewGrants)
	return p, nil
}

// targetAddress returns the address by which the policy identifies a target.
func targetAddress(index int) string { return strconv.Itoa(index) }

// configureOwners passes the present targets of each place to its owner.
func (p *snipemoorPolicy) configureOwners() {
	targets := make([][]snipeslot.Target, len(p.owners))
	for _, t := range p.sim.targets {
		targets[t.place] = append(targets[t.place], snipeslot.Target{Address: targetAddress(t.index), Slots: t.slots, Draining: t.draining})
	}
	for i, o := range p.owners {
		p.deliverReplies(i, o.Configure(p.sim.now, targets[i]))
	}
}

// scenarioChanged passes a drain or a cold start to the owner of the affected target.
func (p *snipemoorPolicy) scenarioChanged() {
	switch p.sim.scenario {
	case Drained:
		p.configureOwners()
	case Cold:
		t := p.sim.affectedTarget()
		p.choosers[t.place].SetCold(p.sim.now, targetAddress(t.index))
	default:
	}
}

// reportLoad sends the load of the owners to all planners, where it arrives one
// heartbeat later.
func (p *snipemoorPolicy) reportLoad() {
	for i, o := range p.owners {
		l := o.Load()
		load := sniperoute.LoadReport{Free: l.Free, Total: l.Total, Queued: l.Queued, Age: heartbeatInterval}
		p.sim.scheduleAfter(heartbeatInterval, func() {
			for _, planner := range p.planners {
				planner.ObserveLoad(p.sim.now, placeName(i), load)
			}
		})
	}
}

// renewGrants renews the grants of the running attempts of all entry instances.
func (p *snipemoorPolicy) renewGrants() {
	sent := p.sim.now
	for _, h := range p.holders {
		for _, list := range h.Renewals() {
			place := p.places[list.Group]
			p.sim.scheduleAfter(p.sim.settings.ControlDelay, func() {
				reply, replies := p.owners[place].Renew(p.sim.now, list)
				p.deliverReplies(place, replies)
				p.sim.scheduleAfter(p.sim.settings.ControlDelay, func() {
					if cancel := h.HandleRenewReply(sent, list, reply); len(cancel) > 0 {
						panic("snipemeasure: running attempts without a grant: " + strings.Join(cancel, ", "))
					}
				})
			})
		}
	}
}

func placeName(i int) string { return fmt.Sprint("place-", i) }

func (p *snipemoorPolicy) arrive(r *request) {
	p.retryPolicies[r.entry].FirstAttempt(p.sim.now)
	p.startAttempt(&pendingRequest{request: r})
}

// startAttempt begins an attempt with a new plan.
func (p *snipemoorPolicy) startAttempt(pr *pendingRequest) {
	pr.attempts++
	pr.asked, pr.queueing, pr.bestWait = 0, false, 1<<62
	buffer := make([]sniperoute.PlaceCandidate, 0, maxPlacesPerPlan)
	pr.plan = p.planners[pr.entry].Plan(placeName(pr.place), buffer)
	p.acquireSlot(pr)
}

// acquireSlot asks the owner of the next planned place for a free slot. When all
// have been asked, it queues at the owner with the shortest expected wait.
func (p *snipemoorPolicy) acquireSlot(pr *pendingRequest) {
	remaining := p.sim.settings.Timeout - p.sim.now.Sub(pr.arrived)
	a := snipeslot.Acquire{Budget: remaining}
	place := pr.bestPlace
	if pr.asked < len(pr.plan) {
		place = p.places[pr.plan[pr.asked].Place]
		pr.asked++
		if pr.asked == len(pr.plan) && pr.asked > 1 {
			// The owner of the last place may queue the request at once if its expected
			// wait is the shortest, which saves another message.
			a.MaximumWait, a.MaximumExpected = remaining, max(pr.bestWait, 1)
		}
	} else {
		pr.queueing = true
		a.MaximumWait = remaining
	}
	p.attemptCount++
	a.AttemptID = strconv.Itoa(p.attemptCount)
	a.Group = placeName(place)
	p.requests[a.AttemptID] = pr
	a, ok := p.holders[pr.entry].Begin(p.sim.now, a)
	if !ok {
		panic("snipemeasure: attempt " + a.AttemptID + " exists already or its group has no owner")
	}
	p.sim.scheduleAfter(p.sim.settings.ControlDelay, func() {
		p.deliverReply(place, p.owners[place].Acquire(p.sim.now, a))
	})
}

// deliverReplies sends the replies of the owner of a place.
func (p *snipemoorPolicy) deliverReplies(place int, replies []snipeslot.Reply) {
	for _, r := range replies {
		p.deliverReply(place, r)
	}
}

// deliverReply sends a reply of an owner to the entry instance of the attempt, which
// then starts the attempt, releases the slot or handles the refusal.
func (p *snipemoorPolicy) deliverReply(place int, r snipeslot.Reply) {
	pr := p.requests[r.AttemptID]
	p.sim.scheduleAfter(p.sim.settings.ControlDelay, func() {
		action, release := p.holders[pr.entry].HandleReply(p.sim.now, r)
		switch action {
		case snipeslot.ActionStart:
			p.sendToTarget(pr, place, r.AttemptID, r.Target)
		case snipeslot.ReturnGrant:
			p.releaseSlot(place, release)
		case snipeslot.ActionRefuse:
			p.handleRefusal(pr, place, r)
		default:
		}
	})
}

// releaseSlot sends a release to the owner of a place, which may grant the slot to
// queued requests.
func (p *snipemoorPolicy) releaseSlot(place int, r snipeslot.Release) {
	p.sim.scheduleAfter(p.sim.settings.ControlDelay, func() { p.deliverReplies(place, p.owners[place].Release(p.sim.now, r)) })
}

// handleRefusal asks the next place. If the request was refused in a queue, it is
// retried later or refused.
func (p *snipemoorPolicy) handleRefusal(pr *pendingRequest, place int, r snipeslot.Reply) {
	if !pr.queueing {
		if r.RetryAfter < pr.bestWait {
			pr.bestPlace, pr.bestWait = place, r.RetryAfter
		}
		p.acquireSlot(pr)
		return
	}
	d := p.retryPolicies[pr.entry].Decide(p.sim.now, sniperetry.RequestState{
		Class: sniperetry.Safe, Failure: sniperetry.NoSlot, Attempts: pr.attempts,
		Deadline: pr.arrived.Add(p.sim.settings.Timeout), RetryAfter: r.RetryAfter,
	})
	if d.Action != sniperetry.Retry {
		p.sim.refuse()
		return
	}
	p.sim.cell.Retries++
	p.sim.scheduleAfter(d.Delay, func() { p.startAttempt(pr) })
}

// sendToTarget sends an attempt to its target. The target has a free slot unless the
// owner granted more slots than there are, which Cell.Overloads counts.
func (p *snipemoorPolicy) sendToTarget(pr *pendingRequest, place int, attemptID, target string) {
	index, err := strconv.Atoi(target)
	if err != nil {
		panic("snipemeasure: grant for unknown target " + target)
	}
	t := p.sim.targets[index]
	if t.busy >= t.slots {
		p.sim.cell.Overloads++
	}
	pr.complete = func(serviceTime time.Duration) {
		p.sim.finish(pr.request)
		p.finishAttempt(pr, place, attemptID, serviceTime)
	}
	p.sim.submit(t, pr.request)
}

// finishAttempt hands the slot over to a queued request of the same entry instance,
// or releases it to the owner.
func (p *snipemoorPolicy) finishAttempt(pr *pendingRequest, place int, attemptID string, serviceTime time.Duration) {
	holder := p.holders[pr.entry]
	release, next, ok := holder.ReuseGrant(p.sim.now, attemptID, serviceTime)
	if ok {
		p.sendToTarget(p.requests[next.AttemptID], place, next.AttemptID, next.Target)
	} else {
		release, _ = holder.Finish(attemptID, snipeslot.OutcomeDone, serviceTime)
	}
	p.releaseSlot(place, release)
}

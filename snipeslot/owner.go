package snipeslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Defaults of Settings.
const (
	DefaultTimeToLive  = 5 * time.Second
	DefaultQueueLength = 256
)

// driftMargin returns the largest difference between two machines' measurements
// of the same period: 1 % plus 100 ms.
func driftMargin(period time.Duration) time.Duration {
	return period/100 + 100*time.Millisecond
}

// Settings are the parameters of an Owner. Zero fields select the defaults,
// except for Group and Epoch.
type Settings struct {
	Group string
	// Epoch is the epoch of the position; each Owner of a group has a higher one
	// than the Owner before it.
	Epoch uint64
	// TimeToLive is the validity of a grant that is not renewed. It must exceed
	// twice its drift margin of 1 % plus 100 ms, which is about 204 ms.
	TimeToLive time.Duration
	// QueueLength bounds the number of queued requests.
	QueueLength int
}

// targetState is a target with the use of its slots.
type targetState struct {
	Target
	used    int  // slots under grants of this group
	foreign int  // attempts under grants of other groups
	removed bool // not in the configuration; kept while attempts may run there
	hold    hold
}

func (t *targetState) freeSlots() int {
	if t.Draining || t.removed || t.hold.generation > 0 {
		return 0
	}
	return max(t.Slots-t.used-t.foreign, 0)
}

// grant is a slot that is assigned to an attempt of a member.
type grant struct {
	reply     Reply
	from      Member
	grantedAt snipetime.Instant
	expiresAt snipetime.Instant
	confirmed bool // the member has listed the attempt
}

// Owner grants the slots of one group.
type Owner struct {
	settings Settings
	chooser  Chooser
	leaseEnd snipetime.Instant
	targets  map[string]*targetState
	// sortedTargets is ordered by address, so that choices are reproducible.
	sortedTargets   []*targetState
	grants          map[uint64]*grant // by grant identifier
	attempts        map[string]*grant // by attempt
	queue           queue
	grantCounter    uint32
	meanServiceTime time.Duration // moving average of the time from grant to release
	recovery        recovery
	reports         map[Member]memberReport
	// generation is that of the next Configure; configured is set after the first.
	generation uint64
	configured bool
	digest     uint64                 // of the addresses of the configured targets
	candidates []sniperoute.Candidate // scratch space, reused between calls
}

// NewOwner returns an owner in recovery, without targets and lease. now must
// not be earlier than the end of the former owner's lease. It panics if the
// chooser is nil or the time to live does not exceed twice its drift margin.
func NewOwner(settings Settings, chooser Chooser, now snipetime.Instant) *Owner {
	settings.TimeToLive = cmp.Or(settings.TimeToLive, DefaultTimeToLive)
	settings.QueueLength = cmp.Or(settings.QueueLength, DefaultQueueLength)
	if chooser == nil {
		panic("snipeslot: no chooser")
	}
	if settings.TimeToLive <= 2*driftMargin(settings.TimeToLive) {
		panic("snipeslot: time to live is not above twice its drift margin")
	}
	return &Owner{
		settings: settings,
		chooser:  chooser,
		leaseEnd: now,
		targets:  map[string]*targetState{},
		grants:   map[uint64]*grant{},
		attempts: map[string]*grant{},
		reports:  map[Member]memberReport{},
		recovery: newRecovery(now.Add(settings.TimeToLive + driftMargin(settings.TimeToLive))),
	}
}

// SetLease sets the end of the position lease. From that instant on, the owner
// neither grants nor renews.
func (o *Owner) SetLease(until snipetime.Instant) { o.leaseEnd = until }

// Configure replaces the targets and returns the replies to queued requests that
// it serves. A target that is missing from the list receives no new grant and is
// removed when no attempt runs there. A lower number of slots takes effect as
// attempts end.
func (o *Owner) Configure(now snipetime.Instant, targets []Target) []Reply {
	present := make(map[string]bool, len(o.targets))
	for _, t := range o.targets {
		present[t.Address] = !t.removed
		t.removed = true
	}
	addresses := make([]string, 0, len(targets))
	for _, t := range targets {
		s := o.targetOrNew(t.Address)
		if !present[t.Address] {
			s.hold = o.newHold(now)
		}
		s.Target, s.removed = t, false
		addresses = append(addresses, t.Address)
	}
	o.configured, o.digest = true, targetDigest(addresses)
	for m := range o.reports {
		o.applyForeign(m)
	}
	o.releaseHolds(now)
	o.removeIdleTargets()
	o.chooser.SetTargets(now, addresses, func(a string) bool { return o.targets[a].Draining })
	return o.dispatch(now)
}

// targetOrNew returns the state of a target. It adds an unknown target as
// removed.
func (o *Owner) targetOrNew(address string) *targetState {
	t := o.targets[address]
	if t == nil {
		t = &targetState{Target: Target{Address: address}, removed: true}
		o.targets[address] = t
		at, _ := slices.BinarySearchFunc(o.sortedTargets, address, func(t *targetState, a string) int { return cmp.Compare(t.Address, a) })
		o.sortedTargets = slices.Insert(o.sortedTargets, at, t)
	}
	return t
}

func (o *Owner) removeIdleTargets() {
	o.sortedTargets = slices.DeleteFunc(o.sortedTargets, func(t *targetState) bool {
		idle := t.removed && t.used == 0 && t.foreign == 0
		if idle {
			delete(o.targets, t.Address)
		}
		return idle
	})
}

// Idle reports whether no attempt runs at the target under a grant of this
// group. It is false in recovery, as attempts may not have been reported yet.
func (o *Owner) Idle(address string) bool {
	t := o.targets[address]
	return !o.recovery.active && (t == nil || t.used == 0)
}

// Recovering reports whether the owner still waits for the reports of members
// and grants nothing.
func (o *Owner) Recovering() bool { return o.recovery.active }

// Acquire returns the reply to a request for a slot. A repeated request for an
// attempt that is granted or queued gets the same reply as the first.
func (o *Owner) Acquire(now snipetime.Instant, a Acquire) Reply {
	if g := o.attempts[a.AttemptID]; g != nil && g.from == a.From && g.reply.State == Granted {
		return g.reply
	}
	if o.queue.find(a.AttemptID) >= 0 {
		return o.newReply(a, Queued, ReasonNone, 0)
	}
	if reason := o.refusalReason(now, a); reason != ReasonNone {
		return o.newReply(a, Refused, reason, 0)
	}
	e := &queueEntry{acquire: a, arrived: now, deadline: now.Add(a.Budget), waitEnd: now.Add(min(a.Budget, a.MaximumWait))}
	// Queued requests with an earlier deadline cannot use a slot that is free
	// now, or they would have been granted it.
	if r, ok := o.tryGrant(now, e); ok {
		return r
	}
	return o.enqueueOrRefuse(now, e, o.queue.position(e.deadline))
}

// refusalReason returns the reason for which the group cannot serve the request
// at all, or ReasonNone.
func (o *Owner) refusalReason(now snipetime.Instant, a Acquire) Reason {
	if !now.Before(o.leaseEnd) {
		return ReasonLeaseLapsed
	}
	if a.Budget <= 0 {
		return ReasonDeadline
	}
	usable, draining := 0, 0
	for _, t := range o.sortedTargets {
		switch {
		case t.removed:
		case t.Draining:
			draining++
		case t.Slots > 0 && !slices.Contains(a.Excluded, t.Address):
			usable++
		}
	}
	if usable > 0 {
		return ReasonNone
	}
	if draining > 0 && len(a.Excluded) == 0 {
		return ReasonAllTargetsDraining
	}
	return ReasonNoTarget
}

func (o *Owner) freeSlots() int {
	n := 0
	for _, t := range o.sortedTargets {
		n += t.freeSlots()
	}
	return n
}

func (o *Owner) newReply(a Acquire, s State, reason Reason, after time.Duration) Reply {
	return Reply{
		Group: o.settings.Group, AttemptID: a.AttemptID, To: a.From, Epoch: o.settings.Epoch,
		State: s, Reason: reason, RetryAfter: after,
	}
}

// grantSlot assigns a slot of the target to the entry.
func (o *Owner) grantSlot(now snipetime.Instant, e *queueEntry, address string) Reply {
	t := o.targets[address]
	t.used++
	o.grantCounter++
	r := o.newReply(e.acquire, Granted, ReasonNone, 0)
	r.GrantID = o.settings.Epoch<<32 | uint64(o.grantCounter)
	r.Target = t.Address
	// The member counts from the moment at which it sent the request, before the
	// arrival here, so that the grant always expires at the member before it
	// expires at the owner.
	ttl := o.settings.TimeToLive
	r.TimeToLive = now.Sub(e.arrived) + ttl - driftMargin(ttl+now.Sub(e.arrived))
	o.addGrant(&grant{reply: r, from: e.acquire.From, grantedAt: now, expiresAt: now.Add(ttl)})
	return r
}

// Release ends a grant, or reassigns it to the attempt that the member has
// started under it, and returns the replies to queued requests that it serves. A
// release that does not match a grant has no effect.
func (o *Owner) Release(now snipetime.Instant, r Release) []Reply {
	g := o.grants[r.GrantID]
	if g == nil || g.from != r.From {
		return nil
	}
	granted := g.grantedAt
	switch {
	case r.Next == "":
		o.removeGrant(g)
	case g.reply.AttemptID != r.AttemptID:
		// A message that was sent later has already reassigned the grant.
		return nil
	default:
		o.reassign(now, g, r.Next)
	}
	o.chooser.Observe(now, g.reply.Target, r.Outcome.result(), r.Latency)
	if r.Outcome != OutcomeCancelled {
		o.observeServiceTime(now.Sub(granted))
	}
	return o.dispatch(now)
}

// observeServiceTime updates an exponential moving average over about the last
// 16 releases.
func (o *Owner) observeServiceTime(d time.Duration) {
	if o.meanServiceTime == 0 {
		o.meanServiceTime = d
		return
	}
	o.meanServiceTime += (d - o.meanServiceTime) / 16
}

func (o *Owner) addGrant(g *grant) {
	o.grants[g.reply.GrantID] = g
	o.attempts[g.reply.AttemptID] = g
}

func (o *Owner) removeGrant(g *grant) {
	delete(o.grants, g.reply.GrantID)
	if o.attempts[g.reply.AttemptID] == g {
		delete(o.attempts, g.reply.AttemptID)
	}
	t := o.targets[g.reply.Target]
	t.used--
	if t.removed && t.used == 0 {
		o.removeIdleTargets()
	}
}

// Cancel withdraws a request and releases a grant that was made for it. It
// returns the replies to queued requests that it serves. The sender must not
// start the attempt afterwards.
func (o *Owner) Cancel(now snipetime.Instant, c Cancel) []Reply {
	if i := o.queue.find(c.AttemptID); i >= 0 && o.queue.entries[i].acquire.From == c.From {
		o.queue.remove(i)
	}
	g := o.attempts[c.AttemptID]
	if g == nil || g.from != c.From {
		return nil
	}
	o.removeGrant(g)
	return o.dispatch(now)
}

// Tick ends the grants, holds, queue entries and recovery whose time is over,
// and returns the replies to queued requests. It must be called at least every
// 100 ms.
func (o *Owner) Tick(now snipetime.Instant) []Reply {
	for _, g := range o.grants {
		if !now.Before(g.expiresAt) {
			o.removeGrant(g)
		}
	}
	if o.recovery.active && !now.Before(o.recovery.until) {
		o.recovery.active = false
	}
	o.releaseHolds(now)
	var replies []Reply
	o.queue.entries = slices.DeleteFunc(o.queue.entries, func(e *queueEntry) bool {
		over := !now.Before(e.waitEnd)
		if over {
			replies = append(replies, o.refuseExpired(now, e))
		}
		return over
	})
	o.chooser.Tick(now)
	return append(replies, o.dispatch(now)...)
}

// Load returns the summary of the group for heartbeats. Free is 0 in recovery.
func (o *Owner) Load() Load {
	l := Load{
		Group:      o.settings.Group,
		Queued:     len(o.queue.entries),
		Latency:    o.meanServiceTime,
		Recovering: o.recovery.active,
	}
	for _, t := range o.sortedTargets {
		if !t.Draining && !t.removed {
			l.Total += t.Slots
		}
	}
	if !o.recovery.active {
		l.Free = o.freeSlots()
	}
	return l
}

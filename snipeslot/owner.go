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

// driftMargin is the part of a period by which clocks of two machines may
// disagree over it: 1 % plus 100 ms.
func driftMargin(period time.Duration) time.Duration {
	return period/100 + 100*time.Millisecond
}

// Settings are the parameters of an Owner. Zero fields mean defaults, except
// for Group and Epoch.
type Settings struct {
	Group string
	// Epoch of the position; each Owner of a group has a higher one.
	Epoch uint64
	// TimeToLive of a grant that is not renewed. It must exceed 200 ms.
	TimeToLive time.Duration
	// QueueLength bounds the number of waiting requests.
	QueueLength int
}

type target struct {
	Target
	used    int
	foreign int // attempts under grants of other groups
	removed bool
	hold    hold
}

func (t *target) free() int {
	if t.Draining || t.removed || t.hold.generation > 0 {
		return 0
	}
	return max(t.Slots-t.used-t.foreign, 0)
}

type grant struct {
	reply     Reply
	from      Member
	granted   snipetime.Instant
	expires   snipetime.Instant
	confirmed bool // the grantee has listed the attempt
}

// Owner grants the slots of one group.
type Owner struct {
	settings Settings
	chooser  Chooser
	lease    snipetime.Instant
	targets  map[string]*target
	order    []*target         // by address, so that choices are reproducible
	grants   map[uint64]*grant // by grant identifier
	attempts map[string]*grant // by attempt
	queue    queue
	counter  uint32
	service  time.Duration // smoothed time from grant to release
	recovery recovery
	reports  map[Member]report
	// generation is that of the next Configure; configured is set after the first.
	generation uint64
	configured bool
	digest     uint64 // of the addresses of the configured targets
	free       []sniperoute.Candidate
}

// NewOwner returns an owner in recovery, without targets and lease. now must
// not be earlier than the end of the former owner's lease. It panics if the
// chooser is nil or the time to live does not exceed its margin.
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
		lease:    now,
		targets:  map[string]*target{},
		grants:   map[uint64]*grant{},
		attempts: map[string]*grant{},
		reports:  map[Member]report{},
		recovery: newRecovery(now.Add(settings.TimeToLive + driftMargin(settings.TimeToLive))),
	}
}

// SetLease states that the position is held until the given instant. Past it
// the owner neither grants nor renews.
func (o *Owner) SetLease(until snipetime.Instant) { o.lease = until }

// Configure replaces the targets. A target that is missing from the list drains
// and is forgotten when idle. Lowered slots take effect as attempts end.
func (o *Owner) Configure(now snipetime.Instant, targets []Target) []Reply {
	present := make(map[string]bool, len(o.targets))
	for _, t := range o.targets {
		present[t.Address] = !t.removed
		t.removed = true
	}
	addresses := make([]string, 0, len(targets))
	for _, t := range targets {
		s := o.target(t.Address)
		if !present[t.Address] {
			s.hold = o.newHold(now)
		}
		s.Target, s.removed = t, false
		addresses = append(addresses, t.Address)
	}
	o.configured, o.digest = true, digestOf(addresses)
	for m := range o.reports {
		o.countForeign(m)
	}
	o.endHolds(now)
	o.forgetIdle()
	o.chooser.SetTargets(now, addresses, func(a string) bool { return o.targets[a].Draining })
	return o.dispatch(now)
}

// target returns the state of a target and adds it as removed if it is unknown.
func (o *Owner) target(address string) *target {
	t := o.targets[address]
	if t == nil {
		t = &target{Target: Target{Address: address}, removed: true}
		o.targets[address] = t
		at, _ := slices.BinarySearchFunc(o.order, address, func(t *target, a string) int { return cmp.Compare(t.Address, a) })
		o.order = slices.Insert(o.order, at, t)
	}
	return t
}

func (o *Owner) forgetIdle() {
	o.order = slices.DeleteFunc(o.order, func(t *target) bool {
		idle := t.removed && t.used == 0 && t.foreign == 0
		if idle {
			delete(o.targets, t.Address)
		}
		return idle
	})
}

// Idle reports that no attempt runs at the target. It is false in recovery, as
// attempts may not have been reported yet.
func (o *Owner) Idle(address string) bool {
	t := o.targets[address]
	return !o.recovery.active && (t == nil || t.used == 0)
}

// Recovering reports whether the owner still waits for reports.
func (o *Owner) Recovering() bool { return o.recovery.active }

// Acquire answers a request for a slot. A repeated request for an attempt that
// is granted or queued has the same answer as the first.
func (o *Owner) Acquire(now snipetime.Instant, a Acquire) Reply {
	if g := o.attempts[a.AttemptID]; g != nil && g.from == a.From && g.reply.State == Granted {
		return g.reply
	}
	if o.queue.find(a.AttemptID) >= 0 {
		return o.reply(a, Queued, ReasonNone, 0)
	}
	if reason := o.unusable(now, a); reason != ReasonNone {
		return o.reply(a, Refused, reason, 0)
	}
	e := &entry{acquire: a, arrived: now, deadline: now.Add(a.Budget), giveUp: now.Add(min(a.Budget, a.MaximumWait))}
	// Queued requests with an earlier deadline cannot use a slot that is free
	// now, or they would have been granted it.
	if r, ok := o.tryGrant(now, e); ok {
		return r
	}
	return o.enqueue(now, e, o.queue.position(e.deadline))
}

// unusable returns why the group cannot serve the request at all.
func (o *Owner) unusable(now snipetime.Instant, a Acquire) Reason {
	if !now.Before(o.lease) {
		return ReasonLeaseLapsed
	}
	if a.Budget <= 0 {
		return ReasonDeadline
	}
	present, draining := 0, 0
	for _, t := range o.order {
		switch {
		case t.removed:
		case t.Draining:
			draining++
		case t.Slots > 0 && !slices.Contains(a.Excluded, t.Address):
			present++
		}
	}
	if present > 0 {
		return ReasonNone
	}
	if draining > 0 && len(a.Excluded) == 0 {
		return ReasonAllTargetsDraining
	}
	return ReasonNoTarget
}

func (o *Owner) freeSlots() int {
	n := 0
	for _, t := range o.order {
		n += t.free()
	}
	return n
}

func (o *Owner) reply(a Acquire, s State, reason Reason, after time.Duration) Reply {
	return Reply{
		Group: o.settings.Group, AttemptID: a.AttemptID, To: a.From, Epoch: o.settings.Epoch,
		State: s, Reason: reason, RetryAfter: after,
	}
}

// grant takes a slot of the target for the entry.
func (o *Owner) grant(now snipetime.Instant, e *entry, address string) Reply {
	t := o.targets[address]
	t.used++
	o.counter++
	r := o.reply(e.acquire, Granted, ReasonNone, 0)
	r.GrantID = o.settings.Epoch<<32 | uint64(o.counter)
	r.Target = t.Address
	// The grantee counts from its request, which is before it arrived here, so
	// that its time always ends before the owner's.
	ttl := o.settings.TimeToLive
	r.TimeToLive = now.Sub(e.arrived) + ttl - driftMargin(ttl+now.Sub(e.arrived))
	o.add(&grant{reply: r, from: e.acquire.From, granted: now, expires: now.Add(ttl)})
	return r
}

// Release ends a grant, or moves it to the attempt that the member has started
// under it, and returns the replies to queued requests that it serves. A release
// that does not match a grant has no effect.
func (o *Owner) Release(now snipetime.Instant, r Release) []Reply {
	g := o.grants[r.GrantID]
	if g == nil || g.from != r.From {
		return nil
	}
	granted := g.granted
	switch {
	case r.Next == "":
		o.drop(g)
	case g.reply.AttemptID != r.AttemptID:
		// The grant was moved again by a message that was sent later.
		return nil
	default:
		o.move(now, g, r.Next)
	}
	o.chooser.Observe(now, g.reply.Target, r.Outcome.result(), r.Latency)
	if r.Outcome != OutcomeCancelled {
		o.observeService(now.Sub(granted))
	}
	return o.dispatch(now)
}

// observeService smooths over about the last 16 releases.
func (o *Owner) observeService(d time.Duration) {
	if o.service == 0 {
		o.service = d
		return
	}
	o.service += (d - o.service) / 16
}

func (o *Owner) add(g *grant) {
	o.grants[g.reply.GrantID] = g
	o.attempts[g.reply.AttemptID] = g
}

func (o *Owner) drop(g *grant) {
	delete(o.grants, g.reply.GrantID)
	if o.attempts[g.reply.AttemptID] == g {
		delete(o.attempts, g.reply.AttemptID)
	}
	t := o.targets[g.reply.Target]
	t.used--
	if t.removed && t.used == 0 {
		o.forgetIdle()
	}
}

// Cancel withdraws a request; a grant that was made for it is released. The
// sender must not start the attempt afterwards.
func (o *Owner) Cancel(now snipetime.Instant, c Cancel) []Reply {
	if i := o.queue.find(c.AttemptID); i >= 0 && o.queue.entries[i].acquire.From == c.From {
		o.queue.remove(i)
	}
	g := o.attempts[c.AttemptID]
	if g == nil || g.from != c.From {
		return nil
	}
	o.drop(g)
	return o.dispatch(now)
}

// Tick ends grants and queue entries whose time is over, and the recovery. It
// is to be called at least every 100 ms.
func (o *Owner) Tick(now snipetime.Instant) []Reply {
	for _, g := range o.grants {
		if !now.Before(g.expires) {
			o.drop(g)
		}
	}
	if o.recovery.active && !now.Before(o.recovery.until) {
		o.recovery.active = false
	}
	o.endHolds(now)
	var replies []Reply
	o.queue.entries = slices.DeleteFunc(o.queue.entries, func(e *entry) bool {
		over := !now.Before(e.giveUp)
		if over {
			replies = append(replies, o.expire(now, e))
		}
		return over
	})
	o.chooser.Tick(now)
	return append(replies, o.dispatch(now)...)
}

// Load returns the summary for heartbeats. Free is 0 in recovery.
func (o *Owner) Load() Load {
	l := Load{
		Group:      o.settings.Group,
		Queued:     len(o.queue.entries),
		Latency:    o.service,
		Recovering: o.recovery.active,
	}
	for _, t := range o.order {
		if !t.Draining && !t.removed {
			l.Total += t.Slots
		}
	}
	if !o.recovery.active {
		l.Free = o.freeSlots()
	}
	return l
}

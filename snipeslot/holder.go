package snipeslot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Verdict says what the grantee does with a reply.
type Verdict int

// Verdicts.
const (
	// Ignore means that the reply changes nothing.
	Ignore Verdict = iota
	// Start means that the attempt runs now.
	Start
	// Refuse means that the request was refused for the reply's reason.
	Refuse
	// Enqueued means that another reply will follow.
	Enqueued
	// Return means that the grant cannot be used and the release is to be sent.
	Return
)

type held struct {
	group string
	Running
	until snipetime.Instant
}

type pending struct {
	group  string
	epoch  uint64
	sent   snipetime.Instant
	giveUp snipetime.Instant
	// latest is the end of the time in which the request may take over a grant.
	latest   snipetime.Instant
	deadline snipetime.Instant
	excluded []string
	barred   []string
	passed   []*assignment // that came into force since the request was sent
}

func (p *pending) bars(target string) bool {
	return slices.Contains(p.excluded, target) || slices.Contains(p.barred, target)
}

type heldGroup struct {
	epoch    uint64
	sequence uint64
	reported bool // the owner has accepted a list in this epoch and generation
	foreign  bool // the latest accepted list counts attempts under other groups
	// grants holds the running attempt of each grant.
	grants map[uint64]string
	// offered holds the waiting requests that may take over a grant.
	offered map[string]bool
}

// Holder tracks the attempts of this instance.
type Holder struct {
	self       Member
	timeToLive time.Duration
	groups     map[string]*heldGroup
	pending    map[string]*pending
	running    map[string]*held
	barred     func(target string) bool
	generation uint64
	assigned   *assignment
}

// NewHolder returns a holder without attempts. timeToLive is that of the
// owners; 0 means the default.
func NewHolder(self Member, timeToLive time.Duration) *Holder {
	return &Holder{
		self:       self,
		timeToLive: cmp.Or(timeToLive, DefaultTimeToLive),
		groups:     map[string]*heldGroup{},
		pending:    map[string]*pending{},
		running:    map[string]*held{},
	}
}

// replyGrace is the time for a reply to arrive after the longest wait.
const replyGrace = 500 * time.Millisecond

// Begin registers a request and returns the message to send at once. a.From is
// set. It reports false if no owner is known or the attempt exists already.
func (h *Holder) Begin(now snipetime.Instant, a Acquire) (Acquire, bool) {
	g := h.groups[a.Group]
	if g == nil || h.pending[a.AttemptID] != nil || h.running[a.AttemptID] != nil {
		return a, false
	}
	a.From = h.self
	wait := min(a.Budget, a.MaximumWait) + replyGrace
	h.pending[a.AttemptID] = &pending{
		group: a.Group, epoch: g.epoch, sent: now, giveUp: now.Add(wait),
		latest:   now.Add(min(a.Budget, a.MaximumWait, takeOverFor)),
		deadline: now.Add(a.Budget), excluded: a.Excluded,
	}
	return a, true
}

// Answer takes a reply. With Start the attempt may be sent to the target, and
// Finish must follow. With Return the release is to be sent to the owner.
func (h *Holder) Answer(now snipetime.Instant, r Reply) (Verdict, Release) {
	if r.State == Granted {
		return h.answerGrant(now, r)
	}
	p := h.pending[r.AttemptID]
	// A late reply of a former owner must not end a request to the present one.
	if p == nil || r.Epoch != p.epoch {
		return Ignore, Release{}
	}
	if r.State == Queued {
		if r.TakeOver {
			p.barred = r.Barred
			h.groups[p.group].offered[r.AttemptID] = true
		}
		return Enqueued, Release{}
	}
	h.forget(r.AttemptID, p)
	return Refuse, Release{}
}

func (h *Holder) answerGrant(now snipetime.Instant, r Reply) (Verdict, Release) {
	// A repeated reply must not return a grant that an attempt uses, be it the
	// one that the reply names or one that took over.
	if g := h.groups[r.Group]; g != nil && g.grants[r.GrantID] != "" {
		return Ignore, Release{}
	}
	release := Release{
		Group: r.Group, AttemptID: r.AttemptID, From: h.self,
		GrantID: r.GrantID, Target: r.Target, Outcome: OutcomeCancelled,
	}
	// A grant of an earlier epoch is unknown to the present owner, which may
	// have this member's report already.
	p := h.pending[r.AttemptID]
	if p == nil || r.Epoch != p.epoch {
		return Return, release
	}
	h.forget(r.AttemptID, p)
	until := p.sent.Add(r.TimeToLive)
	if !now.Before(until) || !h.usable(p, r.Target) {
		return Return, release
	}
	h.start(&held{
		group:   p.group,
		Running: Running{AttemptID: r.AttemptID, GrantID: r.GrantID, Target: r.Target},
		until:   until,
	})
	return Start, Release{}
}

func (h *Holder) forget(attemptID string, p *pending) {
	delete(h.pending, attemptID)
	delete(h.groups[p.group].offered, attemptID)
}

func (h *Holder) start(run *held) {
	h.running[run.AttemptID] = run
	h.groups[run.group].grants[run.GrantID] = run.AttemptID
}

// Finish ends a running attempt and returns the release to send. It reports
// false if the attempt is not running.
func (h *Holder) Finish(attemptID string, outcome Outcome, latency time.Duration) (Release, bool) {
	run := h.running[attemptID]
	if run == nil {
		return Release{}, false
	}
	delete(h.running, attemptID)
	delete(h.groups[run.group].grants, run.GrantID)
	return Release{
		Group: run.group, AttemptID: attemptID, From: h.self,
		GrantID: run.GrantID, Target: run.Target, Latency: latency, Outcome: outcome,
	}, true
}

// Abandon gives up a request that has no reply yet and returns the message to
// send. It reports false if the request is not waiting.
func (h *Holder) Abandon(attemptID string) (Cancel, bool) {
	p := h.pending[attemptID]
	if p == nil {
		return Cancel{}, false
	}
	h.forget(attemptID, p)
	return Cancel{Group: p.group, AttemptID: attemptID, From: h.self}, true
}

// OwnerChanged states the epoch of a group's owner. If it is higher than the
// known one, requests to the former owner are abandoned and returned, and the
// next Renewals reports to the new owner. It must be called for every group of
// the region, also for those without attempts here.
func (h *Holder) OwnerChanged(group string, epoch uint64) (abandoned []string) {
	g := h.groups[group]
	if g == nil {
		g = &heldGroup{grants: map[uint64]string{}, offered: map[string]bool{}}
		h.groups[group] = g
	}
	if epoch <= g.epoch {
		return nil
	}
	g.epoch, g.reported = epoch, false
	for id, p := range h.pending {
		if p.group == group {
			abandoned = append(abandoned, id)
			h.forget(id, p)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// Renewals returns the lists to send now, one for each group that has attempts
// or whose owner has not accepted a report yet. The caller keeps each list and
// the instant for Renewed.
func (h *Holder) Renewals() []Renew {
	byGroup := map[string][]Running{}
	for _, run := range h.running {
		byGroup[run.group] = append(byGroup[run.group], run.Running)
	}
	foreign := h.foreign()
	var lists []Renew
	for _, name := range slices.Sorted(maps.Keys(h.groups)) {
		g := h.groups[name]
		attempts := byGroup[name]
		if g.reported && len(attempts) == 0 && len(foreign[name]) == 0 && !g.foreign {
			continue
		}
		slices.SortFunc(attempts, func(a, b Running) int { return cmp.Compare(a.AttemptID, b.AttemptID) })
		g.sequence++
		lists = append(lists, Renew{
			Group: name, From: h.self, Epoch: g.epoch, Sequence: g.sequence, Attempts: attempts,
			Generation: h.generation, Digest: h.digest(name), Foreign: foreign[name],
		})
	}
	return lists
}

// Renewed takes the reply to a list that was sent at the given instant, and
// returns attempts that must be cancelled because the owner has no grant for
// them. The caller ends each with Finish.
func (h *Holder) Renewed(sent snipetime.Instant, list Renew, reply RenewReply) (cancel []string) {
	g := h.groups[list.Group]
	if g == nil || !reply.Accepted || reply.Epoch != g.epoch || reply.Sequence != list.Sequence {
		return nil
	}
	g.reported = list.Generation >= h.generation
	g.foreign = len(list.Foreign) > 0
	until := sent.Add(h.timeToLive - driftMargin(h.timeToLive))
	for _, a := range list.Attempts {
		// Another attempt may have taken over the grant since the list was sent.
		run := h.running[g.grants[a.GrantID]]
		if run == nil {
			continue
		}
		if slices.Contains(reply.Unknown, a.AttemptID) {
			cancel = append(cancel, run.AttemptID)
			continue
		}
		run.until = max(run.until, until)
	}
	return cancel
}

// HolderTick holds what has become due.
type HolderTick struct {
	// Cancel holds running attempts whose grant could not be renewed. They must
	// be cancelled at once and ended with Finish.
	Cancel []string
	// Lost holds messages for requests whose reply is overdue. The requests
	// have been given up.
	Lost []Cancel
}

// Tick returns what has become due. It is to be called at least every 50 ms and
// by the instant that NextExpiry returns.
func (h *Holder) Tick(now snipetime.Instant) HolderTick {
	var t HolderTick
	for _, id := range slices.Sorted(maps.Keys(h.running)) {
		if !now.Before(h.running[id].until) {
			t.Cancel = append(t.Cancel, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		if !now.Before(h.pending[id].giveUp) {
			c, _ := h.Abandon(id)
			t.Lost = append(t.Lost, c)
		}
	}
	return t
}

// NextExpiry returns the earliest end of a running grant. It reports false if
// nothing runs.
func (h *Holder) NextExpiry() (at snipetime.Instant, ok bool) {
	for _, run := range h.running {
		if !ok || run.until.Before(at) {
			at, ok = run.until, true
		}
	}
	return at, ok
}

// Running returns the number of running attempts.
func (h *Holder) Running() int { return len(h.running) }

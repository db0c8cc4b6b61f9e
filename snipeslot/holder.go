package snipeslot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Action states what the requesting instance does with a Reply.
type Action int

// Actions on a Reply.
const (
	// ActionIgnore means that the reply changes nothing.
	ActionIgnore Action = iota
	// ActionStart means that the attempt is to be sent to the granted target now.
	ActionStart
	// ActionRefuse means that the request was refused for the reply's reason.
	ActionRefuse
	// ActionWait means that the request is queued and another reply will follow.
	ActionWait
	// ReturnGrant means that the grant cannot be used and the release is to be
	// sent.
	ReturnGrant
)

// runningAttempt is an attempt of this instance that runs under a grant.
type runningAttempt struct {
	group string
	Running
	expiresAt snipetime.Instant
}

// pendingRequest is a request that has no grant and no refusal yet.
type pendingRequest struct {
	group string
	epoch uint64 // of the owner that the request was sent to
	sent  snipetime.Instant
	// replyDeadline is the instant after which the reply counts as lost.
	replyDeadline snipetime.Instant
	// reuseDeadline is the end of the period in which the request may start under
	// a grant of a completed attempt.
	reuseDeadline  snipetime.Instant
	deadline       snipetime.Instant
	excluded       []string
	blockedTargets []string      // at which the owner permits no reuse of a grant
	assignments    []*assignment // that came into force since the request was sent
}

func (p *pendingRequest) blocks(target string) bool {
	return slices.Contains(p.excluded, target) || slices.Contains(p.blockedTargets, target)
}

// groupState is the state of one slot group at the requesting instance.
type groupState struct {
	epoch    uint64
	sequence uint64
	reported bool // the owner has accepted a list in this epoch and generation
	foreign  bool // the latest accepted list counts attempts under other groups
	// attemptByGrant holds the identifier of the running attempt of each grant.
	attemptByGrant map[uint64]string
	// mayReuse holds the queued requests that may start under the grant of a
	// completed attempt.
	mayReuse map[string]bool
}

// Holder tracks the requests and running attempts of this instance.
type Holder struct {
	self         Member
	timeToLive   time.Duration
	groups       map[string]*groupState
	pending      map[string]*pendingRequest // by attempt
	running      map[string]*runningAttempt // by attempt
	reuseBlocked func(target string) bool   // reports targets without reuse of grants
	generation   uint64
	assignment   *assignment
}

// NewHolder returns a holder without attempts. timeToLive must equal
// Settings.TimeToLive of the owners; 0 means the default.
func NewHolder(self Member, timeToLive time.Duration) *Holder {
	return &Holder{
		self:       self,
		timeToLive: cmp.Or(timeToLive, DefaultTimeToLive),
		groups:     map[string]*groupState{},
		pending:    map[string]*pendingRequest{},
		running:    map[string]*runningAttempt{},
	}
}

// replyGrace is the time that a reply may take to arrive after the longest wait
// in the queue has ended.
const replyGrace = 500 * time.Millisecond

// Begin registers a request and returns the message to send at once, with From
// set. It reports false if no owner of the group is known or the attempt exists
// already.
func (h *Holder) Begin(now snipetime.Instant, a Acquire) (Acquire, bool) {
	g := h.groups[a.Group]
	if g == nil || h.pending[a.AttemptID] != nil || h.running[a.AttemptID] != nil {
		return a, false
	}
	a.From = h.self
	wait := min(a.Budget, a.MaximumWait) + replyGrace
	h.pending[a.AttemptID] = &pendingRequest{
		group: a.Group, epoch: g.epoch, sent: now, replyDeadline: now.Add(wait),
		reuseDeadline: now.Add(min(a.Budget, a.MaximumWait, reuseWindow)),
		deadline:      now.Add(a.Budget), excluded: a.Excluded,
	}
	return a, true
}

// HandleReply processes a reply and returns the action to take. After
// ActionStart the attempt may be sent to the target, and Finish or ReuseGrant
// must follow. After ReturnGrant the release is to be sent to the owner; with
// any other action the release is empty.
func (h *Holder) HandleReply(now snipetime.Instant, r Reply) (Action, Release) {
	if r.State == Granted {
		return h.handleGrant(now, r)
	}
	p := h.pending[r.AttemptID]
	// A late reply of a former owner must not end a request to the current owner.
	if p == nil || r.Epoch != p.epoch {
		return ActionIgnore, Release{}
	}
	if r.State == Queued {
		if r.MayReuseGrant {
			p.blockedTargets = r.ReuseBlocked
			h.groups[p.group].mayReuse[r.AttemptID] = true
		}
		return ActionWait, Release{}
	}
	h.removePending(r.AttemptID, p)
	return ActionRefuse, Release{}
}

func (h *Holder) handleGrant(now snipetime.Instant, r Reply) (Action, Release) {
	// A repeated reply must not return a grant that is in use, be it by the
	// attempt that the reply names or by one that reuses the grant.
	if g := h.groups[r.Group]; g != nil && g.attemptByGrant[r.GrantID] != "" {
		return ActionIgnore, Release{}
	}
	release := Release{
		Group: r.Group, AttemptID: r.AttemptID, From: h.self,
		GrantID: r.GrantID, Target: r.Target, Outcome: OutcomeCancelled,
	}
	// A grant of an earlier epoch is unknown to the current owner, which may
	// have received this member's report already.
	p := h.pending[r.AttemptID]
	if p == nil || r.Epoch != p.epoch {
		return ReturnGrant, release
	}
	h.removePending(r.AttemptID, p)
	until := p.sent.Add(r.TimeToLive)
	if !now.Before(until) || !h.inGroupSinceSent(p, r.Target) {
		return ReturnGrant, release
	}
	h.addRunning(&runningAttempt{
		group:     p.group,
		Running:   Running{AttemptID: r.AttemptID, GrantID: r.GrantID, Target: r.Target},
		expiresAt: until,
	})
	return ActionStart, Release{}
}

func (h *Holder) removePending(attemptID string, p *pendingRequest) {
	delete(h.pending, attemptID)
	delete(h.groups[p.group].mayReuse, attemptID)
}

func (h *Holder) addRunning(run *runningAttempt) {
	h.running[run.AttemptID] = run
	h.groups[run.group].attemptByGrant[run.GrantID] = run.AttemptID
}

// Finish ends a running attempt and returns the release to send. It reports
// false if the attempt is not running.
func (h *Holder) Finish(attemptID string, outcome Outcome, latency time.Duration) (Release, bool) {
	run := h.running[attemptID]
	if run == nil {
		return Release{}, false
	}
	delete(h.running, attemptID)
	delete(h.groups[run.group].attemptByGrant, run.GrantID)
	return Release{
		Group: run.group, AttemptID: attemptID, From: h.self,
		GrantID: run.GrantID, Target: run.Target, Latency: latency, Outcome: outcome,
	}, true
}

// Abandon ends a request that has no grant and no refusal yet, and returns the
// message to send. It reports false if there is no such request.
func (h *Holder) Abandon(attemptID string) (Cancel, bool) {
	p := h.pending[attemptID]
	if p == nil {
		return Cancel{}, false
	}
	h.removePending(attemptID, p)
	return Cancel{Group: p.group, AttemptID: attemptID, From: h.self}, true
}

// OwnerChanged records the epoch of a group's owner. If it is higher than the
// recorded one, the pending requests to the former owner are abandoned and
// their attempt identifiers returned, and the next Renewals reports to the new
// owner. It must be called for every group of the region, also for those
// without attempts here.
func (h *Holder) OwnerChanged(group string, epoch uint64) (abandoned []string) {
	g := h.groups[group]
	if g == nil {
		g = &groupState{attemptByGrant: map[uint64]string{}, mayReuse: map[string]bool{}}
		h.groups[group] = g
	}
	if epoch <= g.epoch {
		return nil
	}
	g.epoch, g.reported = epoch, false
	for id, p := range h.pending {
		if p.group == group {
			abandoned = append(abandoned, id)
			h.removePending(id, p)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// Renewals returns the lists to send now, one for each group that has attempts
// or whose owner has not accepted a list yet. The caller passes each list and
// the instant at which it was sent to HandleRenewReply when the reply arrives.
func (h *Holder) Renewals() []Renew {
	attemptsByGroup := map[string][]Running{}
	for _, run := range h.running {
		attemptsByGroup[run.group] = append(attemptsByGroup[run.group], run.Running)
	}
	foreign := h.foreignAttempts()
	var lists []Renew
	for _, name := range slices.Sorted(maps.Keys(h.groups)) {
		state := h.groups[name]
		attempts := attemptsByGroup[name]
		if state.reported && len(attempts) == 0 && len(foreign[name]) == 0 && !state.foreign {
			continue
		}
		slices.SortFunc(attempts, func(a, b Running) int { return cmp.Compare(a.AttemptID, b.AttemptID) })
		state.sequence++
		lists = append(lists, Renew{
			Group: name, From: h.self, Epoch: state.epoch, Sequence: state.sequence, Attempts: attempts,
			Generation: h.generation, Digest: h.groupDigest(name), Foreign: foreign[name],
		})
	}
	return lists
}

// HandleRenewReply processes the reply to a list that was sent at the given
// instant, and returns the attempts that must be cancelled because the owner
// has no grant for them. The caller ends each with Finish.
func (h *Holder) HandleRenewReply(sent snipetime.Instant, list Renew, reply RenewReply) (cancel []string) {
	g := h.groups[list.Group]
	if g == nil || !reply.Accepted || reply.Epoch != g.epoch || reply.Sequence != list.Sequence {
		return nil
	}
	g.reported = list.Generation >= h.generation
	g.foreign = len(list.Foreign) > 0
	until := sent.Add(h.timeToLive - driftMargin(h.timeToLive))
	for _, a := range list.Attempts {
		// Another attempt may reuse the grant since the list was sent.
		run := h.running[g.attemptByGrant[a.GrantID]]
		if run == nil {
			continue
		}
		if slices.Contains(reply.Unknown, a.AttemptID) {
			cancel = append(cancel, run.AttemptID)
			continue
		}
		run.expiresAt = max(run.expiresAt, until)
	}
	return cancel
}

// HolderTick holds the actions that have become due.
type HolderTick struct {
	// Cancel holds running attempts whose grant has expired because it was not
	// renewed. They must be cancelled at once and ended with Finish.
	Cancel []string
	// Lost holds the messages to send for requests whose reply is overdue. The
	// requests have been abandoned.
	Lost []Cancel
}

// Tick returns the actions that have become due at now. It must be called at
// least every 50 ms and no later than the instant that NextExpiry returns.
func (h *Holder) Tick(now snipetime.Instant) HolderTick {
	var t HolderTick
	for _, id := range slices.Sorted(maps.Keys(h.running)) {
		if !now.Before(h.running[id].expiresAt) {
			t.Cancel = append(t.Cancel, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		if !now.Before(h.pending[id].replyDeadline) {
			c, _ := h.Abandon(id)
			t.Lost = append(t.Lost, c)
		}
	}
	return t
}

// NextExpiry returns the earliest expiry of a grant in use. It reports false if
// no attempt runs.
func (h *Holder) NextExpiry() (at snipetime.Instant, ok bool) {
	for _, run := range h.running {
		if !ok || run.expiresAt.Before(at) {
			at, ok = run.expiresAt, true
		}
	}
	return at, ok
}

// Running returns the number of running attempts.
func (h *Holder) Running() int { return len(h.running) }

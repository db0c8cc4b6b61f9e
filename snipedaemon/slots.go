package snipedaemon

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// slotPeriod is the time between two ticks of the group owners and the
	// attempt holder.
	slotPeriod = 50 * time.Millisecond
	// renewPeriod is the time between two renewals of all grants. It is a fifth
	// of their time to live, so that a few lost renewals do not end an attempt.
	renewPeriod = time.Second
	// maxRecentRenewals bounds the renewal lists that are kept per group to
	// match the replies.
	maxRecentRenewals = 8
	// pauseThreshold is the time between two ticks above which the process
	// counts as paused in between.
	pauseThreshold = 10 * slotPeriod
	// resumeGrace is the time after a pause in which no attempt is cancelled.
	// The responses that arrived during the pause are read in that time. A
	// target that has responded no longer executes the attempt, so the slot
	// limit holds even if the grant has expired.
	resumeGrace = 100 * time.Millisecond
)

// slotOwner is a slot group that this instance owns.
type slotOwner struct {
	config  groupConfig
	epoch   uint64
	owner   *snipeslot.Owner
	chooser *sniperoute.Chooser
}

// sentRenewal is a renewal list and the time at which it was sent.
type sentRenewal struct {
	sentAt snipetime.Instant
	list   snipeslot.Renew
}

// slots grants the slots of the groups whose positions this instance holds, and
// tracks the grants of the attempts that this instance makes. One lock guards
// both.
type slots struct {
	log        *zap.Logger
	clock      timer
	node       *snipepeer.Node
	self       identity
	selfMember snipeslot.Member
	probes     *probes
	// isDraining reports whether a target must get no new grant.
	isDraining func(groupConfig, snipeconfig.Target) bool

	mu              sync.Mutex
	random          *rand.Rand
	attemptHolder   *snipeslot.Holder
	groups          map[string]groupConfig
	owners          map[string]*slotOwner
	positionHolders []positionHolder
	members         []snipeslot.Member
	localAttempts   map[string]*localAttempt
	recentRenewals  map[string][]sentRenewal
	// groupsGeneration is the configuration generation of groups.
	groupsGeneration uint64
	// ownerEpochs holds the newest known epoch of each group's owner.
	ownerEpochs map[string]uint64
	// lastTick is the time of the last tick, and resumedAt that of the first
	// tick after the last pause of the process; 0 if there was none.
	lastTick, resumedAt snipetime.Instant
}

func newSlots(log *zap.Logger, clock timer, node *snipepeer.Node, self identity, probes *probes) *slots {
	member := snipeslot.Member{Address: self.peerAddress, Incarnation: self.incarnation}
	s := &slots{
		log: log, clock: clock, node: node, self: self, selfMember: member, probes: probes,
		isDraining:     func(groupConfig, snipeconfig.Target) bool { return false },
		random:         rand.New(rand.NewPCG(self.seed, 3)),
		attemptHolder:  snipeslot.NewHolder(member, 0),
		groups:         make(map[string]groupConfig),
		owners:         make(map[string]*slotOwner),
		localAttempts:  make(map[string]*localAttempt),
		recentRenewals: make(map[string][]sentRenewal),
		ownerEpochs:    make(map[string]uint64),
	}
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.SlotAcquire) { s.handleAcquire(from, m) })
	snipepeer.HandleMessage(node, func(_ snipepeer.Peer, m *snipewire.SlotReply) { s.handleReply(replyFromProto(m)) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.SlotRelease) { s.handleRelease(from, m) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.SlotCancel) { s.handleCancel(from, m) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.SlotRenew) { s.handleRenew(from, m) })
	snipepeer.HandleMessage(node, func(_ snipepeer.Peer, m *snipewire.SlotRenewReply) { s.handleRenewReply(m) })
	return s
}

// configure replaces the slot groups of the region. The owners are configured
// before the attempt holder, so that a target that moves between groups is
// granted again only after its running attempts are known.
func (s *slots) configure(now snipetime.Instant, generation uint64, groups map[string]groupConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = groups
	s.groupsGeneration = generation
	for name, o := range s.owners {
		g, ok := groups[name]
		if !ok {
			// The owner of a removed group still tracks the attempts that run
			// at its targets.
			g = groupConfig{name: name, team: o.config.team, template: o.config.template}
		}
		o.config = g
		s.configureOwner(now, o)
	}
	s.attemptHolder.Configure(generation, targetAddresses(groups))
	s.assignOwners(now, nil)
	s.sendRenewals(now)
}

// refreshOwners applies changes of draining targets to the owned groups.
func (s *slots) refreshOwners(now snipetime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owners {
		s.configureOwner(now, o)
	}
}

// configureOwner passes the targets of a group to its owner and prober. The
// caller holds the lock.
func (s *slots) configureOwner(now snipetime.Instant, o *slotOwner) {
	targets := make([]snipeslot.Target, len(o.config.targets))
	addresses := make([]string, len(o.config.targets))
	for i, t := range o.config.targets {
		targets[i] = snipeslot.Target{
			Address:  t.Address().String(),
			Slots:    o.config.template.SlotsPerTarget(),
			Draining: s.isDraining(o.config, t),
		}
		addresses[i] = targets[i].Address
	}
	o.owner.SetGeneration(s.groupsGeneration)
	s.deliverReplies(o.owner.Configure(now, targets))
	s.probes.setTargets(o.config.name, addresses, o.config.template, func(address string, p sniperoute.ProbeResult) {
		s.mu.Lock()
		defer s.mu.Unlock()
		o.chooser.Probe(s.clock.Now(), address, p)
	})
}

// setPositionHolders replaces the leases that this instance holds, by position,
// and the newest known holders of all positions of the region.
func (s *slots) setPositionHolders(now snipetime.Instant, leases map[int]heldLease, holders []positionHolder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positionHolders = holders
	s.assignOwners(now, leases)
}

// heldLease is the epoch and the end of a position lease that this instance
// holds. The epoch is 0 if it does not hold the position.
type heldLease struct {
	epoch uint64
	end   snipetime.Instant
}

// assignOwners creates and removes owners according to leases and passes new
// owner epochs to the attempt holder. If leases is nil, the owners stay as they
// are. The caller holds the lock.
func (s *slots) assignOwners(now snipetime.Instant, leases map[int]heldLease) {
	if len(s.positionHolders) == 0 {
		return
	}
	changed := false
	for name, g := range s.groups {
		index := snipeslot.Position(name, len(s.positionHolders))
		if leases != nil {
			s.updateOwner(now, g, leases[index])
		}
		if epoch := s.positionHolders[index].epoch; epoch > s.ownerEpochs[name] {
			s.ownerEpochs[name] = epoch
			changed = true
			for _, id := range s.attemptHolder.OwnerChanged(name, epoch) {
				s.resolveRequest(id, slotResult{reason: snipeslot.ReasonLeaseLapsed})
			}
		}
	}
	if changed {
		// A new owner grants nothing until all instances have reported their
		// running attempts to it.
		s.sendRenewals(now)
	}
}

// updateOwner creates, keeps or removes the owner of a group according to the
// lease on its position.
func (s *slots) updateOwner(now snipetime.Instant, g groupConfig, lease heldLease) {
	o, owned := s.owners[g.name]
	if owned && o.epoch != lease.epoch {
		delete(s.owners, g.name)
		s.probes.setTargets(g.name, nil, g.template, nil)
		owned = false
	}
	if lease.epoch == 0 {
		return
	}
	if !owned {
		o = s.newOwner(now, g, lease.epoch)
		s.owners[g.name] = o
	}
	o.owner.SetLease(lease.end)
	if !owned {
		s.deliverReplies(o.owner.SetMembers(now, s.members))
		s.configureOwner(now, o)
	}
}

// newOwner returns an owner of a group that waits for the reports of all
// members.
func (s *slots) newOwner(now snipetime.Instant, g groupConfig, epoch uint64) *slotOwner {
	settings := sniperoute.ChooserSettings{SlowStart: g.template.SlowStart()}
	chooser := sniperoute.NewChooser(settings, rand.New(rand.NewPCG(s.random.Uint64(), epoch)))
	owner := snipeslot.NewOwner(snipeslot.Settings{Group: g.name, Epoch: epoch}, chooser, now)
	return &slotOwner{config: g, epoch: epoch, owner: owner, chooser: chooser}
}

// setMembers replaces the instances of the region that may hold grants.
func (s *slots) setMembers(now snipetime.Instant, members []snipeslot.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.members, members) {
		return
	}
	s.members = members
	for _, o := range s.owners {
		s.deliverReplies(o.owner.SetMembers(now, members))
	}
}

// tick advances the owners and the attempt holder, cancels attempts without a
// valid grant and refuses requests whose reply is overdue.
func (s *slots) tick(now snipetime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastTick != 0 && now.Sub(s.lastTick) > pauseThreshold {
		s.resumedAt = now
		s.log.Warn("process was paused", zap.Duration("for", now.Sub(s.lastTick)), zap.Int("attempts", s.attemptHolder.Running()))
	}
	s.lastTick = now
	for _, o := range s.owners {
		s.deliverReplies(o.owner.Tick(now))
	}
	due := s.attemptHolder.Tick(now)
	s.cancelAttempts(now, due.Cancel)
	for _, c := range due.Lost {
		s.resolveRequest(c.AttemptID, slotResult{reason: snipeslot.ReasonNoSlot})
		s.sendCancel(c)
	}
}

// renew sends the lists of running attempts to the owners of their groups.
func (s *slots) renew(now snipetime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendRenewals(now)
}

// sendRenewals sends the lists and keeps them to match the replies. The caller
// holds the lock.
func (s *slots) sendRenewals(now snipetime.Instant) {
	for _, list := range s.attemptHolder.Renewals() {
		sent := append(s.recentRenewals[list.Group], sentRenewal{sentAt: now, list: list})
		s.recentRenewals[list.Group] = sent[max(0, len(sent)-maxRecentRenewals):]
		if o, local := s.localOwner(list.Group); local {
			reply, served := o.owner.Renew(now, list)
			s.applyRenewReply(reply)
			s.deliverReplies(served)
			continue
		}
		_ = s.node.Send(s.ownerAddress(list.Group), renewToProto(list))
	}
}

// applyRenewReply matches a reply to its list and cancels the attempts for
// which the owner has no grant. The caller holds the lock.
func (s *slots) applyRenewReply(reply snipeslot.RenewReply) {
	for _, sent := range s.recentRenewals[reply.Group] {
		if sent.list.Epoch == reply.Epoch && sent.list.Sequence == reply.Sequence {
			s.cancelAttempts(s.clock.Now(), s.attemptHolder.HandleRenewReply(sent.sentAt, sent.list, reply))
			return
		}
	}
}

// ownedLoads returns the loads of all owned groups, sorted by group.
func (s *slots) ownedLoads() []snipeslot.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]snipeslot.Load, 0, len(s.owners))
	for _, o := range s.owners {
		loads = append(loads, o.owner.Load())
	}
	slices.SortFunc(loads, func(a, b snipeslot.Load) int { return strings.Compare(a.Group, b.Group) })
	return loads
}

// runningAttempts returns the number of attempts that run under grants.
func (s *slots) runningAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attemptHolder.Running()
}

// localOwner returns the owner of a group if this instance owns it. The caller
// holds the lock.
func (s *slots) localOwner(group string) (*slotOwner, bool) {
	o, ok := s.owners[group]
	return o, ok
}

// ownerAddress returns the peer address of the newest known owner of a group,
// "" if none is known. The caller holds the lock.
func (s *slots) ownerAddress(group string) string {
	if len(s.positionHolders) == 0 {
		return ""
	}
	return s.positionHolders[snipeslot.Position(group, len(s.positionHolders))].address
}

// ownerOf returns the same as ownerAddress, for callers that do not hold the
// lock.
func (s *slots) ownerOf(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerAddress(group)
}

package snipedaemon

import (
	"time"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

func memberFromPeer(p snipepeer.Peer) snipeslot.Member {
	return snipeslot.Member{Address: p.Address, Incarnation: p.Incarnation}
}

// sendAcquire sends a request to the owner of its group, which can be this
// instance. The caller holds the lock.
func (s *slots) sendAcquire(now snipetime.Instant, a snipeslot.Acquire) {
	if o, local := s.localOwner(a.Group); local {
		s.deliverReplies([]snipeslot.Reply{o.owner.Acquire(now, a)})
		return
	}
	err := s.node.Send(s.ownerAddress(a.Group), &snipewire.SlotAcquire{
		Group: a.Group, AttemptId: a.AttemptID, BudgetMillis: millis(a.Budget),
		Excluded: a.Excluded, Hedge: a.Hedge, MaxWaitMillis: millis(a.MaximumWait),
	})
	if err != nil {
		s.attemptHolder.Abandon(a.AttemptID)
		s.resolveRequest(a.AttemptID, slotResult{reason: snipeslot.ReasonNoSlot})
	}
}

// handleAcquire serves the request of another instance for a slot. It is
// refused if this instance does not own the group.
func (s *slots) handleAcquire(from snipepeer.Peer, m *snipewire.SlotAcquire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	member := memberFromPeer(from)
	o, local := s.localOwner(m.GetGroup())
	if !local {
		s.deliverReplies([]snipeslot.Reply{{
			Group: m.GetGroup(), AttemptID: m.GetAttemptId(), To: member,
			State: snipeslot.Refused, Reason: snipeslot.ReasonLeaseLapsed, RetryAfter: time.Second,
		}})
		return
	}
	s.deliverReplies([]snipeslot.Reply{o.owner.Acquire(s.clock.Now(), snipeslot.Acquire{
		Group: m.GetGroup(), AttemptID: m.GetAttemptId(), From: member,
		Budget: fromMillis(m.GetBudgetMillis()), MaximumWait: fromMillis(m.GetMaxWaitMillis()),
		Excluded: m.GetExcluded(), Hedge: m.GetHedge(),
	})})
}

// deliverReplies sends the replies of owned groups to the instances that asked
// for a slot. The caller holds the lock.
func (s *slots) deliverReplies(replies []snipeslot.Reply) {
	for _, r := range replies {
		if r.To == s.selfMember {
			s.applyReply(r)
			continue
		}
		// If the reply is lost, the slot stays reserved until the grant
		// expires.
		_ = s.node.Send(r.To.Address, replyToProto(r))
	}
}

func (s *slots) handleReply(r snipeslot.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyReply(r)
}

// applyReply passes the reply of an owner to the attempt holder and then to the
// waiting request. A grant that is not needed any more is released. The caller
// holds the lock.
func (s *slots) applyReply(r snipeslot.Reply) {
	action, release := s.attemptHolder.HandleReply(s.clock.Now(), r)
	switch action {
	case snipeslot.ActionStart:
		s.resolveRequest(r.AttemptID, slotResult{target: r.Target})
	case snipeslot.ActionRefuse:
		s.resolveRequest(r.AttemptID, slotResult{reason: r.Reason, retryAfter: r.RetryAfter})
	case snipeslot.ReturnGrant:
		s.sendRelease(release)
	case snipeslot.ActionWait, snipeslot.ActionIgnore:
	}
}

func (s *slots) sendRelease(r snipeslot.Release) {
	if o, local := s.localOwner(r.Group); local {
		s.deliverReplies(o.owner.Release(s.clock.Now(), r))
		return
	}
	// If the release is lost, the owner finds out by the next renewal list,
	// which no longer contains the attempt.
	_ = s.node.Send(s.ownerAddress(r.Group), &snipewire.SlotRelease{
		Group: r.Group, AttemptId: r.AttemptID, GrantId: r.GrantID, Target: r.Target,
		LatencyMicros: uint32(r.Latency.Microseconds()), Outcome: string(r.Outcome),
	})
}

func (s *slots) handleRelease(from snipepeer.Peer, m *snipewire.SlotRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, local := s.localOwner(m.GetGroup()); local {
		s.deliverReplies(o.owner.Release(s.clock.Now(), snipeslot.Release{
			Group: m.GetGroup(), AttemptID: m.GetAttemptId(), From: memberFromPeer(from), GrantID: m.GetGrantId(),
			Target: m.GetTarget(), Latency: time.Duration(m.GetLatencyMicros()) * time.Microsecond,
			Outcome: snipeslot.Outcome(m.GetOutcome()),
		}))
	}
}

func (s *slots) sendCancel(c snipeslot.Cancel) {
	if o, local := s.localOwner(c.Group); local {
		s.deliverReplies(o.owner.Cancel(s.clock.Now(), c))
		return
	}
	_ = s.node.Send(s.ownerAddress(c.Group), &snipewire.SlotCancel{Group: c.Group, AttemptId: c.AttemptID})
}

func (s *slots) handleCancel(from snipepeer.Peer, m *snipewire.SlotCancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, local := s.localOwner(m.GetGroup()); local {
		s.deliverReplies(o.owner.Cancel(s.clock.Now(), snipeslot.Cancel{
			Group: m.GetGroup(), AttemptID: m.GetAttemptId(), From: memberFromPeer(from),
		}))
	}
}

func (s *slots) handleRenew(from snipepeer.Peer, m *snipewire.SlotRenew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, local := s.localOwner(m.GetGroup())
	if !local {
		return
	}
	reply, served := o.owner.Renew(s.clock.Now(), renewFromProto(from, m))
	_ = s.node.Send(from.Address, &snipewire.SlotRenewReply{
		Group: reply.Group, Epoch: reply.Epoch, Sequence: reply.Sequence,
		Accepted: reply.Accepted, UnknownAttempts: reply.Unknown,
	})
	s.deliverReplies(served)
}

func (s *slots) handleRenewReply(m *snipewire.SlotRenewReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRenewReply(snipeslot.RenewReply{
		Group: m.GetGroup(), Epoch: m.GetEpoch(), Sequence: m.GetSequence(),
		Accepted: m.GetAccepted(), Unknown: m.GetUnknownAttempts(),
	})
}

func renewToProto(list snipeslot.Renew) *snipewire.SlotRenew {
	m := &snipewire.SlotRenew{
		Group: list.Group, Epoch: list.Epoch, Sequence: list.Sequence, Generation: list.Generation, Digest: list.Digest,
		Foreign: make(map[string]uint32, len(list.Foreign)),
	}
	for target, n := range list.Foreign {
		m.Foreign[target] = uint32(n)
	}
	for _, a := range list.Attempts {
		m.Attempts = append(m.Attempts, &snipewire.RunningAttempt{AttemptId: a.AttemptID, GrantId: a.GrantID, Target: a.Target})
	}
	return m
}

func renewFromProto(from snipepeer.Peer, m *snipewire.SlotRenew) snipeslot.Renew {
	list := snipeslot.Renew{
		Group: m.GetGroup(), From: memberFromPeer(from), Epoch: m.GetEpoch(), Sequence: m.GetSequence(),
		Generation: m.GetGeneration(), Digest: m.GetDigest(), Foreign: make(map[string]int, len(m.GetForeign())),
	}
	for target, n := range m.GetForeign() {
		list.Foreign[target] = int(n)
	}
	for _, a := range m.GetAttempts() {
		list.Attempts = append(list.Attempts, snipeslot.Running{
			AttemptID: a.GetAttemptId(), GrantID: a.GetGrantId(), Target: a.GetTarget(),
		})
	}
	return list
}

func replyToProto(r snipeslot.Reply) *snipewire.SlotReply {
	return &snipewire.SlotReply{
		Group: r.Group, AttemptId: r.AttemptID, GrantId: r.GrantID, Target: r.Target,
		TimeToLiveMillis: millis(r.TimeToLive), Reason: string(r.Reason),
		RetryAfterMillis: millis(r.RetryAfter), State: snipewire.SlotReply_State(r.State), Epoch: r.Epoch,
	}
}

func replyFromProto(m *snipewire.SlotReply) snipeslot.Reply {
	return snipeslot.Reply{
		Group: m.GetGroup(), AttemptID: m.GetAttemptId(), GrantID: m.GetGrantId(), Target: m.GetTarget(),
		TimeToLive: fromMillis(m.GetTimeToLiveMillis()), Reason: snipeslot.Reason(m.GetReason()),
		RetryAfter: fromMillis(m.GetRetryAfterMillis()), State: snipeslot.State(m.GetState()), Epoch: m.GetEpoch(),
	}
}

// millis returns a duration in whole milliseconds, rounded down and limited to
// the range of uint32.
func millis(d time.Duration) uint32 {
	const largest = 1<<32 - 1
	return uint32(min(max(d.Milliseconds(), 0), largest))
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

package snipeslot

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

// A target that moves from one group to another can have attempts that run under
// grants of the former owner. Its new owner holds it, that is, grants none of its
// slots, until every member of the region has reported the same targets of the
// group, in the generation that added the target or a later one. In this report a
// member also counts its attempts at the group's targets under grants of other
// groups; they occupy slots until they end, and the member starts no more of
// them. The former owner runs at a member too, which configures its owners before
// it reports, so that the former owner has then stopped granting the target's
// slots.

// maximumMoveHold bounds the wait for members that do not report: after a
// position lease and a time to live no former owner without the generation
// should be able to renew a grant.
const maximumMoveHold = 10*time.Second + DefaultTimeToLive

// hold keeps the slots of a target from being granted until every member has
// reported the generation or a later one, or until the instant. A zero
// generation means no hold.
type hold struct {
	generation uint64
	until      snipetime.Instant
}

// memberReport is the part of a member's latest list that does not concern the
// grants of this group.
type memberReport struct {
	generation, digest uint64
	// reportedForeign counts, by target, the attempts under grants of other
	// groups in the latest list; appliedForeign holds the counts that occupy
	// slots now.
	reportedForeign, appliedForeign map[string]int
}

// targetDigest returns a hash of the addresses that does not depend on their
// order.
func targetDigest(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(addresses)), "\n"))
}

// SetGeneration sets the configuration generation of the next Configure. It must
// be called where targets can move between groups; without it, the slots of new
// targets are granted at once.
func (o *Owner) SetGeneration(generation uint64) { o.generation = generation }

// newHold returns the hold of a target that is added to the group. A new owner
// holds its targets no longer than its recovery lasts.
func (o *Owner) newHold(now snipetime.Instant) hold {
	if o.generation == 0 {
		return hold{}
	}
	until := now.Add(maximumMoveHold + driftMargin(maximumMoveHold))
	if !o.configured {
		until = o.recovery.until
	}
	return hold{generation: o.generation, until: until}
}

// releaseHolds ends the holds whose time is over or whose generation every
// member has reported.
func (o *Owner) releaseHolds(now snipetime.Instant) {
	for _, t := range o.sortedTargets {
		if t.hold.generation > 0 && (!now.Before(t.hold.until) || o.allMembersAgree(t.hold.generation)) {
			t.hold = hold{}
		}
	}
}

// allMembersAgree reports whether every member has reported the same targets of
// this group in the generation or a later one.
func (o *Owner) allMembersAgree(generation uint64) bool {
	for address, incarnation := range o.recovery.members {
		r := o.reports[Member{address, incarnation}]
		if r.generation < generation || r.digest != o.digest {
			return false
		}
	}
	return o.recovery.membersKnown
}

// recordReport stores the part of a list that does not concern the grants of
// this group.
func (o *Owner) recordReport(now snipetime.Instant, r Renew) {
	counted := o.reports[r.From].appliedForeign
	o.reports[r.From] = memberReport{generation: r.Generation, digest: r.Digest, reportedForeign: r.Foreign, appliedForeign: counted}
	o.applyForeign(r.From)
	o.releaseHolds(now)
}

// applyForeign makes the latest counts of a member occupy slots. A member that
// has other targets in the group may not count attempts at a target that is in
// use here, so its earlier counts stay until the targets agree.
func (o *Owner) applyForeign(m Member) {
	r := o.reports[m]
	if r.digest != o.digest {
		return
	}
	o.addForeign(r.appliedForeign, -1)
	r.appliedForeign = r.reportedForeign
	o.addForeign(r.appliedForeign, 1)
	o.reports[m] = r
}

// addForeign adds the counts, multiplied by sign, to the targets.
func (o *Owner) addForeign(counts map[string]int, sign int) {
	for address, n := range counts {
		o.targetOrNew(address).foreign += sign * n
	}
}

// assignment is the division of targets into groups in one generation.
type assignment struct {
	groupOf map[string]string
	digests map[string]uint64
}

// assigns reports whether the target is in the group. Before the first
// Configure, when a is nil, every target is in every group.
func (a *assignment) assigns(target, group string) bool {
	return a == nil || a.groupOf[target] == group
}

// Configure sets the generation in force and the targets of each group of the
// region in it. It does nothing if the generation is not higher than the current
// one. The owners of this instance must be configured first.
func (h *Holder) Configure(generation uint64, groups map[string][]string) {
	if generation <= h.generation {
		return
	}
	a := &assignment{groupOf: map[string]string{}, digests: map[string]uint64{}}
	for name, targets := range groups {
		a.digests[name] = targetDigest(targets)
		for _, t := range targets {
			a.groupOf[t] = name
		}
	}
	h.generation, h.assignment = generation, a
	for _, g := range h.groups {
		g.reported = false
	}
	for _, p := range h.pending {
		p.assignments = append(p.assignments, a)
	}
}

// inGroupSinceSent reports whether the target has been in the group of the
// request in every generation since the request was sent, so that an attempt may
// start there. A grant from before a move is void even after the target has
// returned to the group.
func (h *Holder) inGroupSinceSent(p *pendingRequest, target string) bool {
	return h.assignment.assigns(target, p.group) &&
		!slices.ContainsFunc(p.assignments, func(a *assignment) bool { return !a.assigns(target, p.group) })
}

// foreignAttempts counts, by group and target, the attempts that run under
// grants of groups to which their targets no longer belong.
func (h *Holder) foreignAttempts() map[string]map[string]int {
	all := map[string]map[string]int{}
	for _, run := range h.running {
		if h.assignment.assigns(run.Target, run.group) {
			continue
		}
		group := h.assignment.groupOf[run.Target]
		if all[group] == nil {
			all[group] = map[string]int{}
		}
		all[group][run.Target]++
	}
	return all
}

func (h *Holder) groupDigest(group string) uint64 {
	if h.assignment == nil {
		return 0
	}
	return h.assignment.digests[group]
}

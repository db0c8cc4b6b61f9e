package snipeslot

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

// A target that moves from one group to another can have attempts under grants
// of the former owner. Its new owner holds it until every member of the region
// has reported that it has the same targets in the group, in the generation that
// brought the target or a later one. With this report a member states how many
// attempts it runs at the group's targets under grants of other groups, which
// take up slots until they have ended, and it starts no further ones. The former
// owner is the owner of a member too, so that it has given up the target.

// moveSettle bounds the wait for members that do not report: after a position
// lease and a time to live no former owner without the generation should be
// able to renew a grant.
const moveSettle = 10*time.Second + DefaultTimeToLive

// hold keeps a target out of use until members have reported.
type hold struct {
	generation uint64
	until      snipetime.Instant
}

// report is what a member's latest list says besides its grants.
type report struct {
	generation, digest uint64
	// latest is the report's count of attempts under other groups, and counted
	// the one that takes up slots.
	latest, counted map[string]int
}

// digestOf identifies the targets of a group in any order.
func digestOf(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(addresses)), "\n"))
}

// SetGeneration states the configuration generation of the next Configure. It
// must be called where targets can move between groups; without it, targets
// are used at once.
func (o *Owner) SetGeneration(generation uint64) { o.generation = generation }

// newHold returns the hold of a target that appears in the group. A new owner
// holds its targets no longer than its recovery lasts.
func (o *Owner) newHold(now snipetime.Instant) hold {
	if o.generation == 0 {
		return hold{}
	}
	until := now.Add(moveSettle + driftMargin(moveSettle))
	if !o.configured {
		until = o.recovery.until
	}
	return hold{generation: o.generation, until: until}
}

// endHolds ends the holds that are over or that every member has passed.
func (o *Owner) endHolds(now snipetime.Instant) {
	for _, t := range o.order {
		if t.hold.generation > 0 && (!now.Before(t.hold.until) || o.agreed(t.hold.generation)) {
			t.hold = hold{}
		}
	}
}

// agreed reports whether every member has reported the targets of this group in
// the generation or a later one.
func (o *Owner) agreed(generation uint64) bool {
	for address, incarnation := range o.recovery.members {
		r := o.reports[Member{address, incarnation}]
		if r.generation < generation || r.digest != o.digest {
			return false
		}
	}
	return o.recovery.known
}

// setReport takes the part of a list that concerns other groups.
func (o *Owner) setReport(now snipetime.Instant, r Renew) {
	counted := o.reports[r.From].counted
	o.reports[r.From] = report{generation: r.Generation, digest: r.Digest, latest: r.Foreign, counted: counted}
	o.countForeign(r.From)
	o.endHolds(now)
}

// countForeign puts the latest counts of a member into use. Those of a member
// with other targets in the group may lack some that are in use here, so that
// the earlier ones stay until the lists of targets agree.
func (o *Owner) countForeign(m Member) {
	r := o.reports[m]
	if r.digest != o.digest {
		return
	}
	o.addForeign(r.counted, -1)
	r.counted = r.latest
	o.addForeign(r.counted, 1)
	o.reports[m] = r
}

// addForeign adds sign times the counts to the targets.
func (o *Owner) addForeign(counts map[string]int, sign int) {
	for address, n := range counts {
		o.target(address).foreign += sign * n
	}
}

// assignment is the division of targets into groups in one generation.
type assignment struct {
	groupOf map[string]string
	digests map[string]uint64
}

// belongs reports whether the target is in the group; every target is in every
// group before the first Configure.
func (a *assignment) belongs(target, group string) bool {
	return a == nil || a.groupOf[target] == group
}

// Configure states the generation in force and the targets of each group of the
// region in it. It does nothing if the generation is not higher than the one
// before. The owners of this instance are to be configured first.
func (h *Holder) Configure(generation uint64, groups map[string][]string) {
	if generation <= h.generation {
		return
	}
	a := &assignment{groupOf: map[string]string{}, digests: map[string]uint64{}}
	for name, targets := range groups {
		a.digests[name] = digestOf(targets)
		for _, t := range targets {
			a.groupOf[t] = name
		}
	}
	h.generation, h.assigned = generation, a
	for _, g := range h.groups {
		g.reported = false
	}
	for _, p := range h.pending {
		p.passed = append(p.passed, a)
	}
}

// usable reports whether the request may start at the target: the target has
// been in its group in every generation since the request was sent. A grant
// from before a move is void even after the target has returned.
func (h *Holder) usable(p *pending, target string) bool {
	return h.assigned.belongs(target, p.group) &&
		!slices.ContainsFunc(p.passed, func(a *assignment) bool { return !a.belongs(target, p.group) })
}

// foreign counts by group and target the attempts under grants of groups that
// their targets do not belong to.
func (h *Holder) foreign() map[string]map[string]int {
	all := map[string]map[string]int{}
	for _, run := range h.running {
		if h.assigned.belongs(run.Target, run.group) {
			continue
		}
		group := h.assigned.groupOf[run.Target]
		if all[group] == nil {
			all[group] = map[string]int{}
		}
		all[group][run.Target]++
	}
	return all
}

func (h *Holder) digest(group string) uint64 {
	if h.assigned == nil {
		return 0
	}
	return h.assigned.digests[group]
}

package snipemember

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// SummaryBytesPerSecond is the long-term rate of summaries that one instance
	// sends to all its peers together.
	SummaryBytesPerSecond = 600
	// summaryBurst is the largest budget of summaries in bytes. It suffices to
	// report the failure of a whole domain of 26 instances to all 25 peers at once.
	summaryBurst = 48 << 10
	// rotationReserve is the part of the budget that is kept for changes, in
	// bytes; an unchanged member is repeated only if this much remains.
	rotationReserve = summaryBurst / 2
	// maxSummaries bounds the summaries in one heartbeat.
	maxSummaries = 16
)

// peerState records what was sent on the session with a peer.
type peerState struct {
	// sentChange is the number of the highest change sent. Sessions deliver in
	// order, so that all lower ones have arrived or the session is lost.
	sentChange uint64
	// rotationCursor is the address of the last repeated member.
	rotationCursor string
}

// ResetPeer clears the record of what was sent to a peer, so that all changes are
// sent again. It must be called for each new session.
func (v *View) ResetPeer(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, address)
}

// AllReports returns reports on all members with a known heartbeat, for a peer
// that has just started. They do not count against the budget of summaries.
func (v *View) AllReports(now snipetime.Instant) []Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	var reports []Report
	for _, e := range v.members {
		if e.Incarnation != "" {
			reports = append(reports, v.reportOf(e))
		}
	}
	return reports
}

// Summaries returns the reports to add to the next heartbeat to a peer. A
// delegate reports the members that changed since the last call, oldest change
// first, at most 16. If there are none, or if this instance is not a delegate, it
// reports one member in rotation. A peer of the own domain receives reports on
// other domains, a peer of another domain receives reports on the own one. The
// byte budget can reduce the reports to none. A full mesh needs no summaries.
func (v *View) Summaries(peer string, now snipetime.Instant) []Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	v.budget.refill(v.now)
	member, ok := v.members[peer]
	if !ok || v.fullMesh() {
		return nil
	}
	p, ok := v.peers[peer]
	if !ok {
		p = &peerState{}
		v.peers[peer] = p
	}
	candidates := v.candidates(member)
	var reports []Report
	for _, e := range candidates {
		if !v.isDelegate || e.changeNumber <= p.sentChange || len(reports) == maxSummaries {
			continue
		}
		n := v.reportOf(e)
		if !v.budget.take(n.EncodedSize(), 0) {
			break
		}
		reports = append(reports, n)
		p.sentChange = e.changeNumber
	}
	if len(reports) > 0 || len(candidates) == 0 {
		return reports
	}
	return v.nextInRotation(p, candidates)
}

// candidates returns the members that may be reported to a peer, ordered by
// change.
func (v *View) candidates(peer *memberEntry) []*memberEntry {
	ownDomain := v.members[v.self].Domain
	var candidates []*memberEntry
	for _, e := range v.members {
		if e.Incarnation == "" || e.Address == v.self || e == peer {
			continue
		}
		if (peer.Domain == ownDomain) == (e.Domain == ownDomain) {
			continue
		}
		// A suspect or gone member is reported only by instances that received its
		// heartbeats directly, and by delegates, which receive such reports first.
		if e.State != Live && e.State != Leaving && !v.isDelegate && !e.Direct {
			continue
		}
		candidates = append(candidates, e)
	}
	slices.SortFunc(candidates, func(a, b *memberEntry) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	return candidates
}

// nextInRotation returns a report on the next member in the order of addresses,
// or none at the end of a round or below the reserve of the budget.
func (v *View) nextInRotation(p *peerState, candidates []*memberEntry) []Report {
	var next *memberEntry
	for _, e := range candidates {
		if e.Address > p.rotationCursor && (next == nil || e.Address < next.Address) {
			next = e
		}
	}
	if next == nil {
		p.rotationCursor = ""
		return nil
	}
	n := v.reportOf(next)
	if !v.budget.take(n.EncodedSize(), rotationReserve) {
		return nil
	}
	p.rotationCursor = next.Address
	return []Report{n}
}

func (v *View) reportOf(e *memberEntry) Report {
	n := Report{
		Address: e.Address, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, Place: e.Place,
		Sequence: e.Sequence, Generation: e.Generation, ClockMillis: e.ClockMillis,
		Leaving: e.announcedLeaving, Ready: e.Ready, Watching: e.Watching,
		Silent: e.State == Suspect || e.State == Gone, Age: v.now.Sub(e.LastHeartbeat),
		Relays: e.relays + 1,
	}
	return n
}

// EncodedSize returns the size of the report as a protobuf field in bytes: each
// field has a tag of one byte, strings also have a length of one byte, and
// booleans that are false are absent.
func (n Report) EncodedSize() int {
	size := 2
	for _, s := range []string{n.Address, n.PeerAddress, n.Incarnation, n.Place} {
		size += 2 + len(s)
	}
	for _, x := range []uint64{n.Sequence, n.Generation, n.ClockMillis, uint64(n.Age.Milliseconds()), uint64(n.Relays)} {
		size += 1 + varintSize(x)
	}
	for _, b := range []bool{n.Leaving, n.Ready, n.Watching, n.Silent} {
		if b {
			size += 2
		}
	}
	return size
}

// SteadyHeartbeatSize returns the size in bytes of a heartbeat without changes
// and without summaries on a yamux stream: frame header, length prefix, Control
// wrapper, sequence and clock.
func SteadyHeartbeatSize(sequence, clockMillis uint64) int {
	const yamuxHeader, lengthPrefix, wrapper = 12, 1, 4
	return yamuxHeader + lengthPrefix + wrapper +
		1 + varintSize(sequence) + 1 + varintSize(clockMillis)
}

// varintSize returns the size in bytes of x as a protobuf varint.
func varintSize(x uint64) int { return (bits.Len64(x|1) + 6) / 7 }

// byteBudget is a token bucket with one token for each byte.
type byteBudget struct {
	tokens float64
	last   snipetime.Instant
}

func (b *byteBudget) refill(now snipetime.Instant) {
	b.tokens = min(summaryBurst, b.tokens+now.Sub(b.last).Seconds()*SummaryBytesPerSecond)
	b.last = now
}

// take removes n tokens and reports true if at least reserve remain. Otherwise it
// removes none.
func (b *byteBudget) take(n int, reserve float64) bool {
	if b.tokens-float64(n) < reserve {
		return false
	}
	b.tokens -= float64(n)
	return true
}

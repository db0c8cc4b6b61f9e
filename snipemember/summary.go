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
	// summaryBurst lets the failure of a whole domain of 26 instances reach all
	// 25 peers at once.
	summaryBurst = 48 << 10
	// rotationReserve is kept for changes; repeats of unchanged members stop
	// while the budget is below it.
	rotationReserve = summaryBurst / 2
	// maxSummaries bounds the summaries in one heartbeat.
	maxSummaries = 16
)

// peerState is what was sent on the session with a peer.
type peerState struct {
	// sent is the highest change sent. Sessions deliver in order, so all lower
	// ones arrived or the session is lost.
	sent uint64
	// cursor is the address of the last repeated member.
	cursor string
}

// ResetPeer forgets what was sent to a peer. It is called for each new session.
func (v *View) ResetPeer(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, address)
}

// Everything returns news of all known members, for a peer that has just
// started. It is not charged to the budget of summaries.
func (v *View) Everything(now snipetime.Instant) []News {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	var news []News
	for _, e := range v.members {
		if e.Incarnation != "" {
			news = append(news, v.newsOf(e))
		}
	}
	return news
}

// Summaries returns the news to add to the next heartbeat to a peer. A delegate
// sends members that changed since the last call, oldest change first. If there
// are none, and from other instances, one member in rotation is sent. A peer of
// the own domain learns of other domains, a peer of another domain learns of
// the own one. A full mesh needs no summaries.
func (v *View) Summaries(peer string, now snipetime.Instant) []News {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	v.budget.refill(v.now)
	to, ok := v.members[peer]
	if !ok || v.fullMesh() {
		return nil
	}
	p, ok := v.peers[peer]
	if !ok {
		p = &peerState{}
		v.peers[peer] = p
	}
	candidates := v.candidates(to)
	var news []News
	for _, e := range candidates {
		if !v.reaches || e.change <= p.sent || len(news) == maxSummaries {
			continue
		}
		n := v.newsOf(e)
		if !v.budget.take(n.EncodedSize(), 0) {
			break
		}
		news = append(news, n)
		p.sent = e.change
	}
	if len(news) > 0 || len(candidates) == 0 {
		return news
	}
	return v.rotate(p, candidates)
}

// candidates returns the members to tell a peer about, ordered by change.
func (v *View) candidates(to *entry) []*entry {
	own := v.members[v.self].Domain
	var out []*entry
	for _, e := range v.members {
		if e.Incarnation == "" || e.Address == v.self || e == to {
			continue
		}
		if (to.Domain == own) == (e.Domain == own) {
			continue
		}
		// Only those who would hear a member, or are told first, report silence.
		if e.State != Live && e.State != Leaving && !v.reaches && !e.Direct {
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	return out
}

func (v *View) rotate(p *peerState, candidates []*entry) []News {
	var next *entry
	for _, e := range candidates {
		if e.Address > p.cursor && (next == nil || e.Address < next.Address) {
			next = e
		}
	}
	if next == nil {
		p.cursor = ""
		return nil
	}
	n := v.newsOf(next)
	if !v.budget.take(n.EncodedSize(), rotationReserve) {
		return nil
	}
	p.cursor = next.Address
	return []News{n}
}

func (v *View) newsOf(e *entry) News {
	n := News{
		Address: e.Address, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, Place: e.Place,
		Sequence: e.Sequence, Generation: e.Generation, ClockMillis: e.ClockMillis,
		Leaving: e.selfLeaving, Ready: e.Ready, Watching: e.Watching,
		Silent: e.State == Suspect || e.State == Gone, Age: v.now.Sub(e.Heard),
		Relays: e.relays + 1,
	}
	return n
}

// EncodedSize returns the bytes of the news as a protobuf field: each field has
// a tag of one byte, strings also a length of one byte, and booleans that are
// false are absent.
func (n News) EncodedSize() int {
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

// SteadySize returns the bytes of a heartbeat without changes and without
// summaries on a yamux stream: frame header, length prefix, Control wrapper,
// sequence and clock.
func SteadySize(sequence, clockMillis uint64) int {
	const yamuxHeader, lengthPrefix, wrapper = 12, 1, 4
	return yamuxHeader + lengthPrefix + wrapper +
		1 + varintSize(sequence) + 1 + varintSize(clockMillis)
}

func varintSize(x uint64) int { return (bits.Len64(x|1) + 6) / 7 }

// byteBudget is a token bucket of bytes.
type byteBudget struct {
	tokens float64
	last   snipetime.Instant
}

func (b *byteBudget) refill(now snipetime.Instant) {
	b.tokens = min(summaryBurst, b.tokens+now.Sub(b.last).Seconds()*SummaryBytesPerSecond)
	b.last = now
}

// take removes n bytes if that leaves at least reserve.
func (b *byteBudget) take(n int, reserve float64) bool {
	if b.tokens-float64(n) < reserve {
		return false
	}
	b.tokens -= float64(n)
	return true
}

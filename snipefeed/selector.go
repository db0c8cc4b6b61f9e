package snipefeed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// failedPeerBackoff is how long a front is not asked after it failed to answer.
	// The entry of a front that is gone lapses in about that time.
	failedPeerBackoff = 3 * time.Second
	// stalePeerBackoff is how long a front is not asked after it answered with stale
	// data, without a recent confirmation from the store.
	stalePeerBackoff = 500 * time.Millisecond
)

// Selection names the source to ask next.
type Selection struct {
	// Peer is the address of the front to ask, or empty for the store.
	Peer string
	// IsWatcher means that this front is a watcher of its group, and
	// ServesPeers that there are other fronts in the group, which may ask it.
	IsWatcher, ServesPeers bool
	// Fallback means that Peer is a fallback: this front would ask the store if
	// the store answered.
	Fallback bool
	// Probe means that it is not known whether Peer has recent data, so that it is to
	// answer at once.
	Probe bool
}

// SourceSelector selects the source from which a front receives the items of
// the store. It is not safe for concurrent use.
type SourceSelector struct {
	self  snipefleet.Member
	seeds []string
	// backoffUntil holds the time before which a front is not asked, by its peer
	// address.
	backoffUntil map[string]snipetime.Instant
	// storeRetryAt is when the store may be asked again after it failed to answer.
	// Until fallbackUntil the front prefers another front to the store.
	storeRetryAt, fallbackUntil snipetime.Instant
	// sightings holds what other fronts last answered, by their peer address.
	sightings map[string]sighting
}

// NewSourceSelector returns the selector of the front self. seeds are peer
// addresses of fronts to ask when neither the store nor a watcher among the
// members can be asked, as on a start without the store.
func NewSourceSelector(self snipefleet.Member, seeds []string) *SourceSelector {
	return &SourceSelector{
		self: self, seeds: seeds, backoffUntil: make(map[string]snipetime.Instant), sightings: make(map[string]sighting),
	}
}

// Select returns the source to ask now, given the registered members. If that
// is the store, the caller first waits for the duration that StoreRetryIn
// returns.
func (p *SourceSelector) Select(now snipetime.Instant, members []snipefleet.Member) Selection {
	groups := NewGroups(p.self, members)
	own := groups.At(p.self.Place)
	ownWatchers := groups.Watchers(own)
	c := Selection{IsWatcher: containsName(ownWatchers, p.self.Name)}
	c.ServesPeers = c.IsWatcher && len(groups.Fronts(own)) > 1
	if !c.IsWatcher {
		if peer := p.pickWatcher(now, ownWatchers); peer != "" {
			c.Peer, c.Probe = peer, !p.sightings[peer].countsAt(now)
			return c
		}
	}
	if !now.Before(max(p.storeRetryAt, p.fallbackUntil)) {
		return c
	}
	c.Peer = cmp.Or(p.pickFallback(now, ownWatchers, groups.WatchersOfOthers(own)), p.pickSeed(now))
	c.Fallback = c.Peer != ""
	c.Probe = c.Fallback && !p.sightings[c.Peer].countsAt(now)
	return c
}

// StoreRetryIn returns the time to wait before the store may be asked; 0 if it
// may be asked now.
func (p *SourceSelector) StoreRetryIn(now snipetime.Instant) time.Duration {
	return max(p.storeRetryAt.Sub(now), 0)
}

// StoreFailed records that the store did not answer. It is asked again after the
// delay.
func (p *SourceSelector) StoreFailed(now snipetime.Instant, delay time.Duration) {
	p.storeRetryAt = now.Add(delay)
}

// FallbackAnswered records that a front answered as a fallback for the store.
// The store is asked again after the delay, or as soon as no front is left to
// fall back on. Further answers in that time do not extend it.
func (p *SourceSelector) FallbackAnswered(now snipetime.Instant, delay time.Duration) {
	if !now.Before(p.fallbackUntil) {
		p.fallbackUntil = now.Add(delay)
	}
}

// PeerFailed records that the front at the address peer did not answer.
func (p *SourceSelector) PeerFailed(now snipetime.Instant, peer string) {
	p.backOff(now, peer, failedPeerBackoff)
}

// PeerStale records that the front at the address peer answered with stale data.
func (p *SourceSelector) PeerStale(now snipetime.Instant, peer string) {
	p.backOff(now, peer, stalePeerBackoff)
}

// backOff excludes a front for the time d, and forgets expired exclusions.
func (p *SourceSelector) backOff(now snipetime.Instant, peer string, d time.Duration) {
	maps.DeleteFunc(p.backoffUntil, func(_ string, until snipetime.Instant) bool { return !now.Before(until) })
	maps.DeleteFunc(p.sightings, func(_ string, s sighting) bool { return !s.countsAt(now) })
	p.backoffUntil[peer] = now.Add(d)
}

// pickWatcher returns the address of one of the watchers that may be asked, or an
// empty string. Rendezvous hashing spreads the fronts over the watchers.
func (p *SourceSelector) pickWatcher(now snipetime.Instant, watchers []snipefleet.Member) string {
	if ranked := p.rankWatchers(now, watchers); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// pickSeed returns the first seed that may be asked, or an empty string.
func (p *SourceSelector) pickSeed(now snipetime.Instant) string {
	for _, address := range p.seeds {
		if address != p.self.Peer && !now.Before(p.backoffUntil[address]) {
			return address
		}
	}
	return ""
}

func containsName(members []snipefleet.Member, name string) bool {
	return slices.ContainsFunc(members, func(m snipefleet.Member) bool { return m.Name == name })
}

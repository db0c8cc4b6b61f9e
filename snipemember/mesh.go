package snipemember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// Period is the time between heartbeats to peers of the own failure domain,
	// and to all peers of a full mesh.
	Period = 500 * time.Millisecond
	// RemotePeriod is the time between heartbeats to delegates of other failure
	// domains when the fleet is not a full mesh. With 34 such sessions, a shorter
	// period would exceed the limit on the control traffic of a node.
	RemotePeriod = 2 * time.Second

	// delegatesPerDomain is the number of delegates of a failure domain, the
	// members that hold sessions with the delegates of other domains.
	delegatesPerDomain = 2
	// watchersPerFleet is the number of instances that hold the configuration
	// watches.
	watchersPerFleet = 2
	// watcherGrace is how long a region waits for a report on a live watcher before
	// its first instance starts a watch.
	watcherGrace = 3 * time.Second
)

// Peer is an instance to hold a session with.
type Peer struct {
	Address     string
	PeerAddress string
	// Period is the time between heartbeats on the session.
	Period time.Duration
}

// Mesh returns the peers to hold sessions with, sorted by address. The views of
// two instances can differ until they converge; a session exists if either view
// requires it.
func (v *View) Mesh() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	fullMesh := v.fullMesh()
	ownDomain := v.members[v.self].Domain
	delegates := v.delegates()
	isDelegate := delegates[v.self]
	var peers []Peer
	for address, e := range v.members {
		if address == v.self || e.State == Gone {
			continue
		}
		switch {
		case fullMesh || e.Domain == ownDomain:
			peers = append(peers, Peer{address, e.PeerAddress, Period})
		case isDelegate && delegates[address]:
			peers = append(peers, Peer{address, e.PeerAddress, RemotePeriod})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	return peers
}

// delegates returns the delegates of all domains. Suspect members are chosen
// only where there are not enough live ones: after a start all members are
// suspect until sessions exist. The choice among them changes with time. With a
// fixed choice, two domains could each choose only stopped members of the other,
// and would then never exchange reports.
func (v *View) delegates() map[string]bool {
	domains := make(map[string][]*memberEntry)
	for _, e := range v.members {
		if e.State != Gone {
			domains[e.Domain] = append(domains[e.Domain], e)
		}
	}
	chosen := make(map[string]bool)
	for domain, members := range domains {
		ordered := rendezvous("delegate/"+domain, members, len(members))
		live := slices.IndexFunc(ordered, func(e *memberEntry) bool { return e.State != Live })
		if live < 0 {
			live = len(ordered)
		}
		for _, e := range ordered[:min(live, delegatesPerDomain)] {
			chosen[e.Address] = true
		}
		suspects := ordered[live:]
		for i := range min(delegatesPerDomain-live, len(suspects)) {
			chosen[suspects[(v.probeRound()*delegatesPerDomain+i)%len(suspects)].Address] = true
		}
	}
	return chosen
}

// probeRound returns the number of the current period. Within a period the same
// suspect delegates are tried; it is long enough for several heartbeats.
func (v *View) probeRound() int { return int(v.now.Sub(0) / v.settings.RemoteSuspectAfter) }

// ShouldWatch reports whether this instance is to hold the configuration
// watches: it is one of two instances of the fleet, or the first one of a
// region in which no live watcher has been known for 3 s.
func (v *View) ShouldWatch(now snipetime.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	self := v.members[v.self]
	var live, regional []*memberEntry
	for _, e := range v.members {
		if e.State != Live {
			continue
		}
		live = append(live, e)
		if e.Region == self.Region {
			regional = append(regional, e)
		}
		if e.Watching && e != self {
			v.watcherSeen = v.now
		}
	}
	if slices.Contains(rendezvous("watch", live, watchersPerFleet), self) {
		return true
	}
	return v.now.Sub(v.watcherSeen) >= watcherGrace &&
		slices.Contains(rendezvous("watch/"+self.Region, regional, 1), self)
}

// rendezvous returns the n members with the highest hash of name and address,
// live ones first. It reorders members.
func rendezvous(name string, members []*memberEntry, n int) []*memberEntry {
	score := func(e *memberEntry) uint64 { return xxhash.Sum64String(name + "/" + e.Address) }
	slices.SortFunc(members, func(a, b *memberEntry) int {
		if (a.State == Live) != (b.State == Live) {
			if a.State == Live {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Address, b.Address))
	})
	return members[:min(n, len(members))]
}

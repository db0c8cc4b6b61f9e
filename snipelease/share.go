package snipelease

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

// hash returns the weight of an address for a position in rendezvous hashing.
func hash(address string, index int) uint64 {
	buf := make([]byte, 0, len(address)+binary.MaxVarintLen64)
	buf = append(buf, address...)
	buf = binary.AppendUvarint(buf, uint64(index))
	return xxhash.Sum64(buf)
}

// rank returns how many other members have a higher weight than this instance
// for position i.
func (m *Manager) rank(i int) int {
	own := hash(m.cfg.Address, i)
	rank := 0
	for _, a := range m.members {
		if a != m.cfg.Address && hash(a, i) > own {
			rank++
		}
	}
	return rank
}

// claimDelay returns the delay before this instance claims position i. It differs
// between members, so that they rarely claim the position at the same time.
func (m *Manager) claimDelay(i int) time.Duration {
	return time.Duration(m.rank(i)) * claimStagger
}

// fairShare returns the number of positions that one member may hold.
func (m *Manager) fairShare() int {
	return (m.cfg.Positions + len(m.members) - 1) / len(m.members)
}

// mayClaim reports whether the instance holds and claims fewer positions than its
// share, so that it may claim another one.
func (m *Manager) mayClaim() bool {
	count := 0
	for i := range m.positions {
		p := &m.positions[i]
		if p.held || p.claim.active || p.record.Address == m.cfg.Address {
			count++
		}
	}
	for _, c := range m.calls {
		p := &m.positions[c.index]
		if (c.kind == callClaim || c.kind == callPending) && !p.held && !p.claim.active {
			count++
		}
	}
	return m.membersKnown && count < m.fairShare()
}

// releaseSurplus releases the positions above the share for which this instance
// has the lowest weight, once the members have not changed for a while.
func (m *Manager) releaseSurplus(now snipetime.Instant) {
	if now.Before(m.membersSince.Add(membershipSettleTime)) || !m.storeReachable(now) {
		return
	}
	var held []int
	for i := range m.positions {
		if m.positions[i].held && !m.positions[i].releasing {
			held = append(held, i)
		}
	}
	if len(held) <= m.fairShare() {
		return
	}
	slices.SortFunc(held, func(a, b int) int {
		return cmp.Compare(hash(m.cfg.Address, b), hash(m.cfg.Address, a))
	})
	for _, i := range held[m.fairShare():] {
		m.release(i, now)
	}
}

// storeReachable reports whether the store has answered within the last half of a
// lease duration.
func (m *Manager) storeReachable(now snipetime.Instant) bool {
	return m.storeAnswered && now.Before(m.lastStoreOK.Add(m.cfg.LeaseDuration/2))
}

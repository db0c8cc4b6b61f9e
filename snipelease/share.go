package snipelease

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

// hash returns the rendezvous weight of an address for a position.
func hash(address string, index int) uint64 {
	buf := make([]byte, 0, len(address)+binary.MaxVarintLen64)
	buf = append(buf, address...)
	buf = binary.AppendUvarint(buf, uint64(index))
	return xxhash.Sum64(buf)
}

// rank returns how many other members precede this instance for position i.
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

// stagger is the delay before this instance claims position i, so that members
// rarely race.
func (m *Manager) stagger(i int) time.Duration {
	return time.Duration(m.rank(i)) * claimStagger
}

// share is the number of positions that one member may hold.
func (m *Manager) share() int {
	return (m.cfg.Positions + len(m.members) - 1) / len(m.members)
}

// wants reports whether the instance may claim one more position.
func (m *Manager) wants() bool {
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
	return m.membersKnown && count < m.share()
}

// releaseSurplus releases the positions above the share for which this instance
// has the lowest weight, once the members have not changed for a while.
func (m *Manager) releaseSurplus(now snipetime.Instant) {
	if now.Before(m.membersSince.Add(membershipSettle)) || !m.storeUp(now) {
		return
	}
	var held []int
	for i := range m.positions {
		if m.positions[i].held && !m.positions[i].releasing {
			held = append(held, i)
		}
	}
	if len(held) <= m.share() {
		return
	}
	slices.SortFunc(held, func(a, b int) int {
		return cmp.Compare(hash(m.cfg.Address, b), hash(m.cfg.Address, a))
	})
	for _, i := range held[m.share():] {
		m.release(i, now)
	}
}

// storeUp reports whether the store has answered recently.
func (m *Manager) storeUp(now snipetime.Instant) bool {
	return m.storeAnswered && now.Before(m.lastStoreOK.Add(m.cfg.LeaseDuration/2))
}

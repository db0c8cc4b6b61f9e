package snipeslot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaximumGroupTargets is the largest number of targets in a group.
const MaximumGroupTargets = 16

// GroupName returns the name of the slot group that holds one part of the
// targets of a team and service in a place. Parts are numbered from 0.
func GroupName(team, service, place string, part int) string {
	return fmt.Sprintf("%s/%s/%s/%d", team, service, place, part)
}

// Position returns the index in [0, positions) of the position whose holder owns
// the group. It panics if positions is not positive.
func Position(group string, positions int) int {
	if positions <= 0 {
		panic("snipeslot: number of positions is not positive")
	}
	return int(xxhash.Sum64String(group) % uint64(positions))
}

// Split divides the targets of a team and service in a place into as few groups
// as MaximumGroupTargets permits. The result does not depend on the order of
// the addresses. Each address goes to the part that rendezvous hashing prefers
// among the parts that are not full, so that few addresses move when one is added.
func Split(addresses []string) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	ordered := slices.Clone(addresses)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	parts := make([][]string, (len(ordered)+MaximumGroupTargets-1)/MaximumGroupTargets)
	for _, a := range ordered {
		best, bestScore := -1, uint64(0)
		for i := range parts {
			score := xxhash.Sum64String(fmt.Sprint(a, "/", i))
			if len(parts[i]) < MaximumGroupTargets && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		parts[best] = append(parts[best], a)
	}
	return parts
}

package snipefleet

const (
	// largeShare is the part of the capacity of the largest front from which a front counts
	// as large.
	largeShare = 0.5
	// minLargeCapacity is the part of the capacity of all fronts that the large ones must
	// have to be used alone. It bounds the load of a core at three times that of an even
	// division.
	minLargeCapacity = 1.0 / 3
)

// LargeMembers returns the members that are large enough to be used alone. It returns nil if
// they have too little of the capacity, and if there are no smaller ones.
func LargeMembers(members []Member) []Member {
	largest, total := 0.0, 0.0
	for i := range members {
		largest = max(largest, members[i].Cores)
		total += members[i].Cores
	}
	var large []Member
	sum := 0.0
	for i := range members {
		if members[i].Cores >= largeShare*largest {
			large = append(large, members[i])
			sum += members[i].Cores
		}
	}
	if sum < minLargeCapacity*total || len(large) == len(members) {
		return nil
	}
	return large
}

package snipefleet

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of a name for a key in rendezvous hashing
// (Thaler and Ravishankar, 1998): the name with the highest weight is selected
// for the key.
func RendezvousWeight(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

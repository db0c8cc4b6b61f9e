package snipeconfig

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is one generation of the whole configuration, whose documents Build
// has checked. It is immutable and safe for concurrent use; callers must not
// modify the slices that its methods return.
type Snapshot struct {
	generation uint64
	operation  string
	digest     uint64
	documents  []*Document
	fleet      *Fleet
	templates  map[string]*Template
	teams      []*Team
	teamByName map[string]*Team
	drains     []Drain
	draining   drainSet
}

// drainSet holds the targets, instances and places that drain documents name.
type drainSet struct {
	targets   map[netip.AddrPort]bool
	instances map[netip.AddrPort]bool
	places    map[string]bool
}

// Drain announces that a target, an instance or a place must receive no new
// requests. It names exactly one of them.
type Drain struct{ wire drainWire }

// Name returns the name of the drain document.
func (d Drain) Name() string { return d.wire.Name }

// Target returns the drained target, or an invalid address if the drain names none.
func (d Drain) Target() netip.AddrPort { return d.wire.Target }

// Instance returns the drained entry instance, or an invalid address if the drain
// names none.
func (d Drain) Instance() netip.AddrPort { return d.wire.Instance }

// Place returns the drained place, or empty text if the drain names none.
func (d Drain) Place() string { return d.wire.Place }

// Generation returns the version number of the configuration, which rises with
// each change.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Operation returns the identifier of the change that led to this generation.
func (s *Snapshot) Operation() string { return s.operation }

// Digest returns the 64-bit xxhash over the references and digests of all documents.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Documents returns all documents, sorted by kind and name.
func (s *Snapshot) Documents() []*Document { return s.documents }

// Document returns the document with the given reference.
func (s *Snapshot) Document(ref Ref) (*Document, bool) {
	i, found := slices.BinarySearchFunc(s.documents, ref, func(d *Document, ref Ref) int {
		return compareRefs(d.ref, ref)
	})
	if !found {
		return nil, false
	}
	return s.documents[i], true
}

// Fleet returns the description of regions, places and links.
func (s *Snapshot) Fleet() *Fleet { return s.fleet }

// Template returns the template with the given name.
func (s *Snapshot) Template(name string) (*Template, bool) {
	t, ok := s.templates[name]
	return t, ok
}

// Teams returns all teams, sorted by name.
func (s *Snapshot) Teams() []*Team { return s.teams }

// Team returns the team with the given name.
func (s *Snapshot) Team(name string) (*Team, bool) {
	t, ok := s.teamByName[name]
	return t, ok
}

// Service returns the service with the given name of the named team.
func (s *Snapshot) Service(team, service string) (*Service, bool) {
	t, ok := s.teamByName[team]
	if !ok {
		return nil, false
	}
	return t.Service(service)
}

// Drains returns the announced drains, sorted by name.
func (s *Snapshot) Drains() []Drain { return s.drains }

// TargetDraining reports whether a target of the team must receive no new
// requests at the given wall time, because of a drain document or a drain window.
func (s *Snapshot) TargetDraining(team *Team, target Target, at time.Time) bool {
	if s.draining.targets[target.address] || s.draining.places[target.place.name] {
		return true
	}
	for i := range team.drainWindows {
		if team.drainWindows[i].covers(target, at) {
			return true
		}
	}
	return false
}

// InstanceDraining reports whether a drain document names the entry instance
// at the address or the place it is in.
func (s *Snapshot) InstanceDraining(address netip.AddrPort, place string) bool {
	return s.draining.instances[address] || s.draining.places[place]
}

// NextDrainChange returns the earliest start or end of a drain window that is
// later than the given wall time. It returns false if there is none.
func (s *Snapshot) NextDrainChange(after time.Time) (time.Time, bool) {
	var next time.Time
	for _, team := range s.teams {
		for _, w := range team.drainWindows {
			for _, t := range [...]time.Time{w.start, w.end} {
				if t.After(after) && (next.IsZero() || t.Before(next)) {
					next = t
				}
			}
		}
	}
	return next, !next.IsZero()
}

// digestOf returns the digest of a snapshot with the given sorted documents.
func digestOf(documents []*Document) uint64 {
	h := xxhash.New()
	var buffer []byte
	for _, d := range documents {
		buffer = append(buffer[:0], d.ref.String()...)
		buffer = append(buffer, 0)
		buffer = binary.BigEndian.AppendUint64(buffer, d.digest)
		// An xxhash digest never returns an error from Write.
		_, _ = h.Write(buffer)
	}
	return h.Sum64()
}

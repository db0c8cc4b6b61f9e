package snipeconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// compareRefs orders references by kind and name.
func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Build checks documents against each other and returns a snapshot of them.
// Operation identifies the change that led to the generation. Documents may be in
// any order, and exactly one must be a fleet document. The error, if any, is a
// *FaultsError with every fault found.
func Build(generation uint64, operation string, documents []*Document) (*Snapshot, error) {
	b := builder{targets: map[netip.AddrPort]string{}}
	b.documents = slices.Clone(documents)
	// Of two documents with the same reference, the one from the later file name
	// gets the fault.
	slices.SortStableFunc(b.documents, func(x, y *Document) int {
		return cmp.Or(compareRefs(x.ref, y.ref), cmp.Compare(x.File(), y.File()))
	})
	b.checkDuplicateRefs()
	b.buildFleetAndTemplates()
	b.checkTeams()
	b.checkDrains()
	if err := b.faults.sorted().Err(); err != nil {
		return nil, err
	}
	return b.snapshot(generation, operation), nil
}

// builder holds the state of one Build.
type builder struct {
	documents []*Document
	faults    Faults
	fleet     *Fleet
	templates map[string]*Template
	// targets maps each target to the team and service that it belongs to.
	targets map[netip.AddrPort]string
}

// faultf records a fault at the value with the given path in d.
func (b *builder) faultf(d *Document, path, format string, args ...any) {
	b.faults = append(b.faults, d.source.Fault(path, fmt.Sprintf(format, args...)))
}

// checkDuplicateRefs records a fault for each document whose reference another
// document has already.
func (b *builder) checkDuplicateRefs() {
	for i, d := range b.documents {
		if i > 0 && b.documents[i-1].ref == d.ref {
			b.faultf(d, "name", "%s %q is already in %s", d.ref.Kind, d.ref.Name, b.documents[i-1].File())
		}
	}
}

// buildFleetAndTemplates converts the fleet and the templates, which the checks of
// other documents use, and records a fault unless there is one fleet document.
func (b *builder) buildFleetAndTemplates() {
	b.templates = map[string]*Template{}
	var fleet *Document
	for _, d := range b.documents {
		switch {
		case d.template != nil:
			b.templates[d.ref.Name] = &Template{wire: *d.template, class: parseClass(d.template.Class)}
		case d.fleet != nil && fleet == nil:
			fleet = d
			b.fleet = newFleet(d.fleet)
		case d.fleet != nil:
			b.faultf(d, "kind", "a second fleet document, the first is %s", fleet.File())
		}
	}
	if fleet == nil {
		b.faults = append(b.faults, Fault{File: "configuration", Message: "there is no fleet document"})
	}
}

// placeExists reports whether the place exists. Without a fleet document every
// place counts as existing, so that one missing file causes one fault only.
func (b *builder) placeExists(name string) bool {
	if b.fleet == nil {
		return true
	}
	_, ok := b.fleet.Place(name)
	return ok
}

// checkTeams checks the references of all team documents and records the owners of
// all targets, which checkDrains needs.
func (b *builder) checkTeams() {
	for _, d := range b.documents {
		if d.team == nil {
			continue
		}
		for _, name := range sortedKeys(d.team.Services) {
			b.checkService(d, name)
		}
	}
	for _, d := range b.documents {
		if d.team != nil {
			b.checkClientBlocks(d)
			b.checkDrainWindows(d)
		}
	}
}

// checkService checks the template, places and targets of a service, and records
// the service as the owner of its targets.
func (b *builder) checkService(d *Document, name string) {
	service := d.team.Services[name]
	path := "services/" + name
	if _, ok := b.templates[service.Template]; !ok {
		b.faultf(d, path+"/template", "template %q does not exist", service.Template)
	}
	if !b.placeExists(service.HomePlace) {
		b.faultf(d, path+"/homePlace", "place %q does not exist", service.HomePlace)
	}
	owner := d.ref.Name + "/" + name
	for _, place := range sortedKeys(service.Targets) {
		targetsPath := path + "/targets/" + place
		if !b.placeExists(place) {
			b.faultf(d, keyPath(targetsPath), "place %q does not exist", place)
		}
		for i, address := range service.Targets[place] {
			// A target belongs to one service, so that a single owner grants
			// all of its slots.
			if other, taken := b.targets[address]; taken {
				b.faultf(d, fmt.Sprintf("%s/%d", targetsPath, i), "target %s already belongs to %s", address, other)
				continue
			}
			b.targets[address] = owner
		}
	}
}

// checkClientBlocks records a fault for each client block whose place does not
// exist.
func (b *builder) checkClientBlocks(d *Document) {
	for _, block := range sortedKeys(d.team.ClientBlocks) {
		if place := d.team.ClientBlocks[block]; !b.placeExists(place) {
			b.faultf(d, "clientBlocks/"+block, "place %q does not exist", place)
		}
	}
}

// checkDrainWindows records a fault for each drain window whose place does not
// exist or whose target belongs to no service of the team.
func (b *builder) checkDrainWindows(d *Document) {
	for i, w := range d.team.DrainWindows {
		path := fmt.Sprintf("drainWindows/%d", i)
		if w.Place != "" && !b.placeExists(w.Place) {
			b.faultf(d, path+"/place", "place %q does not exist", w.Place)
		}
		if w.Target.IsValid() && !hasTarget(d.team, w.Target) {
			b.faultf(d, path+"/target", "team %s has no target %s", d.ref.Name, w.Target)
		}
	}
}

// hasTarget reports whether a service of the team has the target.
func hasTarget(team *teamWire, target netip.AddrPort) bool {
	for _, service := range team.Services {
		for _, addresses := range service.Targets {
			if slices.Contains(addresses, target) {
				return true
			}
		}
	}
	return false
}

// checkDrains records a fault for each drain whose place does not exist or whose
// target belongs to no service. Instances are not part of the configuration.
func (b *builder) checkDrains() {
	for _, d := range b.documents {
		if d.drain == nil {
			continue
		}
		if d.drain.Place != "" && !b.placeExists(d.drain.Place) {
			b.faultf(d, "place", "place %q does not exist", d.drain.Place)
		}
		if _, known := b.targets[d.drain.Target]; d.drain.Target.IsValid() && !known {
			b.faultf(d, "target", "target %s belongs to no service", d.drain.Target)
		}
	}
}

// snapshot returns the snapshot of documents without faults.
func (b *builder) snapshot(generation uint64, operation string) *Snapshot {
	s := &Snapshot{
		generation: generation,
		operation:  operation,
		digest:     digestOf(b.documents),
		documents:  b.documents,
		fleet:      b.fleet,
		templates:  b.templates,
		teamByName: map[string]*Team{},
		draining: drainSet{
			targets:   map[netip.AddrPort]bool{},
			instances: map[netip.AddrPort]bool{},
			places:    map[string]bool{},
		},
	}
	for _, d := range b.documents {
		switch {
		case d.team != nil:
			t := newTeam(d.team, b.fleet, b.templates)
			s.teams = append(s.teams, t)
			s.teamByName[t.name] = t
		case d.drain != nil:
			s.addDrain(*d.drain)
		}
	}
	return s
}

// addDrain adds a drain during the construction of s.
func (s *Snapshot) addDrain(w drainWire) {
	s.drains = append(s.drains, Drain{wire: w})
	switch {
	case w.Target.IsValid():
		s.draining.targets[w.Target] = true
	case w.Instance.IsValid():
		s.draining.instances[w.Instance] = true
	default:
		s.draining.places[w.Place] = true
	}
}

// CheckChange returns the faults of a change from the running snapshot to the
// next one. The number of positions per region cannot change in a running
// fleet, because instances with different numbers would own overlapping parts
// of a limit. A nil running snapshot allows every change.
func CheckChange(running, next *Snapshot) Faults {
	if running == nil || running.fleet.positionsPerRegion == next.fleet.positionsPerRegion {
		return nil
	}
	doc, ok := next.Document(Ref{Kind: KindFleet, Name: next.fleet.name})
	if !ok {
		return nil
	}
	message := fmt.Sprintf("positionsPerRegion is %d in the running fleet and cannot change to %d",
		running.fleet.positionsPerRegion, next.fleet.positionsPerRegion)
	return Faults{doc.source.Fault("positionsPerRegion", message)}
}

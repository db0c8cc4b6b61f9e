package snipeconfig

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Team is a customer that owns services. It is immutable, and callers must not
// modify the slices that its methods return.
type Team struct {
	name          string
	services      []*Service
	serviceByName map[string]*Service
	drainWindows  []DrainWindow
	clientBlocks  []ClientBlock
}

// Name returns the name of the team.
func (t *Team) Name() string { return t.name }

// Services returns all services of the team, sorted by name.
func (t *Team) Services() []*Service { return t.services }

// Service returns the service with the given name.
func (t *Team) Service(name string) (*Service, bool) {
	s, ok := t.serviceByName[name]
	return s, ok
}

// DrainWindows returns the team's drain windows in the order of its document.
func (t *Team) DrainWindows() []DrainWindow { return t.drainWindows }

// ClientBlocks returns the client blocks, sorted by address and prefix length.
func (t *Team) ClientBlocks() []ClientBlock { return t.clientBlocks }

// ClientBlock assigns a home place to the clients of an address block.
type ClientBlock struct {
	prefix netip.Prefix
	place  *Place
}

// Prefix returns the address block.
func (b ClientBlock) Prefix() netip.Prefix { return b.prefix }

// Place returns the home place of the block's clients.
func (b ClientBlock) Place() *Place { return b.place }

// DrainWindow is a time span in which one target of a team, or all its targets in
// a place, are drained.
type DrainWindow struct {
	target netip.AddrPort
	place  string
	start  time.Time
	end    time.Time
}

// Target returns the drained target, which is invalid if a place is drained.
func (w DrainWindow) Target() netip.AddrPort { return w.target }

// Place returns the drained place, which is empty if a target is drained.
func (w DrainWindow) Place() string { return w.place }

// Start returns the wall time at which the window begins.
func (w DrainWindow) Start() time.Time { return w.start }

// End returns the wall time at which the window ends. It is not part of the
// window.
func (w DrainWindow) End() time.Time { return w.end }

// covers reports whether the window drains the target at the given wall time.
func (w DrainWindow) covers(target Target, at time.Time) bool {
	if at.Before(w.start) || !at.Before(w.end) {
		return false
	}
	return w.target == target.address || w.place == target.place.name
}

// Service is one service of a team. It is immutable, and callers must not
// modify the slices that its methods return.
type Service struct {
	team           *Team
	name           string
	template       *Template
	homePlace      *Place
	places         []*Place
	targets        []Target
	targetsByPlace map[string][]Target
	shift          ShiftCaps
}

// Team returns the team that owns the service.
func (s *Service) Team() *Team { return s.team }

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Template returns the template of the service.
func (s *Service) Template() *Template { return s.template }

// Class returns the service class, as set by the template.
func (s *Service) Class() Class { return s.template.class }

// HomePlace returns the home place of clients without a client block.
func (s *Service) HomePlace() *Place { return s.homePlace }

// Places returns the places with targets of the service, sorted by name.
func (s *Service) Places() []*Place { return s.places }

// Targets returns all targets, sorted by place and address.
func (s *Service) Targets() []Target { return s.targets }

// TargetsIn returns the targets in the named place, sorted by address, or none if
// the service has no targets there.
func (s *Service) TargetsIn(place string) []Target { return s.targetsByPlace[place] }

// Shift returns the caps on requests served away from their home place.
func (s *Service) Shift() ShiftCaps { return s.shift }

// Target is a back-end server.
type Target struct {
	address netip.AddrPort
	place   *Place
}

// Address returns the address that the target listens on.
func (t Target) Address() netip.AddrPort { return t.address }

// Place returns the place that the target is in.
func (t Target) Place() *Place { return t.place }

// ShiftCaps holds the caps on a traffic shift, which is the traffic that a service
// serves away from the home places of its clients.
type ShiftCaps struct{ wire shiftWire }

// RequestsPerSecond returns the cap on shifted requests per second.
func (s ShiftCaps) RequestsPerSecond() float64 { return s.wire.RequestsPerSecond }

// MbitPerSecond returns the cap on shifted traffic in 10^6 bits per second.
func (s ShiftCaps) MbitPerSecond() float64 { return s.wire.MbitPerSecond }

// BitsPerSecond returns the cap on shifted traffic in bits per second.
func (s ShiftCaps) BitsPerSecond() float64 { return s.wire.MbitPerSecond * 1e6 }

// GrowthPerSecond returns how fast shifted requests may grow, in requests per
// second per second.
func (s ShiftCaps) GrowthPerSecond() float64 { return s.wire.GrowthPerSecond }

// newTeam converts a document whose references have been checked.
func newTeam(w *teamWire, fleet *Fleet, templates map[string]*Template) *Team {
	t := &Team{name: w.Name, serviceByName: make(map[string]*Service, len(w.Services))}
	for _, name := range sortedKeys(w.Services) {
		s := newService(t, name, w.Services[name], fleet, templates)
		t.services = append(t.services, s)
		t.serviceByName[name] = s
	}
	for _, window := range w.DrainWindows {
		t.drainWindows = append(t.drainWindows, DrainWindow{
			target: window.Target,
			place:  window.Place,
			start:  window.Start,
			end:    window.End,
		})
	}
	for block, place := range w.ClientBlocks {
		t.clientBlocks = append(t.clientBlocks, ClientBlock{
			prefix: netip.MustParsePrefix(block),
			place:  fleet.placeByName[place],
		})
	}
	slices.SortFunc(t.clientBlocks, func(a, b ClientBlock) int {
		return cmp.Or(
			a.prefix.Addr().Compare(b.prefix.Addr()),
			cmp.Compare(a.prefix.Bits(), b.prefix.Bits()),
		)
	})
	return t
}

// newService converts a service of a document whose references have been checked.
func newService(t *Team, name string, w serviceWire, fleet *Fleet, templates map[string]*Template) *Service {
	s := &Service{
		team:           t,
		name:           name,
		template:       templates[w.Template],
		homePlace:      fleet.placeByName[w.HomePlace],
		targetsByPlace: make(map[string][]Target, len(w.Targets)),
		shift:          ShiftCaps{wire: w.Shift},
	}
	for _, placeName := range sortedKeys(w.Targets) {
		place := fleet.placeByName[placeName]
		addresses := slices.Clone(w.Targets[placeName])
		if len(addresses) == 0 {
			continue
		}
		slices.SortFunc(addresses, netip.AddrPort.Compare)
		first := len(s.targets)
		for _, address := range addresses {
			s.targets = append(s.targets, Target{address: address, place: place})
		}
		s.places = append(s.places, place)
		s.targetsByPlace[placeName] = s.targets[first:len(s.targets):len(s.targets)]
	}
	return s
}

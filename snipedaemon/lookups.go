package snipedaemon

import (
	"fmt"
	"iter"
	"net/netip"
	"sync"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipeonce"
)

// lookups answers which entry instances a caller should use, and which place is
// the home of a client.
type lookups struct {
	minter *snipeonce.IDGenerator
	lookup snipelookup.Lookup

	mu sync.RWMutex
	// generation is that of placeNames, placeIndex and blockTables.
	generation uint64
	placeNames []string
	placeIndex map[string]uint16
	// blockTables maps the client blocks of each team to places.
	blockTables map[string]*snipelookup.BlockTable
	// issuerClocks holds the newest clock, in milliseconds, that each
	// incarnation has sent.
	issuerClocks map[string]uint64
}

func newLookups(minter *snipeonce.IDGenerator) *lookups {
	return &lookups{minter: minter}
}

// publish replaces the entry instances and, for a new generation, the block
// tables. It returns an error if the client blocks of a team cannot be indexed.
func (l *lookups) publish(snapshot *snipeconfig.Snapshot, members []snipemember.Member) error {
	fleet := snapshot.Fleet()
	places := lookupPlaces(fleet)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation != snapshot.Generation() {
		if err := l.buildBlocks(snapshot, places); err != nil {
			return err
		}
		l.generation = snapshot.Generation()
	}
	l.issuerClocks = make(map[string]uint64, len(members))
	instances := make([]snipelookup.Instance, 0, len(members))
	for _, m := range members {
		l.issuerClocks[m.Incarnation] = m.ClockMillis
		address, err := netip.ParseAddrPort(m.Address)
		draining := err != nil || snapshot.InstanceDraining(address, m.Place)
		instances = append(instances, snipelookup.Instance{
			Address: m.Address, Place: m.Place, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Usable: m.State == snipemember.Live && m.Ready && !draining,
		})
	}
	l.lookup.Publish(&snipelookup.State{
		Blocks: l.blockTables, Entries: snipelookup.NewEntries(places, instances), Generation: snapshot.Generation(),
	})
	return nil
}

// buildBlocks builds the table of client blocks of each team.
func (l *lookups) buildBlocks(snapshot *snipeconfig.Snapshot, places []snipelookup.Place) error {
	l.placeNames = make([]string, len(places))
	l.placeIndex = make(map[string]uint16, len(places))
	for i, p := range places {
		l.placeNames[i] = p.Name
		l.placeIndex[p.Name] = uint16(i)
	}
	l.blockTables = make(map[string]*snipelookup.BlockTable)
	for _, team := range snapshot.Teams() {
		table, err := snipelookup.Build(clientBlocks(team, l.placeIndex))
		if err != nil {
			return fmt.Errorf("client blocks of team %s: %w", team.Name(), err)
		}
		l.blockTables[team.Name()] = table
	}
	return nil
}

// clientBlocks iterates over the client blocks of a team and the index of their
// places.
func clientBlocks(team *snipeconfig.Team, placeIndex map[string]uint16) iter.Seq2[netip.Prefix, uint16] {
	return func(yield func(netip.Prefix, uint16) bool) {
		for _, b := range team.ClientBlocks() {
			if !yield(b.Prefix(), placeIndex[b.Place().Name()]) {
				return
			}
		}
	}
}

// homePlace returns the home place of a client of a service: that of the
// client's block, or else that of the service.
func (l *lookups) homePlace(service *snipeconfig.Service, client netip.Addr) string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if table, ok := l.blockTables[service.Team().Name()]; ok && client.IsValid() {
		if place, found := table.Lookup(client); found {
			return l.placeNames[place]
		}
	}
	return service.HomePlace().Name()
}

// entries returns the entry instances for a client block in order of
// preference, the generation, and a new request identifier prefix. The prefix
// names the first entry instance as issuer, or this instance if no clock of the
// former has arrived.
func (l *lookups) entries(service *snipeconfig.Service, block netip.Prefix, own snipeonce.RequestID) (snipelookup.List, uint64, string) {
	l.mu.RLock()
	home := l.placeIndex[service.HomePlace().Name()]
	l.mu.RUnlock()
	list, generation := l.lookup.Entries(service.Team().Name(), block, home)
	if list.Len() == 0 || list.At(0).Incarnation == own.Issuer {
		return list, generation, own.Prefix()
	}
	l.mu.RLock()
	issuerClock := l.issuerClocks[list.At(0).Incarnation]
	l.mu.RUnlock()
	if issuerClock == 0 {
		return list, generation, own.Prefix()
	}
	return list, generation, l.minter.IssueFor(list.At(0).Incarnation, issuerClock).Prefix()
}

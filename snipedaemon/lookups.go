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

// lookups answers which entry instances a caller uses, and where the home place
// of a client is.
type lookups struct {
	minter *snipeonce.Minter
	lookup snipelookup.Lookup

	mu         sync.RWMutex
	generation uint64
	places     []string
	index      map[string]uint16
	blocks     map[string]*snipelookup.BlockTable
	clocks     map[string]uint64
}

func newLookups(minter *snipeonce.Minter) *lookups {
	return &lookups{minter: minter}
}

// publish replaces the tables. The block tables are built only for a new
// generation.
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
	l.clocks = make(map[string]uint64, len(members))
	instances := make([]snipelookup.Instance, 0, len(members))
	for _, m := range members {
		l.clocks[m.Incarnation] = m.ClockMillis
		address, err := netip.ParseAddrPort(m.Address)
		draining := err != nil || snapshot.InstanceDraining(address, m.Place)
		instances = append(instances, snipelookup.Instance{
			Address: m.Address, Place: m.Place, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Usable: m.State == snipemember.Live && m.Ready && !draining,
		})
	}
	l.lookup.Publish(&snipelookup.State{
		Blocks: l.blocks, Entries: snipelookup.NewEntries(places, instances), Generation: snapshot.Generation(),
	})
	return nil
}

func (l *lookups) buildBlocks(snapshot *snipeconfig.Snapshot, places []snipelookup.Place) error {
	l.places = make([]string, len(places))
	l.index = make(map[string]uint16, len(places))
	for i, p := range places {
		l.places[i] = p.Name
		l.index[p.Name] = uint16(i)
	}
	l.blocks = make(map[string]*snipelookup.BlockTable)
	for _, team := range snapshot.Teams() {
		table, err := snipelookup.Build(blocksOf(team, l.index))
		if err != nil {
			return fmt.Errorf("client blocks of team %s: %w", team.Name(), err)
		}
		l.blocks[team.Name()] = table
	}
	return nil
}

func blocksOf(team *snipeconfig.Team, index map[string]uint16) iter.Seq2[netip.Prefix, uint16] {
	return func(yield func(netip.Prefix, uint16) bool) {
		for _, b := range team.ClientBlocks() {
			if !yield(b.Prefix(), index[b.Place().Name()]) {
				return
			}
		}
	}
}

// home returns the home place of a client of a service.
func (l *lookups) home(service *snipeconfig.Service, client netip.Addr) string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if table, ok := l.blocks[service.Team().Name()]; ok && client.IsValid() {
		if place, found := table.Lookup(client); found {
			return l.places[place]
		}
	}
	return service.HomePlace().Name()
}

// entries returns the entry instances for a client block, and a fresh prefix
// that names the first of them as issuer.
func (l *lookups) entries(service *snipeconfig.Service, block netip.Prefix, own snipeonce.RequestID) (snipelookup.List, uint64, string) {
	l.mu.RLock()
	home := l.index[service.HomePlace().Name()]
	l.mu.RUnlock()
	list, generation := l.lookup.Decide(service.Team().Name(), block, home)
	if list.Len() == 0 || list.At(0).Incarnation == own.Incarnation {
		return list, generation, own.Prefix()
	}
	l.mu.RLock()
	heard := l.clocks[list.At(0).Incarnation]
	l.mu.RUnlock()
	if heard == 0 {
		return list, generation, own.Prefix()
	}
	return list, generation, l.minter.IssueFor(list.At(0).Incarnation, heard).Prefix()
}

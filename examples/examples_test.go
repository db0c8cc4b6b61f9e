package examples_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// settingsFile holds the fields of an instance's settings file. Those that the other
// documents contain too are compared with them.
type settingsFile struct {
	Listen               string        `check:"required"`
	PeerListen           string        `check:"required"`
	AdminListen          string        `check:"required"`
	Place                string        `check:"required,name"`
	FailureDomain        string        `check:"required,name"`
	Region               string        `check:"required,name"`
	StoreAddresses       []string      `check:"required"`
	StoreTimeout         time.Duration `check:"required"`
	InstanceListAddress  string        `check:"required"`
	InstanceListInterval time.Duration `check:"required"`
	InstanceListTimeout  time.Duration `check:"required"`
	ConnectTimeout       time.Duration `check:"required"`
	StopTimeout          time.Duration `check:"required"`
}

// readFiles returns the files that match the patterns, and fails the test if a
// pattern matches none.
func readFiles(t *testing.T, patterns ...string) []snipeconfig.File {
	t.Helper()
	var files []snipeconfig.File
	for _, pattern := range patterns {
		names, err := filepath.Glob(pattern)
		if err != nil || len(names) == 0 {
			t.Fatalf("no files match %s: %v", pattern, err)
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, snipeconfig.File{Name: name, Data: data})
		}
	}
	return files
}

// addresses maps the addresses of listeners to their users.
type addresses map[netip.AddrPort]string

// add adds an address. It reports an error if the address is not on loopback, its port
// is in the ephemeral range or another user has it.
func (a addresses) add(t *testing.T, text, user string) {
	t.Helper()
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		t.Errorf("%s: %q is not a loopback address with port: %v", user, text, err)
		return
	}
	// Linux assigns ports from 32768 on to outgoing connections.
	if address.Port() >= 32768 {
		t.Errorf("%s: port of %s is in the ephemeral range", user, text)
	}
	if other, inUse := a[address]; inUse {
		t.Errorf("%s and %s both use %s", other, user, text)
	}
	a[address] = user
}

// Guards against example files that are invalid, that contradict each other or
// section 1.5 of the design, and against listeners with the same address.
func TestExamples(t *testing.T) {
	type serviceSize struct {
		class          string
		targets, slots int
	}
	listeners := addresses{}
	for _, c := range []struct {
		name        string
		connections int
		linkMbit    float64
		linkDelay   time.Duration
		clientDelay time.Duration
		probeCost   time.Duration
		services    map[string]serviceSize
	}{
		{"society", 360, 4000, 35 * time.Millisecond, 8 * time.Millisecond, 0, map[string]serviceSize{
			"slotboard": {"safe", 16, 4}, "bookdesk": {"once", 12, 3},
			"soilvault": {"idempotent", 12, 3}, "droplog": {"once", 12, 3},
		}},
		{"bakhour", 390, 280, 20 * time.Millisecond, time.Millisecond, 6 * time.Millisecond, map[string]serviceSize{
			"catalogue": {"safe", 20, 5}, "orders": {"once", 12, 4},
			"qc-upload": {"idempotent", 12, 3}, "samples": {"once", 12, 3},
		}},
	} {
		files := readFiles(t, c.name+"/fleet.json", c.name+"/templates/*.json", c.name+"/teams/*.json")
		s, err := snipeconfig.BuildFiles(1, "op", files)
		if err != nil {
			t.Fatal(err)
		}
		f := s.Fleet()
		if len(f.Regions()) != 3 || len(f.Domains()) != 6 || len(f.Places()) != 6 || len(f.Links()) != 3 {
			t.Errorf("%s: numbers of regions, failure domains, places or links differ from the design", c.name)
		}
		for _, l := range f.Links() {
			if l.MbitPerSecond() != c.linkMbit || l.OneWayDelay() != c.linkDelay {
				t.Errorf("%s: link %+v differs from the design", c.name, l)
			}
		}
		if f.ClientDelay() != c.clientDelay || f.DomainDelay() != 500*time.Microsecond {
			t.Errorf("%s: client delay %v or failure domain delay %v differs from the design", c.name, f.ClientDelay(), f.DomainDelay())
		}
		team, _ := s.Team(c.name)
		if team == nil || len(team.Services()) != len(c.services) || len(team.ClientBlocks()) != 6 {
			t.Fatalf("%s: team is %+v", c.name, team)
		}
		for _, service := range team.Services() {
			template := service.Template()
			got := serviceSize{service.Class().String(), len(service.Targets()), template.SlotsPerTarget()}
			if got != c.services[service.Name()] {
				t.Errorf("%s: %s is %+v, want %+v", c.name, service.Name(), got, c.services[service.Name()])
			}
			if template.ConnectionsPerTarget() != c.connections || template.ConnectCost() != time.Millisecond || template.ProbeCost() != c.probeCost {
				t.Errorf("%s: connections or costs of targets of %s differ from the design", c.name, service.Name())
			}
			for _, place := range f.Places() {
				if n := len(service.TargetsIn(place.Name())); n < got.targets/6 || n > got.targets/6+1 {
					t.Errorf("%s: %s has %d targets in %s", c.name, service.Name(), n, place.Name())
				}
			}
			for _, target := range service.Targets() {
				listeners.add(t, target.Address().String(), c.name+"/"+service.Name())
			}
		}
		checkInstances(t, c.name, f, listeners)
	}
}

// checkInstances compares the settings files of the 12 instances with the fleet
// document and the stand-ins, and adds all listeners.
func checkInstances(t *testing.T, name string, f *snipeconfig.Fleet, listeners addresses) {
	t.Helper()
	file := readFiles(t, name+"/standin.json")[0]
	d, err := snipestandin.ParseDeployment(file.Name, file.Data)
	if err != nil {
		t.Fatal(err)
	}
	listeners.add(t, d.Store, name+"/store")
	listeners.add(t, d.InstanceList, name+"/instanceList")
	listed := map[snipestandin.EntryInstance]bool{}
	for _, i := range d.Instances {
		listed[i] = true
	}
	files := readFiles(t, name+"/settings/*.json")
	if len(files) != 12 || len(listed) != 12 {
		t.Errorf("%s: %d settings files and %d listed instances, want 12", name, len(files), len(listed))
	}
	for _, file := range files {
		var s settingsFile
		if err := snipeconfig.Decode(file.Name, file.Data, &s).Err(); err != nil {
			t.Fatal(err)
		}
		listeners.add(t, s.Listen, file.Name)
		listeners.add(t, s.PeerListen, file.Name)
		listeners.add(t, s.AdminListen, file.Name)
		place, ok := f.Place(s.Place)
		if !ok || place.Domain().Name() != s.FailureDomain || place.Region().Name() != s.Region {
			t.Errorf("%s: place, failure domain or region differs from the fleet document", file.Name)
		}
		if !listed[snipestandin.EntryInstance{Address: s.Listen, PeerAddress: s.PeerListen, Place: s.Place}] {
			t.Errorf("%s: the instance list does not have this instance", file.Name)
		}
		if len(s.StoreAddresses) != 1 || s.StoreAddresses[0] != d.Store || s.InstanceListAddress != d.InstanceList {
			t.Errorf("%s: addresses of store and instance list differ from the stand-ins", file.Name)
		}
	}
}

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

// settingsFile holds the fields of a settings file that this test compares
// with the other documents.
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

func read(t *testing.T, patterns ...string) []snipeconfig.File {
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

// addresses notes listening addresses and fails on one that is taken.
type addresses map[netip.AddrPort]string

func (a addresses) add(t *testing.T, text, user string) {
	t.Helper()
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		t.Errorf("%s: %q is not a loopback address with port: %v", user, text, err)
		return
	}
	// Ports from here on are taken by outgoing connections.
	if address.Port() >= 32768 {
		t.Errorf("%s: port of %s is in the ephemeral range", user, text)
	}
	if other, taken := a[address]; taken {
		t.Errorf("%s and %s both use %s", other, user, text)
	}
	a[address] = user
}

// Guards against examples that are invalid, that contradict each other or
// section 1.5 of the design, or whose listeners collide.
func TestExamples(t *testing.T) {
	type size struct {
		class          string
		targets, slots int
	}
	used := addresses{}
	for _, c := range []struct {
		name        string
		connections int
		mbit        float64
		delay       time.Duration
		client      time.Duration
		probe       time.Duration
		services    map[string]size
	}{
		{"society", 360, 4000, 35 * time.Millisecond, 8 * time.Millisecond, 0, map[string]size{
			"slotboard": {"safe", 16, 4}, "bookdesk": {"once", 12, 3},
			"soilvault": {"idempotent", 12, 3}, "droplog": {"once", 12, 3},
		}},
		{"bakhour", 390, 280, 20 * time.Millisecond, time.Millisecond, 6 * time.Millisecond, map[string]size{
			"catalogue": {"safe", 20, 5}, "orders": {"once", 12, 4},
			"qc-upload": {"idempotent", 12, 3}, "samples": {"once", 12, 3},
		}},
	} {
		files := read(t, c.name+"/fleet.json", c.name+"/templates/*.json", c.name+"/teams/*.json")
		s, err := snipeconfig.BuildFiles(1, "op", files)
		if err != nil {
			t.Fatal(err)
		}
		f := s.Fleet()
		if len(f.Regions()) != 3 || len(f.Domains()) != 6 || len(f.Places()) != 6 || len(f.Links()) != 3 {
			t.Errorf("%s: sizes of the fleet differ from the design", c.name)
		}
		for _, l := range f.Links() {
			if l.MbitPerSecond() != c.mbit || l.OneWayDelay() != c.delay {
				t.Errorf("%s: link is %+v", c.name, l)
			}
		}
		if f.ClientDelay() != c.client || f.DomainDelay() != 500*time.Microsecond {
			t.Errorf("%s: delays are %v and %v", c.name, f.ClientDelay(), f.DomainDelay())
		}
		team, _ := s.Team(c.name)
		if team == nil || len(team.Services()) != len(c.services) || len(team.ClientBlocks()) != 6 {
			t.Fatalf("%s: team is %+v", c.name, team)
		}
		for _, service := range team.Services() {
			template := service.Template()
			got := size{service.Class().String(), len(service.Targets()), template.SlotsPerTarget()}
			if got != c.services[service.Name()] {
				t.Errorf("%s: %s is %+v, want %+v", c.name, service.Name(), got, c.services[service.Name()])
			}
			if template.ConnectionsPerTarget() != c.connections || template.ConnectCost() != time.Millisecond || template.ProbeCost() != c.probe {
				t.Errorf("%s: costs of %s differ from the design", c.name, service.Name())
			}
			for _, place := range f.Places() {
				if n := len(service.TargetsIn(place.Name())); n < got.targets/6 || n > got.targets/6+1 {
					t.Errorf("%s: %s has %d targets in %s", c.name, service.Name(), n, place.Name())
				}
			}
			for _, target := range service.Targets() {
				used.add(t, target.Address().String(), c.name+"/"+service.Name())
			}
		}
		checkProcesses(t, c.name, f, used)
	}
}

// checkProcesses compares the settings of the 12 instances with the stand-ins.
func checkProcesses(t *testing.T, name string, f *snipeconfig.Fleet, used addresses) {
	t.Helper()
	file := read(t, name+"/standin.json")[0]
	d, err := snipestandin.ParseDeployment(file.Name, file.Data)
	if err != nil {
		t.Fatal(err)
	}
	used.add(t, d.Store, name+"/store")
	used.add(t, d.InstanceList, name+"/instanceList")
	listed := map[snipestandin.EntryInstance]bool{}
	for _, i := range d.Instances {
		listed[i] = true
	}
	files := read(t, name+"/settings/*.json")
	if len(files) != 12 || len(listed) != 12 {
		t.Errorf("%s: %d settings files and %d listed instances, want 12", name, len(files), len(listed))
	}
	for _, file := range files {
		var s settingsFile
		if err := snipeconfig.Decode(file.Name, file.Data, &s).Err(); err != nil {
			t.Fatal(err)
		}
		used.add(t, s.Listen, file.Name)
		used.add(t, s.PeerListen, file.Name)
		used.add(t, s.AdminListen, file.Name)
		place, ok := f.Place(s.Place)
		if !ok || place.Domain().Name() != s.FailureDomain || place.Region().Name() != s.Region {
			t.Errorf("%s: place, failure domain and region do not fit the fleet", file.Name)
		}
		if !listed[snipestandin.EntryInstance{Address: s.Listen, PeerAddress: s.PeerListen, Place: s.Place}] {
			t.Errorf("%s: the instance list does not have this instance", file.Name)
		}
		if len(s.StoreAddresses) != 1 || s.StoreAddresses[0] != d.Store || s.InstanceListAddress != d.InstanceList {
			t.Errorf("%s: addresses of store and instance list differ from the stand-ins", file.Name)
		}
	}
}

package snipeconfig_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

const fleetText = `{"kind": "fleet", "name": "small",
	"regions": {
		"north": {"failureDomains": {"d1": {"places": ["p1"]}, "d2": {"places": ["p2"]}}},
		"south": {"failureDomains": {"d3": {"places": ["p3"]}}},
	},
	"links": [{"regions": ["south", "north"], "mbitPerSecond": 100, "oneWayDelay": "20ms"}],
	"positionsPerRegion": %d, "domainDelay": "1ms", "clientDelay": "2ms"}`

const templateText = `{"kind": "template", "name": "plain", "class": "safe",
	"slotsPerTarget": 4, "connectionsPerTarget": 100, "probeInterval": "1s",
	"defaultTimeout": "1s", "maxTimeout": "10s", "maxBodyBytes": 1000,
	"maxHeaderBytes": 4096, "requestBytes": 100, "answerBytes": 100}`

// teamFile returns the document of a team with one service of 12 targets in three
// places, and the given shift cap in requests per second.
func teamFile(index, requestsPerSecond int) snipeconfig.File {
	var targets strings.Builder
	for p := range 3 {
		fmt.Fprintf(&targets, `"p%d": [`, p+1)
		for i := range 4 {
			fmt.Fprintf(&targets, `"10.%d.%d.%d:80",`, index/250, index%250, p*4+i+1)
		}
		targets.WriteString("],")
	}
	text := fmt.Sprintf(`{"kind": "team", "name": "team-%04d", "services": {"orders": {
		"template": "plain", "homePlace": "p1", "targets": {%s},
		"shift": {"requestsPerSecond": %d, "mbitPerSecond": 10, "growthPerSecond": 5}}},
		"clientBlocks": {"192.168.0.0/16": "p2"}}`, index, targets.String(), requestsPerSecond)
	return snipeconfig.File{Name: fmt.Sprintf("team-%04d.json", index), Data: []byte(text)}
}

// baseFiles returns the fleet document with three places and the template.
func baseFiles() []snipeconfig.File {
	return []snipeconfig.File{
		{Name: "fleet.json", Data: fmt.Appendf(nil, fleetText, 4)},
		{Name: "template.json", Data: []byte(templateText)},
	}
}

// buildSnapshot returns a snapshot with one team per given shift cap; a cap of 0
// leaves the team out.
func buildSnapshot(t testing.TB, generation uint64, caps ...int) *snipeconfig.Snapshot {
	t.Helper()
	files := baseFiles()
	for i, c := range caps {
		if c > 0 {
			files = append(files, teamFile(i, c))
		}
	}
	s, err := snipeconfig.BuildFiles(generation, fmt.Sprintf("op-%d", generation), files)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// readFiles returns the files that match a pattern; there must be at least one.
func readFiles(t *testing.T, pattern string) []snipeconfig.File {
	t.Helper()
	names, err := filepath.Glob(pattern)
	if err != nil || len(names) == 0 {
		t.Fatalf("no files match %s: %v", pattern, err)
	}
	var files []snipeconfig.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, snipeconfig.File{Name: filepath.Base(name), Data: data})
	}
	return files
}

// Guards against faults that are missed, reported at a wrong line or column, or
// listed in an order that depends on the order of files or maps.
func TestFaultsGolden(t *testing.T) {
	for _, set := range []string{"faults", "references"} {
		t.Run(set, func(t *testing.T) {
			files := readFiles(t, filepath.Join("testdata", set, "*.json"))
			var first string
			for range 20 {
				_, err := snipeconfig.BuildFiles(1, "op", files)
				if err == nil {
					t.Fatal("documents with faults were accepted")
				}
				if first == "" {
					first = err.Error()
				}
				if err.Error() != first {
					t.Fatalf("order of faults changed:\n%s\n\n%s", first, err)
				}
				files = append(files[1:], files[0])
			}
			goldie.New(t).Assert(t, set, []byte(first+"\n"))
		})
	}
}

// Guards against fault handling whose cost grows with the square of the number
// of faults, so that one document could block a command or an instance.
func TestManyFaults(t *testing.T) {
	const count = 60_000
	data := []byte(`{"kind": "team", "name": "x", "drainWindows": [` + strings.Repeat("\n{},", count) + `]}`)
	_, err := snipeconfig.ParseDocument("many", data)
	// Each window lacks start, end and a target or place; services are missing.
	if faults, _ := snipeconfig.AsFaults(err); len(faults) != 3*count+1 {
		t.Errorf("%d faults, want %d", len(faults), 3*count+1)
	}
}

// Guards against a set without a fleet document that is accepted, or that is
// reported as one fault for each place in the other documents.
func TestMissingFleet(t *testing.T) {
	_, err := snipeconfig.BuildFiles(1, "op", append(baseFiles()[1:], teamFile(0, 1)))
	faults, ok := snipeconfig.AsFaults(err)
	if !ok || len(faults) != 1 || !strings.Contains(faults[0].Message, "no fleet document") {
		t.Errorf("faults are %v, want only the missing fleet document", err)
	}
}

// Guards against accessors that return other values than the documents hold.
func TestSnapshot(t *testing.T) {
	s := buildSnapshot(t, 7, 10, 20)
	service, ok := s.Service("team-0001", "orders")
	if !ok || len(service.Targets()) != 12 || len(service.TargetsIn("p2")) != 4 {
		t.Fatalf("service is %v, want 12 targets, 4 of them in p2", service)
	}
	if got := service.Shift().RequestsPerSecond(); got != 20 {
		t.Errorf("shift cap is %v requests/s, want 20", got)
	}
	f := s.Fleet()
	place := func(name string) *snipeconfig.Place {
		p, found := f.Place(name)
		if !found {
			t.Fatalf("place %s does not exist", name)
		}
		return p
	}
	delays := []time.Duration{
		f.Delay(place("p1"), place("p1")), f.Delay(place("p1"), place("p2")), f.Delay(place("p3"), place("p2")),
	}
	if !slices.Equal(delays, []time.Duration{0, time.Millisecond, 20 * time.Millisecond}) {
		t.Errorf("delays are %v, want 0, 1ms and 20ms", delays)
	}
	if f.ReservePercent() != snipeconfig.DefaultReservePercent {
		t.Errorf("reserve is %v %%, want the default", f.ReservePercent())
	}
}

// Guards against drains that are ignored, that start or end at a wrong time, or
// that apply to other targets.
func TestDraining(t *testing.T) {
	team := strings.TrimSuffix(string(teamFile(0, 1).Data), "}") + `, "drainWindows": [
		{"target": "10.0.0.1:80", "start": "2026-01-01T10:00:00Z", "end": "2026-01-01T11:00:00Z"},
		{"place": "p2", "start": "2026-01-01T12:00:00+01:00", "end": "2026-01-01T13:00:00Z"}]}`
	files := append(baseFiles(),
		snipeconfig.File{Name: "team", Data: []byte(team)},
		snipeconfig.File{Name: "d1", Data: []byte(`{"kind": "drain", "name": "d1", "target": "10.0.0.2:80"}`)},
		snipeconfig.File{Name: "d2", Data: []byte(`{"kind": "drain", "name": "d2", "place": "p3"}`)},
	)
	s, err := snipeconfig.BuildFiles(1, "op", files)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		at   string
		want string
		next string
	}{
		{"09:59:59", "2 9 10 11 12", "10:00:00"},
		{"10:00:00", "1 2 9 10 11 12", "11:00:00"},
		{"11:00:00", "2 5 6 7 8 9 10 11 12", "13:00:00"},
		{"13:00:00", "2 9 10 11 12", ""},
	} {
		at, err := time.Parse(time.DateTime, "2026-01-01 "+c.at)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		owner, _ := s.Team("team-0000")
		service, _ := owner.Service("orders")
		for _, target := range service.Targets() {
			if s.TargetDraining(owner, target, at) {
				got = append(got, strings.Split(target.Address().Addr().String(), ".")[3])
			}
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("at %s targets %v drain, want %s", c.at, got, c.want)
		}
		next, ok := s.NextDrainChange(at)
		if ok != (c.next != "") || (ok && next.UTC().Format(time.TimeOnly) != c.next) {
			t.Errorf("after %s the next change is %v, want %q", c.at, next, c.next)
		}
	}
}

// Guards against a change of the number of positions in a running fleet, whose
// instances would then divide limits differently.
func TestCheckChange(t *testing.T) {
	running := buildSnapshot(t, 1, 1)
	files := baseFiles()
	files[0].Data = fmt.Appendf(nil, fleetText, 5)
	next, err := snipeconfig.BuildFiles(2, "op", files)
	if err != nil {
		t.Fatal(err)
	}
	if faults := snipeconfig.CheckChange(running, next); len(faults) != 1 || faults[0].Line != 7 {
		t.Errorf("faults are %v, want one at line 7", faults)
	}
	if faults := snipeconfig.CheckChange(nil, next); faults != nil {
		t.Errorf("the first configuration is rejected: %v", faults)
	}
}

// Guards against a difference that omits a change, or that does not name the team,
// service and place of a change.
func TestDiffGolden(t *testing.T) {
	from := buildSnapshot(t, 1, 10, 10, 10, 0)
	files := append(baseFiles(), teamFile(0, 10), teamFile(1, 25), teamFile(3, 1))
	files[3].Data = []byte(strings.NewReplacer(
		`"10.0.1.2:80",`, "", `"10.0.1.9:80"`, `"10.0.1.99:80"`, `16": "p2"`, `16": "p3"`,
	).Replace(string(files[3].Data)))
	to, err := snipeconfig.BuildFiles(2, "op", files)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "diff", []byte(strings.Join(snipeconfig.Diff(from, to), "\n")+"\n"))
	if lines := snipeconfig.Diff(from, from); len(lines) != 0 {
		t.Errorf("a snapshot differs from itself: %v", lines)
	}
}

// Guards against a tracker whose generation decreases, or that puts two snapshots
// of one generation in force, when snapshots are offered out of order, repeatedly
// and concurrently.
func TestTrackerNeverGoesBack(t *testing.T) {
	var snapshots []*snipeconfig.Snapshot
	for g := range uint64(8) {
		snapshots = append(snapshots, buildSnapshot(t, g+1, int(g)+1), buildSnapshot(t, g+1, int(g)+100))
	}
	rapid.Check(t, func(rt *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom(snapshots), 1, 20), 2, 4).Draw(rt, "deliveries")
		var tracker snipeconfig.Tracker
		digests := sync.Map{}
		var wg sync.WaitGroup
		for _, list := range lists {
			wg.Go(func() {
				last := uint64(0)
				for _, s := range list {
					result := tracker.Offer(s)
					now := tracker.Current()
					if now.Generation() < last || now.Generation() < s.Generation() {
						rt.Errorf("generation %d after %d, offered %d (%s)", now.Generation(), last, s.Generation(), result)
					}
					last = now.Generation()
					if other, _ := digests.LoadOrStore(last, now.Digest()); other != now.Digest() {
						rt.Errorf("generation %d was in force with two digests", last)
					}
				}
			})
		}
		wg.Wait()
	})
}

// Guards against a conflict between two snapshots of one generation that is never
// resolved, and against a subscriber that misses the last change.
func TestTrackerResolveAndSubscribe(t *testing.T) {
	var tracker snipeconfig.Tracker
	changed, cancel := tracker.Subscribe()
	defer cancel()
	fromPeer, fromStore := buildSnapshot(t, 1, 1), buildSnapshot(t, 1, 2)
	results := []snipeconfig.OfferResult{
		tracker.Offer(fromPeer), tracker.Offer(fromStore), tracker.Resolve(fromStore), tracker.Resolve(fromStore),
	}
	want := []snipeconfig.OfferResult{snipeconfig.InForce, snipeconfig.Conflict, snipeconfig.InForce, snipeconfig.Same}
	if !slices.Equal(results, want) || tracker.Conflicts() != 1 {
		t.Errorf("results are %v with %d conflicts, want %v with 1", results, tracker.Conflicts(), want)
	}
	<-changed
	if tracker.Current() != fromStore {
		t.Error("the subscriber was notified before the change was in force")
	}
}

// Guards against a delta that leads to another snapshot than the whole
// configuration, for any two sets of teams, and against one that is accepted for
// another base than it was computed for.
func TestCatchUpEqualsWhole(t *testing.T) {
	caps := rapid.SliceOfN(rapid.IntRange(0, 3), 5, 5)
	rapid.Check(t, func(rt *rapid.T) {
		a, b := caps.Draw(rt, "from"), caps.Draw(rt, "to")
		from, to := buildSnapshot(t, 1, a...), buildSnapshot(t, 2, b...)
		c := to.DeltaFrom(from.Versions())
		got, err := c.Apply(from)
		if err != nil || got.Digest() != to.Digest() || got.Generation() != 2 {
			rt.Fatalf("delta from %v to %v failed: %v", a, b, err)
		}
		changed := 0
		for i := range a {
			if a[i] != b[i] {
				changed++
			}
		}
		if len(c.Documents) != changed {
			rt.Errorf("delta has %d documents, want %d", len(c.Documents), changed)
		}
		other, err := c.Apply(buildSnapshot(t, 1, 9, 9, 9, 9, 9))
		if err == nil && other.Digest() != to.Digest() {
			rt.Error("a delta for another base was accepted")
		}
	})
}

// Guards against a delta with a corrupt document that is accepted.
func TestCatchUpVerifies(t *testing.T) {
	c := buildSnapshot(t, 1, 1).DeltaFrom(nil)
	body := slices.Clone(c.Documents[0].Body)
	body[len(body)-2] ^= 1
	c.Documents[0].Body = body
	if _, err := c.Apply(nil); err == nil {
		t.Error("a corrupt document was accepted")
	}
}

// Guards against a parser that panics, and against a canonical form that is
// rejected or has another digest when it is parsed again: a Delta contains the
// canonical form, and Delta.Apply verifies the digest.
func FuzzParseDocument(f *testing.F) {
	for _, pattern := range []string{"testdata/faults/*.json", "testdata/references/*.json", "../examples/*/*/*.json", "../examples/*/fleet.json"} {
		names, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := snipeconfig.ParseDocument("fuzz", data)
		if err != nil {
			faults, ok := snipeconfig.AsFaults(err)
			if !ok || len(faults) == 0 || faults[0].Line < 1 || faults[0].Column < 1 {
				t.Fatalf("error %v has no fault with line and column", err)
			}
			return
		}
		again, err := snipeconfig.ParseDocument("canonical", d.Canonical())
		if err != nil || again.Digest() != d.Digest() {
			t.Fatalf("canonical form %s does not parse to itself: %v", d.Canonical(), err)
		}
	})
}

// BenchmarkCatchUp measures the computation and application of a delta and its
// size in bytes, for the whole configuration and for a difference in one team.
func BenchmarkCatchUp(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		caps := slices.Repeat([]int{10}, teams)
		from := buildSnapshot(b, 1, caps...)
		caps[0] = 11
		to := buildSnapshot(b, 2, caps...)
		have := from.Versions()
		bench := func(name string, base *snipeconfig.Snapshot, have []snipeconfig.Version) {
			b.Run(fmt.Sprintf("%s/teams=%d", name, teams), func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for b.Loop() {
					c := to.DeltaFrom(have)
					size = c.Bytes()
					if _, err := c.Apply(base); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
		bench("whole", nil, nil)
		bench("difference", from, have)
	}
}

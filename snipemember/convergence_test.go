package snipemember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipetime"
)

// process is one instance of a fleetModel.
type process struct {
	view        *snipemember.View
	incarnation string
	sequence    uint64
	running     bool
}

// message is a heartbeat on its way to instance to.
type message struct {
	to        int
	report    snipemember.Report
	summaries []snipemember.Report
	deliverAt snipetime.Instant
}

// fleetModel simulates instances that send each other heartbeats and summaries.
// Messages can be lost or delayed, and instances can crash and restart.
type fleetModel struct {
	now       snipetime.Instant
	wallClock int64
	random    *rand.Rand
	settings  snipemember.Settings
	places    map[string]snipemember.Location
	processes []*process
	messages  []message
	crashedAt map[string]snipetime.Instant
	// startOrder numbers the incarnations in the order of their start.
	startOrder map[string]int
	// seenIncarnations[i][address] lists the incarnations at the address in the
	// snapshots of view i, in their order.
	seenIncarnations []map[string][]string
}

func (m *fleetModel) address(i int) string { return newReport(i, len(m.places), "", 0).Address }

func (m *fleetModel) start(i int) {
	p := m.processes[i]
	p.incarnation = snipemember.NewIncarnation(m.wallClock, m.random)
	p.sequence, p.running = 1, true
	m.startOrder[p.incarnation] = len(m.startOrder)
	p.view = snipemember.New(newReport(i, len(m.places), p.incarnation, 1), m.places, m.settings, m.now)
	m.seenIncarnations[i] = make(map[string][]string)
	var list []snipemember.ListEntry
	for j := range m.processes {
		n := newReport(j, len(m.places), "", 0)
		list = append(list, snipemember.ListEntry{Address: n.Address, PeerAddress: n.PeerAddress, Place: n.Place})
		if m.processes[j].running && j != i {
			m.processes[j].view.ResetPeer(m.address(i))
		}
	}
	p.view.MergeList(list, m.now)
}

func (m *fleetModel) crash(i int) {
	m.processes[i].running = false
	m.crashedAt[m.processes[i].incarnation] = m.now
}

// step advances the time by a heartbeat period. delay returns the delay of a
// message, or false if it is lost, after which the session is replaced.
func (m *fleetModel) step(delay func() (time.Duration, bool)) {
	m.now = m.now.Add(snipemember.Period)
	for i, p := range m.processes {
		if p.running {
			m.sendHeartbeats(i, p, delay)
		}
	}
	var later []message
	for _, k := range m.messages {
		switch {
		case k.deliverAt.After(m.now):
			later = append(later, k)
		case m.processes[k.to].running:
			m.processes[k.to].view.MergeHeartbeat(k.report, k.summaries, m.now)
		}
	}
	m.messages = later
	for _, p := range m.processes {
		if p.running {
			p.view.Tick(m.now)
		}
	}
}

// sendHeartbeats sends the heartbeats of instance i that are due.
func (m *fleetModel) sendHeartbeats(i int, p *process, delay func() (time.Duration, bool)) {
	p.sequence++
	n := newReport(i, len(m.places), p.incarnation, p.sequence)
	p.view.UpdateSelf(n, m.now)
	for to := range m.processes {
		period := min(m.heartbeatPeriod(i, to), m.heartbeatPeriod(to, i))
		if to == i || m.now.Sub(0)%period != 0 {
			continue
		}
		summaries := p.view.Summaries(m.address(to), m.now)
		d, ok := delay()
		if !ok {
			p.view.ResetPeer(m.address(to))
			continue
		}
		m.messages = append(m.messages, message{to, n, summaries, m.now.Add(d)})
	}
}

// heartbeatPeriod returns the time between heartbeats that instance i requires on
// a session with another one, or an hour if it requires no session. A session
// exists if either side requires it.
func (m *fleetModel) heartbeatPeriod(i, to int) time.Duration {
	if m.processes[i].running {
		for _, peer := range m.processes[i].view.Mesh() {
			if peer.Address == m.address(to) {
				return peer.Period
			}
		}
	}
	return time.Hour
}

// check returns an error if a view returns from a process to an earlier one that
// it contained before, or if a crashed process counts as live for too long.
func (m *fleetModel) check() error {
	for i, p := range m.processes {
		if !p.running {
			continue
		}
		members := p.view.Snapshot()
		for _, member := range members.Members() {
			if err := m.checkReturn(i, member); err != nil {
				return err
			}
			crashed, isCrashed := m.crashedAt[member.Incarnation]
			direct := m.settings.FullMeshSize > 1 || member.Domain == members.Find(m.address(i)).Domain
			if isCrashed && member.State == snipemember.Live && m.now.Sub(crashed) > m.maximumLiveAfterCrash(direct) {
				return fmt.Errorf("view %d has %s of %s as live %v after its crash", i, member.Incarnation, member.Address, m.now.Sub(crashed))
			}
		}
	}
	return nil
}

// checkReturn returns an error if a view returned to a former process. A late
// first message can introduce a former process once, if the wall clock stepped
// back after its start.
func (m *fleetModel) checkReturn(i int, member snipemember.Member) error {
	seen := m.seenIncarnations[i][member.Address]
	incarnation := member.Incarnation
	if len(seen) > 0 && seen[len(seen)-1] == incarnation {
		return nil
	}
	m.seenIncarnations[i][member.Address] = append(seen, incarnation)
	for _, later := range seen[slices.Index(seen, incarnation)+1:] {
		if slices.Contains(seen, incarnation) && m.startOrder[later] > m.startOrder[incarnation] {
			return fmt.Errorf("view %d returned to incarnation %s of %s after %s", i, incarnation, member.Address, later)
		}
	}
	return nil
}

// maximumLiveAfterCrash returns how long a crashed process may count as live. A
// peer that receives its heartbeats suspects it SuspectAfter after the arrival of
// the last one. Another instance may depend on IndirectSuspectAfter, because
// reports of silence can be lost with the session or its sender. A report
// passes each instance at most once.
func (m *fleetModel) maximumLiveAfterCrash(direct bool) time.Duration {
	const delay, suspect = 3 * time.Second, 1500 * time.Millisecond
	if direct {
		return delay + snipemember.Period + suspect
	}
	return time.Duration(len(m.processes))*delay + snipemember.Period + m.settings.IndirectSuspectAfter
}

// historyStep is an action before one step of the model.
type historyStep struct {
	instance  int
	action    int // 0 crashes the instance, 1 starts it, others do nothing
	clockJump int // of the wall clock, in seconds
}

// runHistory runs a history of n instances and returns the first violation. After
// the steps, messages arrive without loss and delay, and all views must converge.
func runHistory(n int, seed uint64, fullMesh int, steps []historyStep) error {
	m := &fleetModel{
		wallClock: 1_000_000, random: rand.New(rand.NewPCG(seed, 1)), places: newPlaces(2),
		// Rotation over a few members is short, so shorter limits suffice.
		settings: snipemember.Settings{
			FullMeshSize: fullMesh, DomainSuspectAfter: 15 * time.Second, IndirectSuspectAfter: 30 * time.Second,
		},
		crashedAt: make(map[string]snipetime.Instant), startOrder: make(map[string]int), seenIncarnations: make([]map[string][]string, n),
	}
	for range n {
		m.processes = append(m.processes, &process{})
	}
	for i := range n {
		m.start(i)
	}
	faultyDelay := func() (time.Duration, bool) {
		return time.Duration(m.random.IntN(3000)) * time.Millisecond, m.random.IntN(4) > 0
	}
	for _, step := range steps {
		p := m.processes[step.instance]
		m.wallClock += int64(step.clockJump)
		switch {
		case step.action == 0 && p.running:
			m.crash(step.instance)
		case step.action == 1 && !p.running:
			m.start(step.instance)
		}
		m.step(faultyDelay)
		if err := m.check(); err != nil {
			return err
		}
	}
	for range 120 {
		m.step(func() (time.Duration, bool) { return 0, true })
		if err := m.check(); err != nil {
			return err
		}
	}
	return m.checkConverged()
}

// checkConverged returns an error if the live members of a view differ from the
// instances that run.
func (m *fleetModel) checkConverged() error {
	for i, p := range m.processes {
		for j, q := range m.processes {
			if !p.running {
				continue
			}
			member := p.view.Snapshot().Find(m.address(j))
			live := member != nil && member.State == snipemember.Live
			if live != q.running || q.running && member.Incarnation != q.incarnation {
				return fmt.Errorf("view %d has instance %d as %+v, running is %v", i, j, member, q.running)
			}
		}
	}
	return nil
}

// Guards against views that do not converge once messages arrive, and against
// late heartbeats and summaries that make a crashed process live again, also when
// the wall clock steps back between two starts.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "seed")
		fullMesh := rapid.SampledFrom([]int{1, 32}).Draw(t, "full mesh")
		steps := make([]historyStep, rapid.IntRange(1, 60).Draw(t, "steps"))
		for i := range steps {
			step := &steps[i]
			step.instance = rapid.IntRange(0, n-1).Draw(t, "instance")
			step.action = rapid.IntRange(0, 5).Draw(t, "event")
			if step.action == 1 {
				step.clockJump = rapid.IntRange(-20, 20).Draw(t, "wall")
			}
		}
		if err := runHistory(n, seed, fullMesh, steps); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against failures that occurred before: late reports on a former process
// replaced a newer one that had a lesser identifier, and two domains whose chosen
// delegates had all crashed never received reports on each other. A step is
// written as the instance, the action and the jump of the wall clock.
func TestFormerFailures(t *testing.T) {
	for name, c := range map[string]struct {
		instances, fullMesh int
		seed                uint64
		steps               string
	}{
		"late report on a former process": {3, 1, 3, "0:2 0:2 0:2 2:0 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 2:1:0 " +
			"0:2 0:2 0:2 0:2 0:0 0:0 1:0 1:1:-1 0:0 0:0 0:1:0 0:2 0:2 1:0 0:2 0:2 1:0 0:2 1:0 0:2 0:2 0:2 0:2 0:2 0:2"},
		"late heartbeat of a former process": {7, 32, 0x4ae6, "6:5 6:0 6:2 1:4 1:2 1:1:1 0:3 5:3 2:4 2:5 2:2 5:2 3:3 4:4 3:2 2:3 1:5 6:0 " +
			"2:3 1:3 1:5 3:2 0:2 1:2 4:5 1:3 6:3 3:5 2:5 3:4 4:1:1 1:0 1:1:11 1:0 1:5"},
		"crashed delegates": {8, 1, 0, "0:0 0:0 0:0 0:5 1:3 5:3 7:0 6:0 1:4 7:4 1:4 4:2 1:1:-8 3:5 4:2 1:0 3:1:1 1:0 3:0 " +
			"0:1:-2 3:0 7:5 3:4 7:5 1:3 2:3 1:0 3:0 1:3 0:5 6:0 4:0 4:2 6:5 7:0 1:5 6:0 5:0 6:1:-2 0:4 3:2 3:1:15 0:0"},
	} {
		var steps []historyStep
		for _, text := range strings.Fields(c.steps) {
			var step historyStep
			// Scanning a step without a jump fails early and leaves the jump at zero.
			_, _ = fmt.Sscanf(text, "%d:%d:%d", &step.instance, &step.action, &step.clockJump)
			steps = append(steps, step)
		}
		if err := runHistory(c.instances, c.seed, c.fullMesh, steps); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

package snipeslot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// slotModel simulates owners and holders over a network that loses, delays,
// reorders and repeats messages, and checks the bound on running attempts. Clocks
// run at different rates within the drift margin.
type slotModel struct {
	random       func(n int) int
	now          snipetime.Instant
	epoch        uint64
	ownerIndex   int
	leaseEnd     snipetime.Instant
	config       []Target
	members      []*modelMember
	messages     []func()
	running      map[string]modelRun
	slotsByGrant map[uint64]int // slots of the target when the grant was made
	lastAttempt  int
	// Each of these omits one protection, to test that check reports a violation.
	skipRecovery, skipCancel, skipGrantTracking bool

	grants, ownerChanges, cancelled, reported, reused int
}

// modelMember is an instance of a slotModel with its current process.
type modelMember struct {
	self       Member
	clockRate  int64 // clock rate in thousandths
	holder     *Holder
	owner      *Owner // the latest owner at this address, possibly without lease
	knownOwner int    // index of the member that it sends owner messages to
	starts     int
}

// modelRun is an attempt that runs at a target.
type modelRun struct {
	member  int
	target  string
	grantID uint64
}

const modelGroup = "g"

func newSlotModel(random func(n int) int) *slotModel {
	m := &slotModel{random: random, running: map[string]modelRun{}, slotsByGrant: map[uint64]int{}}
	for i := range 3 {
		m.members = append(m.members, &modelMember{clockRate: int64(997 + 3*i)})
		m.restartProcess(i)
	}
	m.config = []Target{{Address: "x", Slots: 1}, {Address: "y", Slots: 2}}
	m.newOwner(0)
	return m
}

// localTime returns the time on the clock of member i.
func (m *slotModel) localTime(i int) snipetime.Instant {
	return m.now * snipetime.Instant(m.members[i].clockRate) / 1000
}

// restartProcess starts member i with a new incarnation; the running attempts of
// the former process end.
func (m *slotModel) restartProcess(i int) {
	member := m.members[i]
	member.starts++
	member.self = Member{Address: fmt.Sprint(i), Incarnation: fmt.Sprint(member.starts)}
	member.holder = NewHolder(member.self, 0)
	member.owner = nil
	for id, r := range m.running {
		if r.member == i {
			delete(m.running, id)
		}
	}
}

// newOwner makes member i the owner. The caller ensures that the former lease
// has ended.
func (m *slotModel) newOwner(i int) {
	m.epoch++
	m.ownerChanges++
	m.ownerIndex = i
	now := m.localTime(i)
	chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(m.epoch, 0)))
	o := NewOwner(Settings{Group: modelGroup, Epoch: m.epoch, QueueLength: 4}, chooser, now)
	m.members[i].owner = o
	m.extendLease()
	o.Configure(now, m.config)
	m.sendMembers()
	if m.skipRecovery {
		o.recovery.active = false
	}
}

func (m *slotModel) extendLease() {
	const lease = 10 * time.Second
	m.leaseEnd = m.now.Add(lease)
	// The clock of the member may be slow; its lease excludes the drift margin.
	member := m.members[m.ownerIndex]
	member.owner.SetLease(m.localTime(m.ownerIndex).Add(lease - driftMargin(lease)))
}

func (m *slotModel) sendMembers() {
	var all []Member
	for _, member := range m.members {
		all = append(all, member.self)
	}
	m.sendReplies(m.ownerIndex, m.members[m.ownerIndex].owner.SetMembers(m.localTime(m.ownerIndex), all))
}

// sendReplies records the grants among the replies and sends all replies.
func (m *slotModel) sendReplies(owner int, replies []Reply) {
	for _, r := range replies {
		if r.State == Granted && m.slotsByGrant[r.GrantID] == 0 {
			m.grants++
			t := m.members[owner].owner.targets[r.Target]
			if t.Draining || t.removed {
				panic(fmt.Sprintf("grant %d for draining target %s", r.GrantID, r.Target))
			}
			m.slotsByGrant[r.GrantID] = t.Slots
		}
		m.send(func() { m.handleReply(r) })
	}
}

func (m *slotModel) send(f func()) { m.messages = append(m.messages, f) }

// toOwner sends a message to a member; the latest owner there receives it.
func (m *slotModel) toOwner(address int, f func(now snipetime.Instant, o *Owner) []Reply) {
	m.send(func() {
		if o := m.members[address].owner; o != nil {
			m.sendReplies(address, f(m.localTime(address), o))
		}
	})
}

func (m *slotModel) memberIndex(self Member) int {
	return slices.IndexFunc(m.members, func(member *modelMember) bool { return member.self == self })
}

func (m *slotModel) handleReply(r Reply) {
	i := m.memberIndex(r.To)
	if i < 0 {
		return
	}
	member := m.members[i]
	action, release := member.holder.HandleReply(m.localTime(i), r)
	switch action {
	case ActionStart:
		m.running[r.AttemptID] = modelRun{member: i, target: r.Target, grantID: r.GrantID}
	case ReturnGrant:
		m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
	}
}

func (m *slotModel) finishAttempt(i int, id string, outcome Outcome) {
	member := m.members[i]
	delete(m.running, id)
	if release, ok := member.holder.Finish(id, outcome, time.Millisecond); ok {
		m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
	}
}

// reuseOrFinish ends an attempt and starts a queued one under its grant if
// possible.
func (m *slotModel) reuseOrFinish(i int, id string) {
	member := m.members[i]
	release, run, ok := member.holder.ReuseGrant(m.localTime(i), id, time.Millisecond)
	if !ok {
		m.finishAttempt(i, id, OutcomeDone)
		return
	}
	m.reused++
	delete(m.running, id)
	m.running[run.AttemptID] = modelRun{member: i, target: run.Target, grantID: run.GrantID}
	if m.skipGrantTracking {
		delete(member.holder.groups[modelGroup].attemptByGrant, run.GrantID)
	}
	m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
}

func (m *slotModel) renew(i int) {
	member := m.members[i]
	sent := m.localTime(i)
	for _, list := range member.holder.Renewals() {
		m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply {
			recovering := o.recovery.active
			reply, replies := o.Renew(now, list)
			if recovering && reply.Accepted {
				m.reported += len(list.Attempts)
			}
			m.send(func() {
				if m.members[i].self != list.From {
					return
				}
				for _, id := range member.holder.HandleRenewReply(sent, list, reply) {
					m.cancelled++
					m.finishAttempt(i, id, OutcomeCancelled)
				}
			})
			return replies
		})
	}
}

func (m *slotModel) beginAttempt(i int) {
	member := m.members[i]
	m.lastAttempt++
	a, ok := member.holder.Begin(m.localTime(i), Acquire{
		Group: modelGroup, AttemptID: fmt.Sprint(m.lastAttempt),
		Budget: 20 * time.Second, MaximumWait: time.Duration(m.random(10)) * time.Second,
	})
	if ok {
		m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply { return []Reply{o.Acquire(now, a)} })
	}
}

func (m *slotModel) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		m.now = m.now.Add(step)
		for i, member := range m.members {
			tick := member.holder.Tick(m.localTime(i))
			if !m.skipCancel {
				for _, id := range tick.Cancel {
					m.cancelled++
					m.finishAttempt(i, id, OutcomeCancelled)
				}
			}
			for _, c := range tick.Lost {
				m.toOwner(member.knownOwner, func(now snipetime.Instant, o *Owner) []Reply { return o.Cancel(now, c) })
			}
			if member.owner != nil {
				m.sendReplies(i, member.owner.Tick(m.localTime(i)))
			}
		}
	}
}

// updateOwner passes the current owner to member i.
func (m *slotModel) updateOwner(i int) {
	member := m.members[i]
	member.knownOwner = m.ownerIndex
	member.holder.OwnerChanged(modelGroup, m.epoch)
}

// deliver delivers a random message, which stays in the network if repeat is set.
func (m *slotModel) deliver(repeat bool) {
	if len(m.messages) == 0 {
		return
	}
	k := m.random(len(m.messages))
	f := m.messages[k]
	if !repeat {
		m.messages = slices.Delete(m.messages, k, k+1)
	}
	f()
}

func (m *slotModel) step() {
	i := m.random(len(m.members))
	switch action := m.random(200); {
	case action < 90:
		m.deliver(false)
	case action < 96:
		m.deliver(true)
	case action < 100:
		if len(m.messages) > 0 {
			m.messages = slices.Delete(m.messages, 0, 1)
		}
	case action < 120:
		m.beginAttempt(i)
	case action < 140:
		m.renew(i)
	case action < 160:
		m.updateOwner(i)
	case action < 175:
		m.advance(time.Duration(1+m.random(20)) * 50 * time.Millisecond)
	case action < 186:
		if m.now.Before(m.leaseEnd) {
			m.extendLease()
		}
	case action < 190:
		m.finishRandom()
	case action < 193:
		m.reconfigure()
	case action < 196:
		m.sendMembers()
	case action < 197:
		m.restartMember(i)
	case action < 198:
		// The owner does not renew its lease until it has ended.
		m.advance(m.leaseEnd.Sub(m.now) + 50*time.Millisecond)
		m.newOwner(i)
	default:
		if !m.now.Before(m.leaseEnd) {
			m.newOwner(i)
		}
	}
}

func (m *slotModel) finishRandom() {
	ids := make([]string, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		id := ids[m.random(len(ids))]
		m.reuseOrFinish(m.running[id].member, id)
	}
}

func (m *slotModel) reconfigure() {
	t := &m.config[m.random(len(m.config))]
	t.Slots = 1 + m.random(3)
	t.Draining = m.random(3) == 0
	m.sendReplies(m.ownerIndex, m.members[m.ownerIndex].owner.Configure(m.localTime(m.ownerIndex), m.config))
}

// restartMember replaces the process at i; if it was the owner, the new process
// takes the position back at once.
func (m *slotModel) restartMember(i int) {
	m.restartProcess(i)
	if i == m.ownerIndex {
		m.newOwner(i)
	}
}

// check returns an error if more attempts run at a target than it had slots when
// the latest of their grants was made.
func (m *slotModel) check() error {
	latest, count := map[string]uint64{}, map[string]int{}
	for _, r := range m.running {
		count[r.target]++
		latest[r.target] = max(latest[r.target], r.grantID)
	}
	for address, n := range count {
		if slots := m.slotsByGrant[latest[address]]; n > slots {
			return fmt.Errorf("%d attempts at target %s with %d slots, epoch %d", n, address, slots, m.epoch)
		}
	}
	return nil
}

func (m *slotModel) run(steps int) error {
	for range steps {
		m.step()
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against more attempts at a target than its slots, under any sequence of
// message loss, delay and repetition, change of owner, restart, drain and change
// of slots.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		if err := m.run(rapid.IntRange(1, 400).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

func newSeededModel(seed uint64) *slotModel {
	r := rand.New(rand.NewPCG(seed, 0))
	return newSlotModel(r.IntN)
}

// Checks the same as TestSlotsNeverExceeded over longer runs, and that the model
// reaches grants, changes of owner, cancellations, recovery with attempts and
// reuse of grants.
func TestSlotsNeverExceededSeeded(t *testing.T) {
	var total slotModel
	for seed := range uint64(300) {
		m := newSeededModel(seed)
		if err := m.run(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.grants += m.grants
		total.ownerChanges += m.ownerChanges
		total.cancelled += m.cancelled
		total.reported += m.reported
		total.reused += m.reused
	}
	t.Logf("seeds 0-299: %d grants, %d owner changes, %d cancelled, %d reported in recovery, %d grants reused",
		total.grants, total.ownerChanges, total.cancelled, total.reported, total.reused)
	if total.reused == 0 || total.grants == 0 || total.ownerChanges == 0 || total.cancelled == 0 || total.reported == 0 {
		t.Error("the model did not reach every state; see the counts above")
	}
}

// Guards against a check that cannot fail. It must report a violation if a new
// owner does not wait for recovery, if attempts with an expired grant are not
// cancelled, or if a repeated reply returns a grant in use.
func TestCheckCanFail(t *testing.T) {
	for name, fault := range map[string]func(*slotModel){
		"no recovery":     func(m *slotModel) { m.skipRecovery = true },
		"no cancellation": func(m *slotModel) { m.skipCancel = true },
		"grants in use returned on a repeated reply": func(m *slotModel) { m.skipGrantTracking = true },
	} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			m := newSeededModel(seed)
			fault(m)
			found = m.run(1500) != nil
		}
		if !found {
			t.Errorf("%s: no violation in seeds 0-299", name)
		}
	}
}

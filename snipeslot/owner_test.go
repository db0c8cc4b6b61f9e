package snipeslot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

var testMember = Member{Address: "t", Incarnation: "1"}

// readyOwner returns an owner that has ended its recovery and whose lease does
// not end.
func readyOwner(targets ...Target) *Owner {
	chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(1, 2)))
	o := NewOwner(Settings{Group: modelGroup, Epoch: 1}, chooser, 0)
	o.SetLease(1 << 62)
	o.Configure(0, targets)
	o.SetMembers(0, []Member{testMember})
	o.Renew(0, Renew{Group: modelGroup, From: testMember, Epoch: 1, Sequence: 1})
	return o
}

func newAcquire(id string, budget, wait time.Duration) Acquire {
	return Acquire{Group: modelGroup, AttemptID: id, From: testMember, Budget: budget, MaximumWait: wait}
}

func newRelease(r Reply, o Outcome) Release {
	return Release{Group: r.Group, AttemptID: r.AttemptID, From: r.To, GrantID: r.GrantID, Target: r.Target, Outcome: o}
}

// Guards against a slot that stays in use after the loss of a reply or of a
// release.
func TestLostMessagesFreeSlot(t *testing.T) {
	o := readyOwner(Target{Address: "x", Slots: 1})
	if r := o.Acquire(0, newAcquire("lost", time.Minute, 0)); r.State != Granted {
		t.Fatalf("first request was not granted: %+v", r)
	}
	ttl := snipetime.Instant(DefaultTimeToLive)
	o.Tick(ttl - 1)
	if r := o.Acquire(ttl-1, newAcquire("early", time.Minute, 0)); r.Reason != ReasonNoSlot {
		t.Errorf("request before the grant expires: %+v, want reason noSlot", r)
	}
	o.Tick(ttl)
	r := o.Acquire(ttl, newAcquire("next", time.Minute, 0))
	if r.State != Granted {
		t.Fatalf("request after the grant has expired: %+v, want a grant", r)
	}
	list := Renew{Group: modelGroup, From: testMember, Epoch: 1, Sequence: 2, Attempts: []Running{{"next", r.GrantID, "x"}}}
	if reply, _ := o.Renew(ttl, list); !reply.Accepted || len(reply.Unknown) > 0 {
		t.Errorf("renewal of a valid grant: %+v, want it accepted", reply)
	}
	list.Sequence, list.Attempts = 3, nil
	o.Renew(ttl, list)
	if !o.Idle("x") {
		t.Error("a slot stays in use after the attempt left the list")
	}
}

// Guards against requests that wait in vain: one that would miss its deadline is
// refused at once, and one that would not is queued.
func TestWouldMissDeadline(t *testing.T) {
	o := readyOwner(Target{Address: "x", Slots: 1})
	first := o.Acquire(0, newAcquire("first", time.Second, 0))
	now := snipetime.Instant(10 * time.Millisecond)
	o.Release(now, newRelease(first, OutcomeDone))
	o.Acquire(now, newAcquire("busy", time.Second, 0))
	for i := range 5 {
		wait := time.Duration(i+1) * 10 * time.Millisecond
		if r := o.Acquire(now, newAcquire(fmt.Sprint("m", i), wait, wait)); r.Reason != ReasonWouldMissDeadline {
			t.Errorf("%d ahead, budget %v: %+v", i, wait, r)
		}
		if r := o.Acquire(now, newAcquire(fmt.Sprint("q", i), wait+1, time.Second)); r.State != Queued {
			t.Errorf("%d ahead, budget %v: %+v", i, wait+1, r)
		}
		long := newAcquire(fmt.Sprint("e", i), time.Minute, time.Minute)
		long.MaximumExpected = wait + 9*time.Millisecond // one more is queued now
		if r := o.Acquire(now, long); r.Reason != ReasonNoSlot {
			t.Errorf("%d ahead, expected wait above its bound: %+v", i+1, r)
		}
	}
}

// Guards against grants past the deadline, grants out of deadline order and free
// slots while requests are queued, at 1.5 times the capacity.
func TestOverload(t *testing.T) {
	const seed = 11
	random := rand.New(rand.NewPCG(seed, 0))
	o := readyOwner(Target{Address: "x", Slots: 2}, Target{Address: "y", Slots: 2})
	type job struct {
		reply Reply
		end   snipetime.Instant
	}
	var jobs []job
	deadlines := map[string]snipetime.Instant{}
	granted, early, late := 0, 0, 0
	start := func(now snipetime.Instant, replies []Reply) {
		for _, r := range replies {
			switch r.State {
			case Queued: // permission to reuse a grant, which this test does not use
				continue
			case Refused:
				late++
				continue
			}
			granted++
			if !now.Before(deadlines[r.AttemptID]) {
				t.Fatalf("seed %d: %s granted at %v past its deadline", seed, r.AttemptID, now)
			}
			for _, e := range o.queue.entries {
				if e.deadline.Before(deadlines[r.AttemptID]) {
					t.Fatalf("seed %d: %s granted before an earlier deadline", seed, r.AttemptID)
				}
			}
			jobs = append(jobs, job{r, now.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))})
		}
	}
	for i := range 20000 {
		now := snipetime.Instant(i) * snipetime.Instant(time.Millisecond)
		rest := jobs[:0:0]
		done := []job{}
		for _, j := range jobs {
			if j.end.After(now) {
				rest = append(rest, j)
			} else {
				done = append(done, j)
			}
		}
		jobs = rest
		for _, j := range done {
			start(now, o.Release(now, newRelease(j.reply, OutcomeDone)))
		}
		start(now, o.Tick(now))
		if random.Float64() < 0.6 { // 600/s against 4 slots of 10 ms
			id := fmt.Sprint(i)
			budget := time.Duration(20+random.IntN(80)) * time.Millisecond
			deadlines[id] = now.Add(budget)
			switch r := o.Acquire(now, newAcquire(id, budget, budget)); r.State {
			case Granted:
				start(now, []Reply{r})
			case Refused:
				early++
			}
		}
		if l := o.Load(); l.Queued > 0 && l.Free > 0 {
			t.Fatalf("seed %d: %d free slots while %d requests are queued", seed, l.Free, l.Queued)
		}
	}
	t.Logf("seed %d: %d granted, %d refused at once, %d refused in the queue", seed, granted, early, late)
	if granted == 0 || early == 0 {
		t.Error("the test did not reach both grants and refusals at once")
	}
}

// Guards against reuse of a grant that frees its slot or uses it twice, also
// where the owner receives the release after later messages, and against reuse at
// a target that is blocked by the owner, by the instance, by the request or by
// the request's age.
func TestGrantReuse(t *testing.T) {
	for _, blockedBy := range []string{"", "owner", "instance", "request", "age"} {
		o := readyOwner(Target{Address: "x", Slots: 1}, Target{Address: "y", Slots: 1})
		h := NewHolder(testMember, 0)
		h.OwnerChanged(modelGroup, 1)
		acquire := func(a Acquire) Reply {
			a, _ = h.Begin(0, a)
			r := o.Acquire(0, a)
			h.HandleReply(0, r)
			return r
		}
		first := acquire(newAcquire("first", time.Minute, 0))
		acquire(newAcquire("second", time.Minute, 0))
		waiting := newAcquire("waiting", time.Minute, time.Minute)
		now := snipetime.Instant(time.Millisecond)
		switch blockedBy {
		case "owner":
			o.Configure(0, []Target{{Address: "x", Slots: 1, Draining: first.Target == "x"}, {Address: "y", Slots: 1, Draining: first.Target == "y"}})
		case "instance":
			h.SetReuseBlocked(func(target string) bool { return target == first.Target })
		case "request":
			waiting.Excluded = []string{first.Target}
		case "age":
			now = snipetime.Instant(reuseWindow)
		}
		if r := acquire(waiting); r.State != Queued || !r.MayReuseGrant {
			t.Fatalf("queued request may not reuse a grant: %+v", r)
		}
		release, run, ok := h.ReuseGrant(now, "first", time.Millisecond)
		if ok != (blockedBy == "") {
			t.Errorf("blocked by %q: reuse of the grant %v", blockedBy, ok)
		}
		if !ok {
			continue
		}
		if run != (Running{"waiting", first.GrantID, first.Target}) || h.Running() != 2 {
			t.Errorf("attempt %+v runs under the grant, %d attempts in total, want 2", run, h.Running())
		}
		// The grant that follows the release at the other target must not start the
		// request again, and a repeated reply with the first grant must not return
		// that grant.
		second, _ := h.Finish("second", OutcomeDone, 0)
		replies := o.Release(now, second)
		if len(replies) != 1 || replies[0].State != Granted {
			t.Fatalf("replies to the release: %+v, want one grant", replies)
		}
		for _, r := range []Reply{replies[0], first} {
			action, back := h.HandleReply(now, r)
			if want := map[uint64]Action{first.GrantID: ActionIgnore, replies[0].GrantID: ReturnGrant}[r.GrantID]; action != want {
				t.Errorf("unexpected action %v on reply %+v", action, r)
			}
			o.Release(now, back)
		}
		o.Release(now, release)
		if l := o.Load(); l.Free != 1 || l.Queued != 0 {
			t.Errorf("load after reuse of the grant: %+v, want 1 free and 0 queued", l)
		}
		last, _ := h.Finish("waiting", OutcomeDone, 0)
		o.Release(now, last)
		o.Release(now, release) // repeated
		if l := o.Load(); l.Free != 2 {
			t.Errorf("load after all releases: %+v, want 2 free", l)
		}
	}
}

// Guards against load that oscillates between targets: with probe reports that
// lag 2 s and load at 60 % of the capacity, every target is between 10 % and 95 %
// busy over any period of 2 s.
func TestTargetLoadDoesNotOscillate(t *testing.T) {
	const (
		seed   = 5
		slots  = 4
		window = 2000
	)
	random := rand.New(rand.NewPCG(seed, 0))
	names := []string{"a", "b", "c", "d"}
	var targets []Target
	for _, n := range names {
		targets = append(targets, Target{Address: n, Slots: slots})
	}
	o := readyOwner(targets...)
	chooser := o.chooser.(*sniperoute.Chooser)
	ends := map[int][]Release{}
	sum, used := map[string]int{}, map[string][]int{}
	for i := range 60000 { // milliseconds
		now := snipetime.Instant(i) * snipetime.Instant(time.Millisecond)
		for _, r := range ends[i] {
			o.Release(now, r)
		}
		delete(ends, i)
		if random.Float64() < 0.6*slots*4/20 {
			if r := o.Acquire(now, newAcquire(fmt.Sprint(i), time.Second, 0)); r.State == Granted {
				end := i + 1 + int(random.ExpFloat64()*20)
				release := newRelease(r, OutcomeDone)
				release.Latency = time.Duration(end-i) * time.Millisecond
				ends[end] = append(ends[end], release)
			}
		}
		for _, n := range names {
			used[n] = append(used[n], o.targets[n].used)
			sum[n] += o.targets[n].used
			if i > window {
				sum[n] -= used[n][i-window]
				mean := float64(sum[n]) / window / slots
				if mean < 0.1 || mean > 0.95 {
					t.Fatalf("seed %d: target %s is %.0f %% busy at %d ms", seed, n, 100*mean, i)
				}
			}
			if i > window && i%500 == 0 {
				chooser.Probe(now, n, sniperoute.ProbeResult{Healthy: true, Queued: used[n][i-window] / 2})
			}
		}
		if i%100 == 0 {
			o.Tick(now)
		}
	}
}

// Guards against groups above MaximumGroupTargets, lost targets and groups that
// change with the order of the addresses.
func TestSplit(t *testing.T) {
	for n := range 70 {
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprintf("10.0.0.%d:80", i))
		}
		parts := Split(addresses)
		rand.New(rand.NewPCG(uint64(n), 0)).Shuffle(n, func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if got := Split(addresses); fmt.Sprint(got) != fmt.Sprint(parts) {
			t.Errorf("%d targets: the order changes the groups", n)
		}
		seen := map[string]bool{}
		for _, p := range parts {
			if len(p) > MaximumGroupTargets {
				t.Errorf("%d targets: group of %d", n, len(p))
			}
			for _, a := range p {
				seen[a] = true
			}
		}
		if len(seen) != n || len(parts) != (n+15)/16 {
			t.Errorf("%d targets: %d in %d groups", n, len(seen), len(parts))
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			var targets []Target
			for i := range n {
				targets = append(targets, Target{Address: fmt.Sprint(i), Slots: 4})
			}
			o := readyOwner(targets...)
			a := newAcquire("a", time.Second, 0)
			b.ReportAllocs()
			for b.Loop() {
				o.Release(0, newRelease(o.Acquire(0, a), OutcomeDone))
			}
		})
	}
}

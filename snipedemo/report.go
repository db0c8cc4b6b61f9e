package snipedemo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// Headroom is the free part of the slots of a region or of a link direction.
type Headroom struct {
	// Name names the region, or the direction of the link.
	Name string `json:"name"`
	// Mean and Low are the mean and the lowest free part, in percent.
	Mean float64 `json:"meanPercent"`
	Low  float64 `json:"lowPercent"`
}

// Reason is how often a counter of the instances counted a reason.
type Reason struct {
	Counter string `json:"counter"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Report is the result of a demo.
type Report struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Services are the reports of the load by service.
	Services map[string]*snipeload.Report `json:"services"`
	// Regions and Links are the headroom of slots and links.
	Regions []Headroom `json:"regions"`
	Links   []Headroom `json:"links"`
	// DrainedTarget received its last new work LastStart after the announced
	// drain and was idle after DrainTime.
	DrainedTarget string `json:"drainedTarget"`
	LastStart     string `json:"lastStart"`
	DrainTime     string `json:"drainTime"`
	// StoppedInstance stopped as planned within StopTime.
	StoppedInstance string `json:"stoppedInstance"`
	StopTime        string `json:"stopTime"`
	// LostConnections counts requests before the stop whose caller lost the
	// connection to the entry instance, as after a response that a target cut.
	LostConnections int `json:"lostConnections"`
	// InForceTime is the longest time until a generation was in force.
	InForceTime string `json:"inForceTime"`
	// Reasons are refusals and retries as counted by the instances.
	Reasons []Reason `json:"reasons"`
	// Cores is the mean number of cores that the process used under load.
	Cores float64 `json:"cores"`
	// Guarantees are the eight guarantees with what was counted against them.
	Guarantees []Guarantee `json:"guarantees"`
}

// Broken returns the numbers of the broken guarantees.
func (r *Report) Broken() []int {
	var numbers []int
	for _, g := range r.Guarantees {
		if g.Broken() {
			numbers = append(numbers, g.Number)
		}
	}
	return numbers
}

// report evaluates the demo after the load has ended.
func (d *demo) report(services map[string]*snipeload.Report) *Report {
	executions := make(map[*snipeconfig.Service][]execution)
	for _, team := range d.world.deployment.config.Teams() {
		for _, service := range team.Services() {
			executions[service] = d.world.executions(service)
		}
	}
	a := newAudit(d.world.ledger, executions)
	r := &Report{
		Deployment: d.settings.Deployment, Seed: d.settings.Seed, Services: services, Cores: d.cpu.cores(),
		InForceTime: d.sampler.slowest().Round(time.Millisecond).String(), Reasons: d.world.reasons(),
	}
	r.headroom(d)
	r.guarantees(d, a)
	return r
}

func (r *Report) headroom(d *demo) {
	d.sampler.mu.Lock()
	for _, region := range slices.Sorted(maps.Keys(d.sampler.slots)) {
		o := d.sampler.slots[region]
		r.Regions = append(r.Regions, Headroom{Name: region, Mean: 100 * o.mean(), Low: 100 * o.low})
	}
	d.sampler.mu.Unlock()
	for _, link := range d.config.Fleet().Links() {
		x, y := link.Regions()
		for _, way := range []direction{{x, y}, {y, x}} {
			var o occupancy
			for _, bits := range d.world.meter.bitsPerSecond(way) {
				o.add(1 - bits/link.BitsPerSecond())
			}
			if o.samples == 0 {
				o.add(1)
			}
			r.Links = append(r.Links, Headroom{Name: way.from + " to " + way.to, Mean: 100 * o.mean(), Low: 100 * o.low})
		}
	}
}

func (r *Report) guarantees(d *demo, a *audit) {
	runs := a.runs()
	r.add(1, "a shift stays under its cap", a.shifts()...)
	r.add(2, "no region or link is overloaded", linkExcess(d.config.Fleet(), d.world.meter), slotExcess(d.world.targets()))
	r.add(3, "complete responses to the own request", a.answers()...)
	r.add(4, "not-run means not run", a.notRun(runs)...)
	r.add(5, "class once runs at most once", a.once(runs)...)
	drainFinding := Finding{Name: "drain not announced", Count: 1}
	if d.drained != nil {
		f, last, idle := drained(a.executionsOf(d.drained), d.drained.address, d.drained.at)
		drainFinding = f
		r.DrainedTarget = d.drained.address
		r.LastStart, r.DrainTime = last.Round(time.Millisecond).String(), idle.Round(time.Millisecond).String()
	}
	r.add(6, "no new work at a leaving target after 3 s", drainFinding)
	r.add(7, "a planned stop interrupts nothing", r.stop(d, a)...)
	r.add(8, "configuration in force within 3 s, never reverts",
		Finding{Name: "generations not in force within 3 s", Count: d.sampler.late()},
		Finding{Name: "reverts", Count: d.sampler.reverts})
}

func (r *Report) add(number int, text string, findings ...Finding) {
	r.Guarantees = append(r.Guarantees, Guarantee{Number: number, Text: text, Findings: findings})
}

// stop returns what the planned stop did wrong.
func (r *Report) stop(d *demo, a *audit) []Finding {
	failed := Finding{Name: "planned stops that failed"}
	if d.stopped == nil {
		failed.Count, failed.Example = 1, "the stop did not begin"
		return []Finding{failed}
	}
	r.StoppedInstance = d.stopped.address
	r.StopTime = d.stopped.ended.Sub(d.stopped.began).Round(time.Millisecond).String()
	if d.stopped.err != nil {
		failed.Count, failed.Example, r.StopTime = 1, d.stopped.err.Error(), "not finished"
	}
	cut, before := a.cuts(d.stopped.began)
	r.LostConnections = before
	return []Finding{failed, cut}
}

func (a *audit) executionsOf(d *drainRecord) []execution {
	for service, executions := range a.executions {
		if service.Name() == d.service.Name() {
			return executions
		}
	}
	return nil
}

func (w *world) targets() []*snipestandin.Target {
	var all []*snipestandin.Target
	for _, team := range w.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, t := range service.Targets() {
				if target, ok := w.standins.Target(t.Address().String()); ok {
					all = append(all, target)
				}
			}
		}
	}
	return all
}

// reasons sums the counters of refusals and retries over all instances.
func (w *world) reasons() []Reason {
	sums := make(map[Reason]int)
	for _, i := range w.instances {
		gatherReasons(i.registry, sums)
	}
	var all []Reason
	for reason, count := range sums {
		if count > 0 {
			reason.Count = count
			all = append(all, reason)
		}
	}
	slices.SortFunc(all, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// gatherReasons adds the counters with a label reason of one instance.
func gatherReasons(registry prometheus.Gatherer, sums map[Reason]int) {
	families, err := registry.Gather()
	if err != nil {
		// Families without a fault are returned nevertheless.
		sums[Reason{Counter: "metrics", Reason: err.Error()}]++
	}
	for _, family := range families {
		if !strings.Contains(family.GetName(), "refus") && !strings.Contains(family.GetName(), "retr") {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "reason" {
					sums[Reason{Counter: family.GetName(), Reason: label.GetValue()}] += int(metric.GetCounter().GetValue())
				}
			}
		}
	}
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\ndeployment %s, seed %d, %.1f cores in use\n", r.Deployment, r.Seed, r.Cores)
	for _, name := range slices.Sorted(maps.Keys(r.Services)) {
		fmt.Fprintf(&b, "\n%s: ", name)
		if err := r.Services[name].WriteText(&b); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	fmt.Fprintf(&b, "\n%-28s %8s %8s\n", "headroom", "mean", "lowest")
	for _, h := range r.Regions {
		fmt.Fprintf(&b, "%-28s %7.1f%% %7.1f%%\n", "slots in "+h.Name, h.Mean, h.Low)
	}
	for _, h := range r.Links {
		fmt.Fprintf(&b, "%-28s %7.1f%% %7.1f%%\n", h.Name, h.Mean, h.Low)
	}
	fmt.Fprintf(&b, "\ndrain of target %s: last new work after %s, idle after %s\n", r.DrainedTarget, r.LastStart, r.DrainTime)
	fmt.Fprintf(&b, "planned stop of instance %s: %s\n", r.StoppedInstance, r.StopTime)
	fmt.Fprintf(&b, "connections lost by callers before the stop: %d\n", r.LostConnections)
	fmt.Fprintf(&b, "configuration in force after at most %s\n\n", r.InForceTime)
	for _, reason := range r.Reasons {
		fmt.Fprintf(&b, "%-34s %-24s %8d\n", reason.Counter, reason.Reason, reason.Count)
	}
	for _, g := range r.Guarantees {
		state := "held"
		if g.Broken() {
			state = "BROKEN"
		}
		fmt.Fprintf(&b, "\nguarantee %d %s: %s\n", g.Number, state, g.Text)
		for _, f := range g.Findings {
			fmt.Fprintf(&b, "  %-56s %6d  %s\n", f.Name, f.Count, f.Example)
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

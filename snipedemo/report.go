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

// Headroom is the free share of the slots of a region or of a link direction.
type Headroom struct {
	// Name is the region, or "A to B" for the direction of a link from region A to
	// region B.
	Name string `json:"name"`
	// Mean and Low are the mean and the lowest free share in percent. They are
	// negative above capacity.
	Mean float64 `json:"meanPercent"`
	Low  float64 `json:"lowPercent"`
}

// ReasonCount is the value of a counter of the instances for one of its
// reasons, summed over all instances.
type ReasonCount struct {
	Counter string `json:"counter"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Report is the result of a demo.
type Report struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Services holds the load reports by service name.
	Services map[string]*snipeload.Report `json:"services"`
	// Regions and Links are the headroom of slots and links.
	Regions []Headroom `json:"regions"`
	Links   []Headroom `json:"links"`
	// DrainedTarget is the address of the drained target. From the announcement of
	// the drain, its last request began after LastStart and it was idle after
	// DrainTime.
	DrainedTarget string `json:"drainedTarget"`
	LastStart     string `json:"lastStart"`
	DrainTime     string `json:"drainTime"`
	// StoppedInstance is the address of the instance that was stopped as planned.
	// StopTime is how long that took, or "not finished" if the stop failed.
	StoppedInstance string `json:"stoppedInstance"`
	StopTime        string `json:"stopTime"`
	// LostConnections counts requests before the planned stop whose caller lost the
	// connection to the entry instance, for example because a target closed its
	// connection within a response.
	LostConnections int `json:"lostConnections"`
	// InForceTime is the longest time from the acceptance of a generation until all
	// running instances used it.
	InForceTime string `json:"inForceTime"`
	// Reasons are the refusals and retries that the instances counted, by counter
	// and reason.
	Reasons []ReasonCount `json:"reasons"`
	// Cores is the mean number of cores that the process used under load.
	Cores float64 `json:"cores"`
	// Guarantees are the eight guarantees with their findings.
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
	for _, team := range d.testbed.deployment.config.Teams() {
		for _, service := range team.Services() {
			executions[service] = d.testbed.executions(service)
		}
	}
	a := newAudit(d.testbed.resultLog, executions)
	r := &Report{
		Deployment: d.settings.Deployment, Seed: d.settings.Seed, Services: services, Cores: d.cpu.cores(),
		InForceTime: d.sampler.maxInForceTime().Round(time.Millisecond).String(), Reasons: d.testbed.reasons(),
	}
	r.addHeadroom(d)
	r.checkGuarantees(d, a)
	return r
}

// addHeadroom fills in Regions and Links. A link direction without traffic counts as
// idle.
func (r *Report) addHeadroom(d *demo) {
	d.sampler.mu.Lock()
	for _, region := range slices.Sorted(maps.Keys(d.sampler.slotHeadroom)) {
		stats := d.sampler.slotHeadroom[region]
		r.Regions = append(r.Regions, Headroom{Name: region, Mean: 100 * stats.mean(), Low: 100 * stats.lowest})
	}
	d.sampler.mu.Unlock()
	for _, link := range d.config.Fleet().Links() {
		x, y := link.Regions()
		for _, dir := range []direction{{x, y}, {y, x}} {
			var stats headroomStats
			for _, bits := range d.testbed.linkMeter.bitsPerSecond(dir) {
				stats.add(1 - bits/link.BitsPerSecond())
			}
			if stats.samples == 0 {
				stats.add(1)
			}
			r.Links = append(r.Links, Headroom{Name: dir.from + " to " + dir.to, Mean: 100 * stats.mean(), Low: 100 * stats.lowest})
		}
	}
}

// checkGuarantees fills in Guarantees and the times of the drain and the stop.
func (r *Report) checkGuarantees(d *demo, a *audit) {
	runs := a.executionCounts()
	r.addGuarantee(1, "a shift stays under its cap", a.checkShiftCaps()...)
	r.addGuarantee(2, "no region or link is overloaded", linkExcess(d.config.Fleet(), d.testbed.linkMeter), slotExcess(d.testbed.targets()))
	r.addGuarantee(3, "complete responses to the own request", a.checkResponses()...)
	r.addGuarantee(4, "not-run means not run", a.checkNotRun(runs)...)
	r.addGuarantee(5, "class once runs at most once", a.checkOnce(runs)...)
	drainFinding := Finding{Name: "drain not announced", Count: 1}
	if d.drained != nil {
		f, last, idle := checkDrain(a.executionsOf(d.drained), d.drained.address, d.drained.at)
		drainFinding = f
		r.DrainedTarget = d.drained.address
		r.LastStart, r.DrainTime = last.Round(time.Millisecond).String(), idle.Round(time.Millisecond).String()
	}
	r.addGuarantee(6, "no new work at a leaving target after 3 s", drainFinding)
	r.addGuarantee(7, "a planned stop interrupts nothing", r.checkStop(d, a)...)
	r.addGuarantee(8, "configuration in force within 3 s, never reverts",
		Finding{Name: "generations not in force within 3 s", Count: d.sampler.lateCommits()},
		Finding{Name: "reverts", Count: d.sampler.reverts})
}

func (r *Report) addGuarantee(number int, text string, findings ...Finding) {
	r.Guarantees = append(r.Guarantees, Guarantee{Number: number, Text: text, Findings: findings})
}

// checkStop returns the violations by the planned stop, and fills in
// StoppedInstance, StopTime and LostConnections.
func (r *Report) checkStop(d *demo, a *audit) []Finding {
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
	cut, before := a.checkLostConnections(d.stopped.began)
	r.LostConnections = before
	return []Finding{failed, cut}
}

// executionsOf returns the executions of the service of a drained target. Services
// are compared by name, because the drain may belong to a later snapshot.
func (a *audit) executionsOf(d *drainRecord) []execution {
	for service, executions := range a.executions {
		if service.Name() == d.service.Name() {
			return executions
		}
	}
	return nil
}

// targets returns the stand-ins of all targets.
func (tb *testbed) targets() []*snipestandin.Target {
	var all []*snipestandin.Target
	for _, team := range tb.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, t := range service.Targets() {
				if target, ok := tb.standins.Target(t.Address().String()); ok {
					all = append(all, target)
				}
			}
		}
	}
	return all
}

// reasons returns the counters of refusals and retries that are not 0, summed over
// all instances.
func (tb *testbed) reasons() []ReasonCount {
	sums := make(map[ReasonCount]int)
	for _, i := range tb.instances {
		gatherReasons(i.registry, sums)
	}
	var all []ReasonCount
	for reason, count := range sums {
		if count > 0 {
			reason.Count = count
			all = append(all, reason)
		}
	}
	slices.SortFunc(all, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Counter, b.Counter), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// gatherReasons adds the counters of refusals and retries of one instance that have
// a label reason.
func gatherReasons(registry prometheus.Gatherer, sums map[ReasonCount]int) {
	families, err := registry.Gather()
	if err != nil {
		// Gather also returns the valid metric families, which are still counted.
		sums[ReasonCount{Counter: "metrics", Reason: err.Error()}]++
	}
	for _, family := range families {
		if !strings.Contains(family.GetName(), "refus") && !strings.Contains(family.GetName(), "retr") {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "reason" {
					sums[ReasonCount{Counter: family.GetName(), Reason: label.GetValue()}] += int(metric.GetCounter().GetValue())
				}
			}
		}
	}
}

// WriteText writes the report as text for people. It returns an error if a write to
// w fails.
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

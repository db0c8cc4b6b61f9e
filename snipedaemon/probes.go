package snipedaemon

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetarget"
)

// probeTimeout bounds one probe of a target's health and load.
const probeTimeout = time.Second

// probes polls the health and load of the targets of owned slot groups. Only
// the owner of a group probes its targets, because a probe costs a target
// several milliseconds.
type probes struct {
	clock  timer
	dialer Dialer

	mu     sync.Mutex
	groups map[string]*groupProber
}

// groupProber is the prober of one group with the targets it probes.
type groupProber struct {
	prober  *snipetarget.Prober
	targets map[string]bool
}

func newProbes(clock timer, dialer Dialer) *probes {
	return &probes{clock: clock, dialer: dialer, groups: make(map[string]*groupProber)}
}

// setTargets replaces the targets that are probed for a group and ends the
// probes of the others; without addresses the whole prober ends. template and
// report matter only for the first call with addresses. report receives the
// results, with the target's address.
func (p *probes) setTargets(group string, addresses []string, template *snipeconfig.Template, report func(string, sniperoute.ProbeResult)) {
	p.mu.Lock()
	g, ok := p.groups[group]
	switch {
	case len(addresses) == 0 && !ok:
		p.mu.Unlock()
		return
	case len(addresses) == 0:
		delete(p.groups, group)
		p.mu.Unlock()
		// Close waits for running reports, which acquire a lock that the caller
		// holds. It runs on its own goroutine to avoid a deadlock.
		go g.prober.Close()
		return
	case !ok:
		g = &groupProber{
			prober: snipetarget.NewProber(template.ProbeInterval(), probeTimeout, p.clock, p.dialer, func(r snipetarget.ProbeReport) {
				report(r.Target, sniperoute.ProbeResult{Healthy: r.Healthy, Queued: r.Load.Queued})
			}),
			targets: make(map[string]bool),
		}
		p.groups[group] = g
	}
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if !g.targets[a] {
			g.prober.Start(a)
		}
	}
	for a := range g.targets {
		if !wanted[a] {
			g.prober.Stop(a)
		}
	}
	g.targets = wanted
	p.mu.Unlock()
}

// close ends all probers and waits for their reports.
func (p *probes) close() {
	p.mu.Lock()
	groups := p.groups
	p.groups = make(map[string]*groupProber)
	p.mu.Unlock()
	for _, g := range groups {
		g.prober.Close()
	}
}

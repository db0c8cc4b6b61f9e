package snipedemo

import (
	"slices"
	"strconv"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Finding is the number of violations of one kind of a guarantee.
type Finding struct {
	// Name says what is counted.
	Name string `json:"name"`
	// Count is the number of violations; the guarantee is broken if it is not 0.
	Count int `json:"count"`
	// Example describes one violation; empty if there is none.
	Example string `json:"example,omitempty"`
}

// Guarantee is the result of checking one of the guarantees of section 1.2 of the
// design.
type Guarantee struct {
	// Number is the number of the guarantee in the design, from 1 to 8, and Text its
	// short form.
	Number int    `json:"number"`
	Text   string `json:"text"`
	// Findings are the kinds of violations that were checked, also those with count
	// 0.
	Findings []Finding `json:"findings"`
}

// Broken reports whether a violation of the guarantee was found.
func (g Guarantee) Broken() bool {
	return slices.ContainsFunc(g.Findings, func(f Finding) bool { return f.Count > 0 })
}

// audit holds the results that callers received and the executions at targets,
// against which the guarantees are checked. homePlaces holds the place of the
// caller by request identifier.
type audit struct {
	results    []callerResult
	wrong      []wrongResponse
	keys       []string
	executions map[*snipeconfig.Service][]execution
	homePlaces map[string]string
}

func newAudit(l *resultLog, executions map[*snipeconfig.Service][]execution) *audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &audit{
		results: slices.Clone(l.results), wrong: slices.Clone(l.wrong), keys: slices.Clone(l.keys),
		executions: executions, homePlaces: make(map[string]string, len(l.results)),
	}
	for _, r := range a.results {
		a.homePlaces[r.id] = r.homePlace
	}
	return a
}

// secondsOverCap counts the windows of one second in which the weights of events
// add up to more than limit. at holds the times of the events in ascending order.
// A sliding window is used, so that a burst cannot be split between two fixed
// seconds; windows that were counted do not overlap.
func secondsOverCap(at []snipetime.Instant, weight []float64, limit float64) int {
	seconds, first, sum := 0, 0, 0.0
	counted := snipetime.Instant(-1 << 62)
	for i := range at {
		sum += weight[i]
		for at[i].Sub(at[first]) >= time.Second {
			sum -= weight[first]
			first++
		}
		if sum > limit && at[i].Sub(counted) >= time.Second {
			seconds++
			counted = at[i]
		}
	}
	return seconds
}

// checkShiftCaps counts the seconds in which a service's shift, its traffic outside
// the home places of its callers, was over the caps in requests or bits per second.
func (a *audit) checkShiftCaps() []Finding {
	requests := Finding{Name: "seconds over the cap of a shift in requests"}
	bits := Finding{Name: "seconds over the cap of a shift in bits"}
	for service, executions := range a.executions {
		var shifted []execution
		for _, e := range executions {
			if home, known := a.homePlaces[e.RequestID]; known && home != e.place {
				shifted = append(shifted, e)
			}
		}
		slices.SortFunc(shifted, func(x, y execution) int { return int(x.Started.Sub(y.Started)) })
		at := make([]snipetime.Instant, len(shifted))
		unitWeights, bitWeights := make([]float64, len(shifted)), make([]float64, len(shifted))
		for i, e := range shifted {
			at[i], unitWeights[i] = e.Started, 1
			bitWeights[i] = 8 * float64(e.BodyBytes+service.Template().AnswerBytes())
		}
		shift := service.Shift()
		if n := secondsOverCap(at, unitWeights, shift.RequestsPerSecond()); n > 0 {
			requests.Count, requests.Example = requests.Count+n, service.Name()
		}
		if n := secondsOverCap(at, bitWeights, shift.BitsPerSecond()); n > 0 {
			bits.Count, bits.Example = bits.Count+n, service.Name()
		}
	}
	return []Finding{requests, bits}
}

// checkResponses counts truncated responses and responses to other requests.
func (a *audit) checkResponses() []Finding {
	f := Finding{Name: "truncated or wrong answers", Count: len(a.wrong)}
	if len(a.wrong) > 0 {
		f.Example = a.wrong[0].id + ": " + a.wrong[0].reason
	}
	return []Finding{f}
}

// executionCounts returns the number of executions by request identifier.
func (a *audit) executionCounts() map[string]int {
	runs := make(map[string]int, len(a.results))
	for _, executions := range a.executions {
		for _, e := range executions {
			runs[e.RequestID]++
		}
	}
	return runs
}

// checkNotRun counts requests that ran although their callers received the outcome
// not-run.
func (a *audit) checkNotRun(runs map[string]int) []Finding {
	f := Finding{Name: "requests that ran after the answer not-run"}
	for _, r := range a.results {
		if r.outcome == snipeload.NotRun && r.id != "" && runs[r.id] > 0 {
			f.Count++
			f.Example = r.service.Name() + " " + r.id + " (" + r.reason + ")"
		}
	}
	return []Finding{f}
}

// checkOnce counts requests of class once, and idempotency keys, that ran more than
// once.
func (a *audit) checkOnce(runs map[string]int) []Finding {
	f := Finding{Name: "requests of class once that ran more than once"}
	for _, r := range a.results {
		if r.service.Class() == snipeconfig.ClassOnce && r.id != "" && runs[r.id] > 1 {
			f.Count++
			f.Example = r.service.Name() + " " + r.id + " ran " + strconv.Itoa(runs[r.id]) + " times"
		}
	}
	byKey := Finding{Name: "idempotency keys that ran more than once"}
	keyRuns := make(map[string]int)
	for _, executions := range a.executions {
		for _, e := range executions {
			keyRuns[e.Key]++
		}
	}
	for _, key := range a.keys {
		if keyRuns[key] > 1 {
			byKey.Count++
			byKey.Example = key
		}
	}
	return []Finding{f, byKey}
}

// checkDrain counts requests that began at the drained target more than inForceLimit
// after the drain was accepted at the instant at. lastStart and idle are the times
// from at until the last request began and until the last one ended.
func checkDrain(executions []execution, address string, at snipetime.Instant) (f Finding, lastStart, idle time.Duration) {
	f = Finding{Name: "requests begun at the drained target after 3 s"}
	for _, e := range executions {
		if e.Target != address {
			continue
		}
		if e.Started.Sub(at) > inForceLimit {
			f.Count++
			f.Example = e.RequestID + " after " + e.Started.Sub(at).String()
		}
		lastStart = max(lastStart, e.Started.Sub(at))
		idle = max(idle, e.Finished.Sub(at))
	}
	return f, lastStart, idle
}

// checkLostConnections counts requests whose callers lost the connection to the
// entry instance. during counts those with a result since the planned stop began,
// which are violations, and before counts the others.
func (a *audit) checkLostConnections(stop time.Time) (during Finding, before int) {
	during = Finding{Name: "requests cut since the stop began"}
	for _, r := range a.results {
		switch {
		case r.lostConnections == 0:
		case r.at.Before(stop):
			before++
		default:
			during.Count++
			during.Example = r.service.Name() + " " + r.id
		}
	}
	return during, before
}

// slotExcess counts requests that arrived at a target whose slots were all busy.
func slotExcess(targets []*snipestandin.Target) Finding {
	f := Finding{Name: "requests that came to a target without a free slot"}
	for _, t := range targets {
		if n := int(t.Stats().SlotExcess); n > 0 {
			f.Count += n
			f.Example = t.Address()
		}
	}
	return f
}

// linkExcess counts the seconds in which a direction of a link carried more than
// its rate.
func linkExcess(fleet *snipeconfig.Fleet, meter *linkMeter) Finding {
	f := Finding{Name: "seconds over the rate of a link"}
	for _, link := range fleet.Links() {
		a, b := link.Regions()
		for _, d := range []direction{{a, b}, {b, a}} {
			for _, bits := range meter.bitsPerSecond(d) {
				if bits > link.BitsPerSecond() {
					f.Count++
					f.Example = d.from + " to " + d.to
				}
			}
		}
	}
	return f
}

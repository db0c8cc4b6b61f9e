// Command snipemoorsoak runs fronts as separate processes, injects random faults,
// and checks the guarantees to callers and targets, once for each seed.
//
// It exits with status 1 if a guarantee was violated, and with 2 if a run could
// not be carried out. The settings and logs of a seed without violations are
// removed.
package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/platform/rig"
	"github.com/snipemoor/snipemoor/platform/soak"
	"github.com/snipemoor/snipemoor/snipetrace"
)

type options struct {
	Front    string        `help:"Path of the executable of the front." required:"" type:"existingfile"`
	Dir      string        `help:"Directory for the settings and logs of each failed seed." default:"soak-logs"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    uint64        `help:"Number of seeds." default:"1"`
	Duration time.Duration `help:"Time during which faults are injected, for each seed." default:"20s"`
	Fronts   int           `help:"Number of fronts." default:"4"`
	Targets  int           `help:"Number of targets." default:"6"`
	Callers  int           `help:"Number of callers." default:"6"`
	Keep     bool          `help:"Keep the settings and logs of seeds without violations too."`
	Verbose  bool          `help:"Write a line for each fault."`

	Deployment string  `help:"Deployment file: serve it with servers as processes of their own." type:"existingfile"`
	Scale      float64 `help:"Part of the deployment that is served." default:"1"`
	Dose       string  `help:"Doses of the deployment that are given side by side, such as shed,lateAny. A part such as shed=0.2 states another share of requests."`
}

// serverCommand is the argument with which the command runs a server of a deployment.
const serverCommand = "server"

func main() {
	if len(os.Args) == 2 && os.Args[1] == serverCommand {
		if err := rig.ServerMain(os.Stdin); err != nil {
			printError(err)
			os.Exit(2)
		}
		return
	}
	var o options
	kong.Parse(&o, kong.Name("snipemoorsoak"), kong.Description("Runs fronts under random faults and checks their guarantees."))
	os.Exit(runSeeds(o))
}

// runSeeds runs all seeds one after the other and returns the exit status.
func runSeeds(o options) int {
	status := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		dir := filepath.Join(o.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			printError(err)
			return 2
		}
		broken, err := runSeed(o, seed, dir)
		if err != nil {
			printError(err)
			return 2
		}
		if broken {
			status = 1
			continue
		}
		if o.Keep {
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			printError(err)
		}
	}
	return status
}

// runSeed runs one seed, prints its result and reports whether a guarantee was violated.
func runSeed(o options, seed uint64, dir string) (broken bool, err error) {
	if o.Deployment != "" {
		return runDeployment(o, seed, dir)
	}
	s := soak.Settings{
		Binary: o.Front, Dir: dir, Seed: seed, Duration: o.Duration,
		Fronts: o.Fronts, Targets: o.Targets, Callers: o.Callers,
	}
	if o.Verbose {
		s.Log = os.Stdout
	}
	result, err := soak.Run(s)
	if err != nil {
		return false, fmt.Errorf("run seed %d: %w", seed, err)
	}
	printResult(seed, result)
	return len(result.Violations) > 0, nil
}

// runDeployment is runSeed for a deployment file.
func runDeployment(o options, seed uint64, dir string) (broken bool, err error) {
	d, err := rig.Load(o.Deployment)
	if err != nil {
		return false, fmt.Errorf("load deployment: %w", err)
	}
	d.Scale(o.Scale)
	program, err := os.Executable()
	if err != nil {
		return false, fmt.Errorf("find own executable: %w", err)
	}
	s := rig.Settings{Front: o.Front, Server: []string{program, serverCommand}, Dir: dir, Seed: seed, Duration: o.Duration, Doses: o.Dose}
	if o.Verbose {
		s.Log = os.Stdout
	}
	verdict, err := rig.Run(s, d)
	if err != nil {
		return false, fmt.Errorf("run seed %d: %w", seed, err)
	}
	// A write error cannot be reported anywhere else.
	_, _ = fmt.Fprintf(os.Stdout, "%s, part %g, seed %d, doses %q: ", d.Name, o.Scale, seed, o.Dose)
	verdict.Print(os.Stdout)
	return len(verdict.Findings) > 0, nil
}

// printResult writes one line for a seed, and for each violation one with its verdict, if
// there is one, below it.
func printResult(seed uint64, r *soak.Result) {
	// A write error cannot be reported anywhere else.
	_, _ = fmt.Fprintf(os.Stdout, "seed %d: served %d, refused %d, failed %d, violations %d\n",
		seed, r.Served, r.Refused, r.Failed, len(r.Violations))
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintln(os.Stdout, "  "+violation)
	}
	printVerdicts(r.Verdicts)
}

// printVerdicts writes one line with the number of verdicts for each hypothesis, unless there
// are none.
func printVerdicts(verdicts []*snipetrace.Verdict) {
	counts := make(map[snipetrace.Hypothesis]int)
	for _, v := range verdicts {
		counts[v.Hypothesis()]++
	}
	for _, h := range slices.Sorted(maps.Keys(counts)) {
		// A write error cannot be reported anywhere else.
		_, _ = fmt.Fprintf(os.Stdout, "  %d of %d verdicts: %s (%s)\n", counts[h], len(verdicts), h, h.Meaning())
	}
}

// printError writes an error to standard error.
func printError(err error) {
	// A write error cannot be reported anywhere else.
	_, _ = fmt.Fprintln(os.Stderr, "snipemoorsoak:", err)
}

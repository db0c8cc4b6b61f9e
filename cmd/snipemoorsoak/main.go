// Command snipemoorsoak runs fronts as separate processes under random faults and
// checks the promises to callers and targets.
//
// It exits with status 1 if a promise was broken and with 2 if a run could not be
// played.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/platform/soak"
)

type options struct {
	Front    string        `help:"Program of the front." required:"" type:"existingfile"`
	Dir      string        `help:"Folder for settings and logs of failed seeds." default:"soak-logs"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    uint64        `help:"Number of seeds." default:"1"`
	Duration time.Duration `help:"Time in which faults come, for each seed." default:"20s"`
	Fronts   int           `help:"Number of fronts." default:"4"`
	Targets  int           `help:"Number of targets." default:"6"`
	Callers  int           `help:"Number of callers." default:"6"`
	Verbose  bool          `help:"Write a line for each fault."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("snipemoorsoak"), kong.Description("Soaks fronts in random faults."))
	os.Exit(play(o))
}

func play(o options) int {
	status := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		dir := filepath.Join(o.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			complain(err)
			return 2
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
			complain(err)
			return 2
		}
		report(seed, result)
		if len(result.Violations) > 0 {
			status = 1
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			complain(err)
		}
	}
	return status
}

func report(seed uint64, r *soak.Result) {
	// Nobody reads a report that cannot be written.
	_, _ = fmt.Fprintf(os.Stdout, "seed %d: served %d, refused %d, failed %d, breaches %d\n",
		seed, r.Served, r.Refused, r.Failed, len(r.Violations))
	for _, b := range r.Violations {
		_, _ = fmt.Fprintln(os.Stdout, "  "+b)
	}
}

func complain(err error) {
	// Nobody reads an error that cannot be written.
	_, _ = fmt.Fprintln(os.Stderr, "snipemoorsoak:", err)
}

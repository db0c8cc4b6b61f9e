// Command snipemeasure compares the load-balancing policy of snipemoor with other
// policies in a discrete-event simulation.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/snipemeasure"
)

const description = `Compares the load-balancing policy of snipemoor with other policies in a discrete-event simulation.

For a seed and a load, all policies receive the same arrivals and service times.

Example: snipemeasure --seeds 1,2 --loads 0.85 --scenarios equal,drained --shapes 16x4,12x3 --output text`

// commandLine holds the flags. Their names are those of the fields.
type commandLine struct {
	Seeds     []uint64                `help:"Seeds of arrivals, service times and random choices." default:"1"`
	Loads     []float64               `help:"Loads as fractions of the nominal capacity." default:"0.5,0.7,0.85,0.95"`
	Scenarios []snipemeasure.Scenario `help:"Conditions of the targets: equal, slow, cold, drained." default:"equal,slow,cold,drained"`
	Policies  []snipemeasure.Policy   `help:"Policies: snipemoor, random, roundRobin, localLeast, central." default:"snipemoor,random,roundRobin,localLeast,central"`
	Shapes    []snipemeasure.Shape    `help:"Number of targets and number of slots of each, such as 16x4." default:"16x4"`
	Sigmas    []float64               `help:"Standard deviations of the logarithm of the service times." default:"0.5"`
	Requests  int                     `help:"Number of requests for each policy, scenario and load." default:"50000"`
	Parallel  int                     `help:"Highest number of concurrent runs, one for each shape, sigma and seed." default:"4"`
	Output    snipemeasure.Format     `help:"Output format: ${enum}." enum:"text,json,svg" default:"text"`
}

func main() {
	var arguments commandLine
	parser := kong.Parse(&arguments, kong.Name("snipemeasure"), kong.Description(description))
	parser.FatalIfErrorf(run(arguments, os.Stdout))
}

// run runs the comparison and writes the results to out.
func run(a commandLine, out io.Writer) error {
	sweep := snipemeasure.Sweep{
		Base: snipemeasure.Settings{
			Requests: a.Requests, Loads: a.Loads, Policies: a.Policies, Scenarios: a.Scenarios,
		},
		Shapes: a.Shapes, Sigmas: a.Sigmas, Seeds: a.Seeds, Parallel: a.Parallel,
	}
	reports, err := sweep.Run()
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := reports.Write(out, a.Output); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

// Command snipemeasure compares the project's choice of targets with other
// policies on stepped time.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/snipemeasure"
)

const description = `Compares the project's choice of targets with other policies on stepped time.

All policies receive the same arrivals and service times, which depend on the seed only.

Example: snipemeasure --seeds 1,2 --loads 0.85 --scenarios equal,drained --shapes 16x4,12x3 --output text`

// commandLine holds the arguments.
type commandLine struct {
	Seeds     []uint64                `help:"Seeds of arrivals, service times and choices." default:"1"`
	Loads     []float64               `help:"Loads as shares of the nominal capacity." default:"0.5,0.7,0.85,0.95"`
	Scenarios []snipemeasure.Scenario `help:"Conditions of the targets: equal, slow, cold, drained." default:"equal,slow,cold,drained"`
	Policies  []snipemeasure.Policy   `help:"Policies: snipemoor, random, roundRobin, localLeast, central." default:"snipemoor,random,roundRobin,localLeast,central"`
	Shapes    []snipemeasure.Shape    `help:"Targets and slots of each target, such as 16x4." default:"16x4"`
	Sigmas    []float64               `help:"Spreads of the log-normal service times." default:"0.5"`
	Requests  int                     `help:"Requests in each cell." default:"50000"`
	Parallel  int                     `help:"Runs at the same time." default:"4"`
	Output    snipemeasure.Format     `help:"Output format: ${enum}." enum:"text,json,svg" default:"text"`
}

func main() {
	var arguments commandLine
	parser := kong.Parse(&arguments, kong.Name("snipemeasure"), kong.Description(description))
	parser.FatalIfErrorf(run(arguments, os.Stdout))
}

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

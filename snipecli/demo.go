package snipecli

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"time"

	"github.com/snipemoor/snipemoor/examples"
	"github.com/snipemoor/snipemoor/snipedemo"
)

type demoCommand struct {
	Deployment string        `help:"Example deployment: society or bakhour." default:"society" placeholder:"NAME"`
	Duration   time.Duration `help:"Duration of the load, at least 10s." default:"20s"`
	Examples   string        `help:"Directory of the examples; those built into this program if absent." placeholder:"DIR"`
	Seed       uint64        `help:"Seed of arrival times and service times." default:"1"`
	Load       float64       `help:"Offered load as a fraction of the capacity of all slots, above 0 and at most 1." default:"${demoLoad}"`
}

// Help returns the detailed help text.
func (demoCommand) Help() string {
	return `Runs the stand-ins and all entry instances of an example in one process on loopback, offers load,
drains a target, stops an instance, and checks the guarantees of the system. The exit status is 1
if a guarantee was broken.

Example:
  snipemoor demo --deployment bakhour --duration 30s`
}

// demoResult is the output of demo.
type demoResult struct{ *snipedemo.Report }

func (r demoResult) writeText(w io.Writer) error {
	if err := r.WriteText(w); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context, s *session) error {
	var files fs.FS = examples.Files()
	if c.Examples != "" {
		files = os.DirFS(c.Examples)
	}
	settings := snipedemo.Settings{
		Deployment: c.Deployment, Files: files, Duration: c.Duration, Load: c.Load, Seed: c.Seed,
		Progress: s.deps.Stderr,
	}
	if err := settings.Check(); err != nil {
		return withStatus(ExitUsage, fmt.Errorf("demo: %w", err))
	}
	report, err := snipedemo.Run(ctx, settings)
	if report != nil {
		if printErr := s.print(demoResult{report}); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if broken := report.Broken(); len(broken) > 0 {
		return fmt.Errorf("demo: broken guarantees: %v", broken)
	}
	return nil
}

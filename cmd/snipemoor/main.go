// Command snipemoor is the operators' command line of snipemoor. It checks, changes
// and shows the configuration of a fleet, shows the status of its instances, and
// sends load to its services.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipetime"
)

func main() { os.Exit(run()) }

// run runs the command line and returns its exit status. It is apart from main,
// because os.Exit does not run deferred calls.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	clock := snipetime.New()
	defer clock.Close()
	app := snipecli.New(snipecli.Dependencies{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Clock: clock, Terminal: isatty.IsTerminal(os.Stderr.Fd()),
		Configs: platform.Inspector{},
	})
	return app.Run(ctx, os.Args[1:])
}

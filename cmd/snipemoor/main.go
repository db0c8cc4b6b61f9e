// Command snipemoor is the operators' command line of snipemoor.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipetime"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	clock := snipetime.New()
	defer clock.Close()
	app := snipecli.New(snipecli.Dependencies{
		Stdout: os.Stdout, Stderr: os.Stderr, Clock: clock, Terminal: isatty.IsTerminal(os.Stderr.Fd()),
	})
	return app.Run(ctx, os.Args[1:])
}

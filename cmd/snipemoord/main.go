// Command snipemoord runs one entry instance.
//
//	snipemoord --settings examples/society/settings/tcr-ollur-1.json
//
// It exits with status 2 if the arguments or the settings are not valid, with 1
// if the instance fails, and with 0 after a planned stop by SIGTERM or SIGINT.
// With --check it only checks the settings.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipedaemon"
	"github.com/snipemoor/snipemoor/snipelog"
)

// Exit statuses.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadSettings = 2
)

// options holds the command-line flags.
type options struct {
	Settings string `help:"Settings file of the instance (JSON with comments)." required:"" type:"existingfile"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("snipemoord"),
		kong.Description("Runs one entry instance of snipemoor.\n\nExample:\n  snipemoord --settings examples/society/settings/tcr-ollur-1.json"),
		kong.Exit(func(code int) {
			if code != exitOK {
				code = exitBadSettings
			}
			os.Exit(code)
		}))
	os.Exit(run(o, os.Stderr))
}

// run reads and checks the settings, runs the instance unless --check is given,
// and returns the exit status.
func run(o options, stderr io.Writer) int {
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		printError(stderr, err)
		return exitBadSettings
	}
	settings, err := snipedaemon.ParseSettings(o.Settings, data)
	if err != nil {
		if faults, ok := snipeconfig.AsFaults(err); ok {
			for _, f := range faults {
				printError(stderr, fmt.Errorf("%s", f))
			}
		} else {
			printError(stderr, err)
		}
		return exitBadSettings
	}
	if o.Check {
		return exitOK
	}
	return runInstance(settings, stderr)
}

// runInstance runs the instance until SIGTERM or SIGINT and returns the exit
// status.
func runInstance(settings *snipedaemon.Settings, stderr io.Writer) int {
	log, err := snipelog.New(settings.LogLevel(), stderr)
	if err != nil {
		printError(stderr, err)
		return exitBadSettings
	}
	defer func() { _ = log.Sync() }()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	daemon, err := snipedaemon.New(settings, snipedaemon.Dependencies{Log: log, Registry: registry})
	if err != nil {
		log.Error("instance cannot start", zap.Error(err))
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		log.Error("instance failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// printError writes an error message with the name of the command.
func printError(w io.Writer, err error) {
	// An error of stderr itself cannot be reported anywhere.
	_, _ = fmt.Fprintln(w, "snipemoord:", err)
}

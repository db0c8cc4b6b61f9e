// Command snipemoorfront runs a front: the process that stands between callers and
// targets on the users' platform.
//
// The environment variable SNIPEMOOR_CONFIG names its settings file unless the flag
// --settings does. It exits with status 2 if the settings or the log level are not
// valid, with 1 if the front cannot start or fails, and with 0 after a graceful stop
// by SIGTERM or SIGINT and after a successful --check.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipefront"
	"github.com/snipemoor/snipemoor/snipelog"
)

// Exit statuses.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadSettings = 2
)

// options are the command-line flags, which get their names from the fields.
type options struct {
	Settings    string `help:"Path of the settings file; by default the value of SNIPEMOOR_CONFIG."`
	LogLevel    string `help:"Lowest level of log events that are written: debug, info, warn or error." default:"info"`
	MetricsPort int    `help:"TCP port for metrics on the instance's address; 0 serves no metrics." default:"0"`
	Check       bool   `help:"Check the settings file and exit."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("snipemoorfront"), kong.Description("Runs a front of snipemoor on the users' platform."))
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsEnv)
	}
	os.Exit(run(o))
}

// run runs the front until it is stopped or fails, and returns the exit status.
func run(o options) int {
	load := func() (*platform.Settings, error) { return platform.LoadSettings(o.Settings) }
	settings, err := load()
	if err != nil {
		printError(err)
		return exitBadSettings
	}
	if o.Check {
		return exitOK
	}
	logWriter := snipelog.NewWriter(os.Stdout, snipelog.WriterSettings{})
	defer logWriter.Close()
	log, err := snipelog.New(o.LogLevel, logWriter)
	if err != nil {
		printError(err)
		return exitBadSettings
	}
	requestLog, err := snipelog.New(o.LogLevel, logWriter.Requests())
	if err != nil {
		printError(err)
		return exitBadSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	metricsAddress := ""
	if o.MetricsPort != 0 {
		metricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(o.MetricsPort))
	}
	front, err := snipefront.New(load, metricsAddress, log, requestLog)
	if err != nil {
		log.Error("front cannot start", zap.Error(err))
		return exitFailed
	}
	if err := front.Run(ctx); err != nil {
		log.Error("front failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// printError writes an error to the standard error output.
func printError(err error) {
	// A failed write is ignored: there is no other output to report it to.
	_, _ = fmt.Fprintln(os.Stderr, "snipemoorfront:", err)
}

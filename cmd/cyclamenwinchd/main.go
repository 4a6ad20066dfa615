// Command cyclamenwinchd is the router. One process runs on each entry instance.
//
// SIGTERM and SIGINT start a graceful stop, and a second one aborts it. SIGHUP
// reloads the settings.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	flag "github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/daemon"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

type options struct {
	Settings string `long:"settings" description:"JSON file with the settings"`
	Check    bool   `long:"check" description:"check the settings and the files they name, and exit"`

	Edge edgeCommand `command:"edge" description:"run on a prepared platform, whose settings file the environment names"`
}

// Exit codes, as documented in docs/OPERATIONS.md.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2 // invalid command line or settings
	exitStopIncomplete = 3 // the stop ended before all requests had completed
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line, runs the router and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flag.NewParser(&opts, flag.HelpFlag|flag.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.ParseArgs(args); err != nil {
		if flag.WroteHelp(err) {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if parser.Active != nil {
		return runEdge(opts.Edge, stdout, stderr)
	}
	if opts.Settings == "" {
		fmt.Fprintln(stderr, "the required flag `--settings' was not specified")
		return exitUsage
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "%v\nNext: %s\n", err, code.As(err).Code.Info().Next)
		return exitUsage
	}
	if opts.Check {
		fmt.Fprintln(stdout, "The settings are right.")
		return exitOK
	}
	defer klog.Flush()
	if err := serve(opts.Settings, s); err != nil {
		failure := code.As(err)
		klog.ErrorS(err, "daemon: Failed", "code", int(failure.Code))
		if failure.Code == code.WorkCut {
			return exitStopIncomplete
		}
		return exitFailed
	}
	return exitOK
}

// serve runs the router until a signal stops it.
func serve(file string, s settings.Settings) error {
	if err := daemon.SetVerbosity(s.Verbosity); err != nil {
		return err
	}
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go handleSignals(signals, d, file, stop)
	return d.Run(ctx)
}

// handleSignals reloads the settings on SIGHUP. The first other signal starts a
// graceful stop, and the second aborts it.
func handleSignals(signals <-chan os.Signal, d *daemon.Daemon, file string, stop func()) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			reloadSettings(d, file)
		case stopping:
			klog.InfoS("daemon: Second signal received, aborting the graceful stop")
			d.Abort()
		default:
			stopping = true
			stop()
		}
	}
}

// reloadSettings loads and applies the settings file again. If that fails, the
// error is logged and the settings in use stay in effect.
func reloadSettings(d *daemon.Daemon, file string) {
	s, err := settings.Load(file)
	if err == nil {
		err = d.Reload(s)
	}
	if err != nil {
		klog.ErrorS(err, "daemon: Settings not reloaded", "code", int(code.As(err).Code))
	}
}

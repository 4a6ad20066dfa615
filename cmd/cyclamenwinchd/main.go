// Command cyclamenwinchd is the router: one on each entry instance.
//
// SIGTERM and SIGINT start a graceful stop, a second one cuts it; SIGHUP
// reads the settings again.
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

// The exit codes, which docs/OPERATIONS.md lists.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2 // the command line or the settings are wrong
	exitStopIncomplete = 3 // the stop ended before the requests did
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	var opts options
	parser := flag.NewParser(&opts, flag.HelpFlag|flag.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.ParseArgs(args); err != nil {
		if flag.WroteHelp(err) {
			fmt.Fprintln(out, err)
			return exitOK
		}
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if parser.Active != nil {
		return runEdge(opts.Edge, out, errs)
	}
	if opts.Settings == "" {
		fmt.Fprintln(errs, "the required flag `--settings' was not specified")
		return exitUsage
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintf(errs, "%v\nNext: %s\n", err, code.As(err).Code.Info().Next)
		return exitUsage
	}
	if opts.Check {
		fmt.Fprintln(out, "The settings are right.")
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

// handleSignals acts on signals: the first that asks for a stop starts a graceful
// one, the second cuts it.
func handleSignals(signals <-chan os.Signal, d *daemon.Daemon, file string, stop func()) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			reloadSettings(d, file)
		case stopping:
			klog.InfoS("daemon: Second signal, the stop is cut")
			d.Abort()
		default:
			stopping = true
			stop()
		}
	}
}

func reloadSettings(d *daemon.Daemon, file string) {
	s, err := settings.Load(file)
	if err == nil {
		err = d.Reload(s)
	}
	if err != nil {
		klog.ErrorS(err, "daemon: Settings not reloaded", "code", int(code.As(err).Code))
	}
}

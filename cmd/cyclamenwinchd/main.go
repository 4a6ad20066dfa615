// Command cyclamenwinchd is the router: one on each entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	flag "github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	goflag "flag"

	"github.com/cyclamenwinch/cyclamenwinch/internal/daemon"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

type options struct {
	Settings string `long:"settings" required:"true" description:"JSON file with the settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var opts options
	if _, err := flag.Parse(&opts); err != nil {
		os.Exit(exitUsage)
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if opts.Check {
		fmt.Println("The settings are right.")
		return
	}
	if err := run(s); err != nil {
		klog.ErrorS(err, "daemon: Failed")
		klog.Flush()
		os.Exit(exitFailed)
	}
	klog.Flush()
}

func run(s settings.Settings) error {
	logFlags := goflag.NewFlagSet("klog", goflag.ContinueOnError)
	klog.InitFlags(logFlags)
	if err := logFlags.Set("v", strconv.Itoa(s.Verbosity)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

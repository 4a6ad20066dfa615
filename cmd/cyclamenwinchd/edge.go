package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/edge"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/platform"
)

// edgeCommand runs the router on a prepared platform.
type edgeCommand struct {
	Metrics string `long:"metrics" description:"address of the metrics, as IP:port or :port"`
	Check   bool   `long:"check" description:"check the settings file and exit"`
}

// logFlushTimeout limits the time to write the last log lines.
const logFlushTimeout = 200 * time.Millisecond

// runEdge runs the router on a prepared platform and returns the exit code.
func runEdge(opts edgeCommand, stdout, stderr io.Writer) int {
	// Signals are handled before anything else, so that one that arrives during
	// startup does not kill the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(stderr, "The environment variable %s must name the settings file.\n", platform.SettingsVariable)
		return exitUsage
	}
	s, storeAddress, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(stderr, "%v\nNext: %s\n", err, code.As(err).Code.Info().Next)
		return exitUsage
	}
	if opts.Check {
		fmt.Fprintln(stdout, "The settings are right.")
		return exitOK
	}
	s.MetricsAddress = opts.Metrics
	log := oplog.New(stdout, slog.String("router", s.Name))
	defer func() {
		limit, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		log.Close(limit)
	}()
	if err := serveEdge(ctx, s, storeAddress, path, reload, log); err != nil {
		log.Log(oplog.StateChange, "router.failed", slog.String("error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// serveEdge runs the router until the context ends and it has stopped.
func serveEdge(ctx context.Context, s edge.Settings, storeAddress, path string, reload <-chan os.Signal, log *oplog.Logger) error {
	store := platform.NewStore(storeAddress)
	e, err := edge.New(s, edge.Platform{
		Source: store, Registry: store, Quarantine: store, Rollouts: store, Decoder: platform.RecordDecoder{}, Protocol: platform.Headers{}, ReadHealth: platform.ReadHealth,
		CacheLists:       platform.CacheLists{},
		DirectoryHandler: platform.DirectoryHandler, ReadyHandler: platform.ReadyHandler,
	}, log)
	if err != nil {
		return err
	}
	go e.WatchSettings(ctx, path, reload, func(path string) (edge.Settings, error) {
		s, _, err := platform.LoadSettings(path)
		return s, err
	})
	return e.Run(ctx)
}

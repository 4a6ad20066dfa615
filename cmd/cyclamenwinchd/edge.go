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

// logFlushTimeout bounds the writing of the last log lines.
const logFlushTimeout = 200 * time.Millisecond

func runEdge(opts edgeCommand, out, errs io.Writer) int {
	// Before anything else: a signal that comes while the router starts must
	// not end it.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(errs, "The environment variable %s must name the settings file.\n", platform.SettingsVariable)
		return exitUsage
	}
	s, store, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(errs, "%v\nNext: %s\n", err, code.As(err).Code.Info().Next)
		return exitUsage
	}
	if opts.Check {
		fmt.Fprintln(out, "The settings are right.")
		return exitOK
	}
	s.MetricsAddress = opts.Metrics
	log := oplog.New(out, slog.String("router", s.Name))
	defer func() {
		limit, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		log.Close(limit)
	}()
	if err := serveEdge(ctx, s, store, path, reload, log); err != nil {
		log.Log(oplog.StateChange, "router.failed", slog.String("error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// serveEdge runs the router until the context ends.
func serveEdge(ctx context.Context, s edge.Settings, store, path string, reload <-chan os.Signal, log *oplog.Logger) error {
	client := platform.NewStore(store)
	e, err := edge.New(s, edge.Platform{
		Source: client, Registry: client, Decoder: platform.RecordDecoder{}, Protocol: platform.Headers{},
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

// Command cyclamenwinch-standin runs a stand-in for one service that a fleet
// depends on: the platform's object API, a model runner or an order runner. It
// is for tests and demos only.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	flag "github.com/jessevdk/go-flags"

	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

type options struct {
	Listen  string `long:"listen" required:"true" description:"IP number and port"`
	Role    string `long:"role" required:"true" choice:"platform" choice:"model" choice:"order"`
	Name    string `long:"name" default:"standin"`
	Seed    uint64 `long:"seed" default:"1" description:"drives the faults"`
	TokenMs int    `long:"token-ms" default:"5" description:"time between tokens of a warm model runner"`
	ColdFor int    `long:"cold-for" default:"4" description:"answers until a model runner is warm"`
	Cold    int    `long:"cold-slots" default:"1" description:"concurrent requests that a cold model runner bears"`
	StartMs int    `long:"start-ms" default:"300" description:"time that a model runner takes to start after a crash"`
	OrderMs int    `long:"order-ms" default:"20" description:"time that an order takes"`
	Fence   bool   `long:"fence" description:"the order runner refuses old fencing numbers"`
}

func main() {
	var opts options
	if _, err := flag.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: opts.Listen, Handler: handler(opts), ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func handler(opts options) http.Handler {
	switch opts.Role {
	case "platform":
		return objects.NewServer(opts.Seed).Handler()
	case "model":
		return runner.NewServer(opts.Name, runner.Options{
			TokenInterval:   time.Duration(opts.TokenMs) * time.Millisecond,
			WarmupResponses: opts.ColdFor,
			ColdSlots:       opts.Cold,
			StartDuration:   time.Duration(opts.StartMs) * time.Millisecond,
		}).Handler()
	}
	return orders.NewServer(opts.Name, orders.Options{
		Delay:      time.Duration(opts.OrderMs) * time.Millisecond,
		CheckFence: opts.Fence,
	}).Handler()
}

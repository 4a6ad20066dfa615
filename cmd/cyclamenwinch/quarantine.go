package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

type quarantineCommand struct {
	app *app
	opsOptions
	Lift string `long:"lift" description:"fingerprint of the request to let through again"`
}

// Execute lists the requests that crashed endpoints, or lifts the quarantine of
// one of them.
func (c *quarantineCommand) Execute([]string) error {
	c.app.json = c.JSON
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c.Lift != "" {
		return c.lift(ctx, client)
	}
	quarantine, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, quarantine, func() {
		t := newTable(c.app.out, "FINGERPRINT", "STATE", "CRASHED", "SECONDS AGO")
		for _, s := range quarantine.Suspects {
			state := "suspect"
			if s.Quarantined {
				state = "refused"
			}
			t.row(s.Fingerprint, state, strings.Join(s.Endpoints, " "), strconv.Itoa(s.AgeSeconds))
		}
		t.flush()
		showUnreached(c.app.out, "what it remembers is missing", quarantine.Unreached)
	})
}

func (c *quarantineCommand) lift(ctx context.Context, client *opsclient.Client) error {
	lifted, err := client.Lift(ctx, c.Lift)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, lifted, func() {
		fmt.Fprintf(c.app.out, "Lifted at %d routers.\n", len(lifted.Routers))
		showUnreached(c.app.out, "it may still refuse the request", lifted.Unreached)
	})
}

// showUnreached names the routers that did not respond and the consequence for
// the output.
func showUnreached(out io.Writer, consequence string, unreached []opsclient.Unreached) {
	for _, u := range unreached {
		fmt.Fprintf(out, "Not reached, so %s: %s (%s)\n", consequence, u.Router, u.Error)
	}
}

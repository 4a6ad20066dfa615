package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

// pollInterval is the time between two queries of the fleet's state.
const pollInterval = 200 * time.Millisecond

// WaitOutput is the JSON output of wait.
type WaitOutput struct {
	Generation int64 `json:"generation"`
	Routers    int   `json:"routers"`
}

type waitCommand struct {
	app *app
	opsOptions
	Generation int64 `long:"generation" required:"true" description:"generation that submit printed"`
	Routers    int   `long:"routers" default:"1" description:"least number of routers that must be members"`
	Seconds    int   `long:"seconds" default:"30" description:"longest wait"`
}

// Execute waits until all routers report the generation or a higher one.
func (c *waitCommand) Execute([]string) error {
	c.app.json = c.JSON
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
	defer cancel()
	fleet, err := waitInForce(ctx, client, c.Generation, c.Routers)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, WaitOutput{Generation: c.Generation, Routers: len(fleet.Routers)}, func() {
		fmt.Fprintf(c.app.out, "Generation %d is in force at %d routers.\n", c.Generation, len(fleet.Routers))
	})
}

// waitInForce polls the fleet until the generation is in force at all routers
// and there are at least as many members as routers, or until ctx ends. It
// queries the fleet at least once, even if ctx has already ended.
func waitInForce(ctx context.Context, client *opsclient.Client, generation int64, routers int) (opsclient.Fleet, error) {
	lag := "no router has responded"
	for {
		fleet, err := client.Fleet(context.WithoutCancel(ctx))
		switch {
		case err == nil && len(fleet.Routers) >= routers && fleet.InForce(generation):
			return fleet, nil
		case err == nil:
			lag = describeLag(fleet, generation, routers)
		case code.As(err).Code == code.NotAuthorized:
			return fleet, err
		}
		select {
		case <-ctx.Done():
			return fleet, code.Fail(code.NotInForce, fmt.Sprintf("generation %d: %s", generation, lag))
		case <-time.After(pollInterval):
		}
	}
}

// describeLag returns how many routers are members and which of them still run
// a lower generation.
func describeLag(f opsclient.Fleet, generation int64, routers int) string {
	text := fmt.Sprintf("%d of %d routers are members; at a lower generation:", len(f.Routers), max(routers, len(f.Routers)))
	for _, r := range f.Routers {
		if have := f.Generation(r); have < generation {
			text += fmt.Sprintf(" %s (%d)", r.Name, have)
		}
	}
	return text
}

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

// pollEvery is the time between two looks at the fleet.
const pollEvery = 200 * time.Millisecond

// InForce is the JSON output of wait.
type InForce struct {
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

// Execute waits until all routers report the generation.
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
	return c.app.print(c.JSON, InForce{Generation: c.Generation, Routers: len(fleet.Routers)}, func() {
		fmt.Fprintf(c.app.out, "Generation %d is in force at %d routers.\n", c.Generation, len(fleet.Routers))
	})
}

// waitInForce looks until the generation is in force everywhere or the
// context ends; it looks once at least.
func waitInForce(ctx context.Context, client *opsclient.Client, generation int64, routers int) (opsclient.Fleet, error) {
	lag := "no router has answered"
	for {
		fleet, err := client.Fleet(context.WithoutCancel(ctx))
		switch {
		case err == nil && len(fleet.Routers) >= routers && fleet.InForce(generation):
			return fleet, nil
		case err == nil:
			lag = lagging(fleet, generation, routers)
		case code.As(err).Code == code.NotAuthorized:
			return fleet, err
		}
		select {
		case <-ctx.Done():
			return fleet, code.Fail(code.NotInForce, fmt.Sprintf("generation %d: %s", generation, lag))
		case <-time.After(pollEvery):
		}
	}
}

// lagging names the routers that still run a lower generation.
func lagging(f opsclient.Fleet, generation int64, routers int) string {
	text := fmt.Sprintf("%d of %d routers are members; lower at", len(f.Routers), max(routers, len(f.Routers)))
	for _, r := range f.Routers {
		if have := f.Generation(r); have < generation {
			text += fmt.Sprintf(" %s (%d)", r.Name, have)
		}
	}
	return text
}

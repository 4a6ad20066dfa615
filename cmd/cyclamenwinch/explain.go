package main

import (
	"context"
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/explain"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

// explainLimit is the number of events asked of each router.
const explainLimit = 2_000

// Explained is the JSON output of explain.
type Explained struct {
	explain.Explanation
	Unreached []opsclient.Unreached `json:"unreached"`
}

type explainCommand struct {
	app *app
	opsOptions
	Args struct {
		Request string `positional-arg-name:"request-id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute tells the story of a request.
func (c *explainCommand) Execute([]string) error {
	c.app.json = c.JSON
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	own, err := client.Timeline(ctx, eventlog.Filter{Request: c.Args.Request, Limit: explainLimit})
	if err != nil {
		return err
	}
	if len(own.Events) == 0 {
		showGaps(c.app.out, own)
		return code.Fail(code.NoEvents, "request "+c.Args.Request)
	}
	around, err := client.Timeline(ctx, explain.Surroundings(own.Events, explainLimit))
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	story := explain.Request(own.Events, around.Events, explain.FleetOf(status))
	return c.app.print(c.JSON, Explained{Explanation: story, Unreached: own.Unreached}, func() { c.show(story, own) })
}

func (c *explainCommand) show(x explain.Explanation, line opsclient.Timeline) {
	fmt.Fprintf(c.app.out, "Request %s of client account %s\n%s\n\nWhat happened:\n", x.Request, x.Account, x.Outcome)
	for _, s := range x.Steps {
		fmt.Fprintln(c.app.out, "  "+s)
	}
	if len(x.Surroundings) > 0 {
		fmt.Fprintf(c.app.out, "\nIn the fleet, from %s before:\n", explain.Before)
	}
	for _, s := range x.Surroundings {
		fmt.Fprintln(c.app.out, "  "+s)
	}
	showGaps(c.app.out, line)
}

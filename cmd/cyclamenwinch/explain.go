package main

import (
	"context"
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/explain"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

// explainLimit is the maximum number of events requested from each router.
const explainLimit = 2_000

// ExplainOutput is the JSON output of explain.
type ExplainOutput struct {
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

// Execute explains what happened to a request.
func (c *explainCommand) Execute([]string) error {
	c.app.json = c.JSON
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	requestTimeline, err := client.Timeline(ctx, eventlog.Filter{Request: c.Args.Request, Limit: explainLimit})
	if err != nil {
		return err
	}
	if len(requestTimeline.Events) == 0 {
		showMissing(c.app.out, requestTimeline)
		return code.Fail(code.NoEvents, "request "+c.Args.Request)
	}
	fleetTimeline, err := client.Timeline(ctx, explain.FleetEventFilter(requestTimeline.Events, explainLimit))
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	explanation := explain.Explain(requestTimeline.Events, fleetTimeline.Events, explain.NewFleet(status))
	return c.app.print(c.JSON, ExplainOutput{Explanation: explanation, Unreached: requestTimeline.Unreached}, func() { c.show(explanation, requestTimeline) })
}

func (c *explainCommand) show(x explain.Explanation, timeline opsclient.Timeline) {
	fmt.Fprintf(c.app.out, "Request %s of client account %s\n%s\n\nWhat happened:\n", x.Request, x.Account, x.Outcome)
	for _, s := range x.Steps {
		fmt.Fprintln(c.app.out, "  "+s)
	}
	if len(x.FleetEvents) > 0 {
		fmt.Fprintf(c.app.out, "\nIn the fleet, from %s before:\n", explain.Lookback)
	}
	for _, s := range x.FleetEvents {
		fmt.Fprintln(c.app.out, "  "+s)
	}
	showMissing(c.app.out, timeline)
}

package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

type statusCommand struct {
	app *app
	opsOptions
}

// Execute prints the state of the routers, zones, client accounts and endpoints.
func (c *statusCommand) Execute([]string) error {
	c.app.json = c.JSON
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	fleet, err := client.Fleet(ctx)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, fleet, func() { c.show(fleet) })
}

func (c *statusCommand) show(f opsclient.Fleet) {
	c.showRouters(f)
	c.showZones(f.Responder)
	c.showService(f)
	c.showEndpoints(f)
	for _, r := range f.Routers {
		if r.Status == nil {
			fmt.Fprintf(c.app.out, "\nNot reached: %s (%s)\n", r.Name, r.Error)
		}
	}
}

func (c *statusCommand) showRouters(f opsclient.Fleet) {
	t := newTable(c.app.out, "ROUTER", "ZONE", "GENERATION", "OPEN", "STATE")
	for _, r := range f.Routers {
		open, state := "?", "not reached"
		if r.Status != nil {
			open, state = strconv.Itoa(r.Status.OpenRequests), "serving"
			if r.Status.Router.Leaving {
				state = "leaving"
			}
		}
		t.row(r.Name, r.Zone, strconv.FormatInt(f.Generation(r), 10), open, state)
	}
	t.flush()
}

func (c *statusCommand) showZones(s opsapi.Status) {
	fmt.Fprintln(c.app.out)
	t := newTable(c.app.out, "AVAILABILITY ZONE", "REGION", "STATE")
	for _, z := range s.Zones {
		t.row(z.Zone, z.Region, string(z.State))
	}
	t.flush()
}

func (c *statusCommand) showService(f opsclient.Fleet) {
	waiting := map[string]int{}
	for _, p := range f.Pools() {
		for _, a := range p.Accounts {
			waiting[a.Account] += a.Waiting
		}
	}
	fmt.Fprintln(c.app.out)
	t := newTable(c.app.out, "CLIENT ACCOUNT", "SHARE", "COST", "COST/SHARE", "WAITING")
	for _, a := range f.Responder.Service {
		t.row(a.Account,
			strconv.FormatFloat(a.Share, 'g', -1, 64),
			fmt.Sprintf("%.0f", float64(a.Cost)),
			fmt.Sprintf("%.1f", float64(a.Cost)/a.Share),
			strconv.Itoa(waiting[a.Account]))
	}
	t.flush()
}

// showEndpoints prints the declared endpoints with the state and load that the
// owners of their pools report. An endpoint that no owner reports gets "?".
func (c *statusCommand) showEndpoints(f opsclient.Fleet) {
	loadByEndpoint := map[string]opsapi.EndpointLoad{}
	for _, p := range f.Pools() {
		for _, e := range p.Endpoints {
			loadByEndpoint[e.Endpoint] = e
		}
	}
	fmt.Fprintln(c.app.out)
	t := newTable(c.app.out, "ENDPOINT", "POOL", "ZONE", "DECLARED", "STATE", "BUSY/LIMIT")
	for _, e := range f.Responder.Endpoints {
		declared := manifest.In
		if !e.AcceptsWork {
			declared = manifest.Out
		}
		state, slots := "?", "?"
		if load, ok := loadByEndpoint[e.Endpoint]; ok {
			state, slots = string(load.State), fmt.Sprintf("%d/%d", load.Busy, load.Limit)
		}
		t.row(e.Endpoint, e.Pool, e.Zone, string(declared), state, slots)
	}
	t.flush()
}

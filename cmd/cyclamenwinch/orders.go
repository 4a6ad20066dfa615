package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

type ordersCommand struct {
	app *app
	opsOptions
	Account string `long:"account" description:"client account of the order"`
	Key     string `long:"key" description:"idempotency key of the order"`
	Unknown bool   `long:"unknown" description:"list the orders of unknown outcome"`
	Settle  string `long:"settle" choice:"done" choice:"not_run" description:"settle an order of unknown outcome as you found it at the order runner"`
}

// Execute looks up, lists or settles orders.
func (c *ordersCommand) Execute([]string) error {
	c.app.json = c.JSON
	hasOrder := c.Account != "" && c.Key != ""
	switch {
	case c.Unknown && c.Account == "" && c.Key == "" && c.Settle == "":
		return c.list()
	case hasOrder && !c.Unknown && c.Settle != "":
		return c.settle()
	case hasOrder && !c.Unknown:
		return c.lookUp()
	}
	return code.Refuse(code.BadRequest, "specify either --unknown, or --account and --key with an optional --settle")
}

func (c *ordersCommand) list() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	records, err := client.UnknownOrders(ctx)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, records, func() { c.show(records) })
}

func (c *ordersCommand) lookUp() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	record, err := client.Order(ctx, c.Account, c.Key)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, record, func() {
		c.show([]order.Record{record})
		if record.Response != nil {
			fmt.Fprintf(c.app.out, "\nRecorded answer: %d %s\n%s\n", record.Response.Status, record.Response.ContentType, record.Response.Body)
		}
	})
}

func (c *ordersCommand) settle() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	record, err := client.Settle(ctx, opsapi.SettleRequest{Account: c.Account, Key: c.Key, Outcome: order.State(c.Settle)})
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, record, func() {
		c.show([]order.Record{record})
		if string(record.State) != c.Settle {
			fmt.Fprintln(c.app.out, "\nThe order runner knew the outcome; its word counts.")
		}
	})
}

func (c *ordersCommand) show(records []order.Record) {
	t := newTable(c.app.out, "CLIENT ACCOUNT", "KEY", "STATE", "ENDPOINT", "ROUTER", "CLAIMED (UTC)")
	for _, r := range records {
		t.row(r.Account, r.Key, string(r.State), r.Endpoint, r.Router, r.AcceptedAt.UTC().Format(time.DateTime))
	}
	t.flush()
}

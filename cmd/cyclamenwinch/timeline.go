package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
)

type timelineCommand struct {
	app *app
	opsOptions
	Request  string        `long:"request" description:"only events of this request"`
	Account  string        `long:"account" description:"only events of this client account"`
	Endpoint string        `long:"endpoint" description:"only events of this endpoint"`
	Kind     string        `long:"kind" description:"only events of this kind"`
	From     string        `long:"from" description:"first instant, as 2006-01-02T15:04:05Z"`
	To       string        `long:"to" description:"end of the span, as 2006-01-02T15:04:05Z"`
	Last     time.Duration `long:"last" description:"only events of this span until now, such as 5m"`
	Limit    int           `long:"limit" default:"2000" description:"newest events of each router"`
}

// Execute prints the events of all routers in one order.
func (c *timelineCommand) Execute([]string) error {
	c.app.json = c.JSON
	filter, err := c.filter(time.Now())
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	line, err := client.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, line, func() { showTimeline(c.app.out, line) })
}

func (c *timelineCommand) filter(now time.Time) (eventlog.Filter, error) {
	f := eventlog.Filter{
		Request:  c.Request,
		Account:  c.Account,
		Endpoint: c.Endpoint,
		Kind:     eventlog.Kind(c.Kind),
		Limit:    c.Limit,
	}
	var err error
	if f.From, err = instant("--from", c.From); err != nil {
		return f, err
	}
	if f.To, err = instant("--to", c.To); err != nil {
		return f, err
	}
	if c.Last > 0 {
		f.From = now.Add(-c.Last)
	}
	return f, nil
}

func instant(option, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, code.Refuse(code.BadRequest, option+" is "+text+": want a time such as 2006-01-02T15:04:05Z")
	}
	return t, nil
}

func showTimeline(out io.Writer, line opsclient.Timeline) {
	t := newTable(out, "TIME (UTC)", "ROUTER", "EVENT", "REQUEST", "CLIENT ACCOUNT", "ENDPOINT", "CODE", "DETAIL")
	for _, e := range line.Events {
		number := ""
		if e.Code != 0 {
			number = strconv.Itoa(e.Code)
		}
		t.row(eventlog.Time(e.Clock).UTC().Format("15:04:05.000"), e.Router, string(e.Kind), e.Request, e.Account, e.Endpoint, number, e.Detail)
	}
	t.flush()
	showGaps(out, line)
}

// showGaps says what the time line may lack.
func showGaps(out io.Writer, line opsclient.Timeline) {
	showUnreached(out, "its events are missing", line.Unreached)
	for _, router := range line.Truncated {
		fmt.Fprintf(out, "Older events of %s are left out; raise --limit or narrow the span.\n", router)
	}
}

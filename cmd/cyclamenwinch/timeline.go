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

// Execute prints the merged events of all routers.
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
	timeline, err := client.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, timeline, func() { showTimeline(c.app.out, timeline) })
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
	if f.From, err = parseTime("--from", c.From); err != nil {
		return f, err
	}
	if f.To, err = parseTime("--to", c.To); err != nil {
		return f, err
	}
	if c.Last > 0 {
		f.From = now.Add(-c.Last)
	}
	return f, nil
}

func parseTime(option, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, code.Refuse(code.BadRequest, option+" is "+text+": want an RFC 3339 time such as 2006-01-02T15:04:05Z")
	}
	return t, nil
}

func showTimeline(out io.Writer, timeline opsclient.Timeline) {
	t := newTable(out, "TIME (UTC)", "ROUTER", "EVENT", "REQUEST", "CLIENT ACCOUNT", "ENDPOINT", "CODE", "DETAIL")
	for _, e := range timeline.Events {
		resultCode := ""
		if e.Code != 0 {
			resultCode = strconv.Itoa(e.Code)
		}
		t.row(eventlog.Time(e.Clock).UTC().Format("15:04:05.000"), e.Router, string(e.Kind), e.Request, e.Account, e.Endpoint, resultCode, e.Detail)
	}
	t.flush()
	showMissing(out, timeline)
}

// showMissing names the routers whose events are missing from the timeline,
// entirely or in part.
func showMissing(out io.Writer, timeline opsclient.Timeline) {
	showUnreached(out, "its events are missing", timeline.Unreached)
	for _, router := range timeline.Truncated {
		fmt.Fprintf(out, "Older events of %s are left out; raise --limit or narrow the span.\n", router)
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/load"
)

const (
	callTimeout = 60 * time.Second
	shownChars  = 72
)

type callCommand struct {
	Router string `long:"router" required:"true" description:"address of any router"`
	Zone   string `long:"zone" description:"availability zone of the caller"`
	Args   struct {
		File string `positional-arg-name:"requests.json" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sends the requests and fails if any answer is not whole.
func (c *callCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "read requests")
	}
	var requests []load.Request
	if err := json.Unmarshal(data, &requests); err != nil {
		return errors.Wrap(err, "read requests")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	caller := load.NewCaller(c.Router, c.Zone)
	for _, r := range requests {
		if err := send(ctx, caller, r, false); err != nil {
			return err
		}
		if r.Key == "" {
			continue
		}
		if err := send(ctx, caller, r, true); err != nil {
			return err
		}
	}
	return nil
}

func send(ctx context.Context, caller *load.Caller, r load.Request, resend bool) error {
	router, err := caller.Address(ctx)
	if err != nil {
		return err
	}
	reply, err := caller.Send(ctx, router, r)
	if err != nil {
		return errors.Wrap(err, r.Name)
	}
	if !reply.Complete || reply.Replayed != resend {
		return errors.Newf("%s: status %d, whole %v, replayed %v: %s", r.Name, reply.Status, reply.Complete, reply.Replayed, reply.Text)
	}
	text := reply.Text
	if len(text) > shownChars {
		text = text[:shownChars] + "..."
	}
	fmt.Printf("%-22s %d replayed=%-5v first=%-8v %s\n", r.Name, reply.Status, reply.Replayed, reply.FirstToken.Round(time.Millisecond), text)
	return nil
}

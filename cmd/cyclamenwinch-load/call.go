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
	callTimeout  = 60 * time.Second
	maxTextBytes = 72 // bytes of a response that are printed
)

type callCommand struct {
	Router string `long:"router" required:"true" description:"address of any router"`
	Zone   string `long:"zone" description:"availability zone of the caller"`
	Args   struct {
		File string `positional-arg-name:"requests.json" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sends the requests, those with an idempotency key twice. It fails if a
// response is incomplete, if the first response to a request is a replay or if
// the second one isn't.
func (c *callCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "read request file")
	}
	var requests []load.Request
	if err := json.Unmarshal(data, &requests); err != nil {
		return errors.Wrap(err, "parse request file")
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
		return errors.Newf("%s: unexpected response: status %d, complete %v, replayed %v: %s", r.Name, reply.Status, reply.Complete, reply.Replayed, reply.Text)
	}
	text := reply.Text
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes] + "..."
	}
	fmt.Printf("%-22s %d replayed=%-5v first=%-8v %s\n", r.Name, reply.Status, reply.Replayed, reply.FirstToken.Round(time.Millisecond), text)
	return nil
}

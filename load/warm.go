package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	warmUpResponses = 8 // more than a stand-in runner needs to become warm
	warmUpTimeout   = 30 * time.Second
)

// WarmUp sends short requests, one at a time, to each model runner until it is
// warm. Runs against a baseline need this because a baseline doesn't limit the
// requests to cold runners.
func WarmUp(ctx context.Context, model string, runners []Runner) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	c := NewCallerWithSeeds(nil, "")
	var wg sync.WaitGroup
	failures := make([]error, len(runners))
	for i, r := range runners {
		wg.Go(func() { failures[i] = warmUpRunner(ctx, c, model, r) })
	}
	wg.Wait()
	return errors.Join(failures...)
}

func warmUpRunner(ctx context.Context, c *Caller, model string, r Runner) error {
	request := Request{Path: chatPath, Body: chatBody(model, Arrival{Prompt: "warm up", Tokens: 1})}
	for n := 0; n < warmUpResponses; {
		reply, err := c.Send(ctx, r.URL, request)
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "warm up %s", r.Name)
		}
		if err == nil && reply.Complete {
			n++
		}
	}
	return nil
}

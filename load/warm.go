package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	warmAnswers = 8 // more than a stand-in needs to turn warm
	warmTimeout = 30 * time.Second
)

// Warm sends each model runner short requests one after the other until it
// is warm. Baselines know nothing of cold runners, so they start with warm
// ones.
func Warm(ctx context.Context, model string, runners []Runner) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	c := NewCallerWithSeeds(nil, "")
	var wg sync.WaitGroup
	failures := make([]error, len(runners))
	for i, r := range runners {
		wg.Go(func() { failures[i] = warmOne(ctx, c, model, r) })
	}
	wg.Wait()
	return errors.Join(failures...)
}

func warmOne(ctx context.Context, c *Caller, model string, r Runner) error {
	request := Request{Path: chatPath, Body: chatBody(model, Arrival{Prompt: "warm up", Tokens: 1})}
	for n := 0; n < warmAnswers; {
		reply, err := c.Send(ctx, r.URL, request)
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "warm %s", r.Name)
		}
		if err == nil && reply.Complete {
			n++
		}
	}
	return nil
}

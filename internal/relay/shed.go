package relay

import (
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

const (
	// shedAll is how many times MaxLag lead to the refusal of every request;
	// before that only those go that take much of this router's time for
	// little work of the endpoints.
	shedAll = 2.0
	// requestEvents is the time that a request takes besides the events of its
	// stream, as a number of events.
	requestEvents = 10
	// usualGain is the weight of one more request in what is usual.
	usualGain = 0.02
)

// usual is the work for endpoints that an event of this router's usual
// requests stands for, in tokens. It is safe for concurrent use.
type usual struct {
	mu     sync.Mutex
	tokens float64
}

// add takes in one more request and reports whether its work is below usual.
func (u *usual) add(tokens float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	below := tokens < u.tokens
	u.tokens += usualGain * (tokens - u.tokens)
	return below
}

// shed refuses a request while this process is behind.
func (x *exchange) shed() *code.Error {
	lag := x.h.lag()
	costly := x.meta.Prompt > 0 && x.h.usual.add(x.work())
	if lag <= x.h.opts.MaxLag || !costly && float64(lag) <= shedAll*float64(x.h.opts.MaxLag) {
		return nil
	}
	failure := notRun(code.QueueFull, shedRetry)
	failure.Detail = "this router is behind by " + lag.Round(time.Millisecond).String()
	return failure
}

// work is what the request is for an endpoint, in tokens, for each event that
// this router passes on.
func (x *exchange) work() float64 {
	output := x.output()
	events := requestEvents + float64(output)/float64(max(x.eventTokens(), 1))
	return float64(x.meta.Prompt+2*output) / events
}

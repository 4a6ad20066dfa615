package stand

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request is what a client sends.
type Request struct {
	Method          string // empty: POST
	Path, Key, Body string
	Deadline        time.Duration
	Tokens, Output  int // of the prompt, and at most of the answer; 0: not a model request
	Parts           string
	Version         string // of the weights that it needs; empty: any
}

// Answer is what the client got.
type Answer struct {
	Attempt string
	Sent    time.Time
	Took    time.Duration
	Status  int
	Seal    string
	Body    string
	Err     error // no answer, or one that is incomplete
}

// Outcome returns how the request ended.
func (a Answer) Outcome() string {
	switch {
	case a.Err != nil && a.Status == http.StatusOK:
		return "cut in the answer"
	case a.Err != nil:
		return "no answer"
	}
	return fmt.Sprint(a.Status)
}

func body(s string) io.Reader {
	if s == "" {
		return http.NoBody
	}
	return bytes.NewReader([]byte(s))
}

var attempts atomic.Int64

// Client sends requests on connections that it keeps. One that keeps to an address has
// a client of its own.
type Client struct{ transport http.Transport }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{transport: http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
}

// Send sends a request to the address of a router and reads the answer to its end.
func (c *Client) Send(address string, q Request) Answer {
	a := Answer{Attempt: fmt.Sprintf("a%015x", attempts.Add(1)), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cmp.Or(q.Method, http.MethodPost), "http://"+address+q.Path, body(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.GetBody = nil // never repeated by the transport
	req.Host = "h.example"
	req.Header.Set(wire.AttemptHeader, a.Attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+q.Key)
	if q.Tokens > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set(wire.TokensHeader, fmt.Sprintf("%d,%d", q.Tokens, q.Output))
		req.Header.Set(wire.PrefixHeader, q.Parts)
	}
	if q.Version != "" {
		req.Header.Set("X-Expected-Version", q.Version)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.Sent)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Seal = resp.StatusCode, resp.Header.Get(wire.SealHeader)
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Err, a.Took = string(data), err, time.Since(a.Sent)
	return a
}

// Load sends requests at a steady rate to the addresses that the directory names, each
// to one at random, until the context ends. next makes the requests; done gets the
// answers, one call at a time. Load returns once all answers are in.
func Load(ctx context.Context, perSecond float64, routers []*Router, next func(i int) Request, done func(Request, Answer)) {
	client := NewClient()
	var mu sync.Mutex
	var open sync.WaitGroup
	addresses, resolved := Resolve(routers[0]), time.Now()
	ticks := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return
		case <-ticks.C:
		}
		if time.Since(resolved) > time.Second {
			if fresh := Resolve(routers[i%len(routers)]); len(fresh) > 0 {
				addresses = fresh
			}
			resolved = time.Now()
		}
		if len(addresses) == 0 {
			continue
		}
		q, address := next(i), addresses[rand.IntN(len(addresses))]
		open.Add(1)
		go func() {
			defer open.Done()
			a := client.Send(address, q)
			mu.Lock()
			defer mu.Unlock()
			done(q, a)
		}()
	}
}

package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
)

const (
	retryFirst   = 50 * time.Millisecond
	retryLongest = 2 * time.Second
	// wakeSpread is the time over which waiting retries are spread once the
	// platform answers again.
	wakeSpread = 500 * time.Millisecond
)

// pace is the gate that all retries of a client share.
type pace struct {
	mu   sync.Mutex
	gate *retry.Pacer
	open chan struct{} // closed when the platform answers again
}

func newPace() *pace {
	return &pace{gate: retry.NewPacer(retry.Backoff{Initial: retryFirst, Max: retryLongest}), open: make(chan struct{})}
}

// note takes in how a call ended.
func (p *pace) note(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.gate.Failed()
		return
	}
	if p.gate.Succeeded() {
		close(p.open)
		p.open = make(chan struct{})
	}
}

func (p *pace) wait(ctx context.Context) error {
	p.mu.Lock()
	delay := p.gate.Reserve(time.Now(), rand.Float64())
	open := p.open
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	case <-open:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(rand.Float64() * float64(wakeSpread))):
		return nil
	}
}

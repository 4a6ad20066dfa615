package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// recoverySpread is the time over which the pending retries are spread
	// once the platform responds again.
	recoverySpread = 500 * time.Millisecond
)

// retryPacer spaces the retries of all users of a client.
type retryPacer struct {
	mu        sync.Mutex
	pacer     *retry.Pacer
	recovered chan struct{} // closed when the platform responds again
}

func newRetryPacer() *retryPacer {
	return &retryPacer{pacer: retry.NewPacer(retry.Backoff{Initial: initialBackoff, Max: maxBackoff}), recovered: make(chan struct{})}
}

// record records whether a call succeeded. The first success after failures
// wakes all waiters.
func (p *retryPacer) record(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.pacer.Failed()
		return
	}
	if p.pacer.Succeeded() {
		close(p.recovered)
		p.recovered = make(chan struct{})
	}
}

// wait blocks until the caller may retry: after its backoff, or after a random
// part of recoverySpread if the platform responds again before that.
func (p *retryPacer) wait(ctx context.Context) error {
	p.mu.Lock()
	delay := p.pacer.Reserve(time.Now(), rand.Float64())
	recovered := p.recovered
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	case <-recovered:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(rand.Float64() * float64(recoverySpread))):
		return nil
	}
}

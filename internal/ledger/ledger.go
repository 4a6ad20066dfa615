// Package ledger runs requests that must not be repeated. An order is
// claimed in the platform before it is sent to an endpoint, and its outcome
// is recorded there; a resend finds the claim and gets the recorded answer.
//
// The router that owns a shard by rendezvous usually runs its orders, which
// keeps conflicts rare. Safety does not rest on that: any router may run any
// order, and the platform's version check lets one claim win.
package ledger

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

const (
	// placeTimeout bounds the time until an order is claimed and sent.
	placeTimeout = 30 * time.Second
	// dispatchTimeout bounds the time that an endpoint has for an order.
	dispatchTimeout = 30 * time.Second
	// recordTimeout is how long a caller waits for the record of its answer. The
	// record is tried on until it is committed.
	recordTimeout = 2 * time.Second
	// pauseInterval is between two looks at what another router or the endpoint
	// is still busy with.
	pauseInterval = 500 * time.Millisecond
	// fleetWritesPerSecond is the rate of ledger writes of the whole fleet, in writes
	// a second, that the spacing of a shard's writes allows.
	fleetWritesPerSecond = 200
	orderCost            = 1 // cost units of one order
	maxAttempts          = 3 // claims for one request, each but the last proved not run
	retryRatio           = 0.1
	retryBurst           = 20
	pollInterval         = 20 * time.Millisecond
	maxRunning           = 4096 // orders run here at once
)

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
}

// Slot is the right to run one order at one endpoint.
type Slot = pool.Slot

// Options configure a Ledger.
type Options struct {
	Fleet     Fleet
	Platform  Store
	Pools     *pool.Client
	Endpoints *endpoint.Client
	Dialer    *peer.Dialer
	Events    *eventlog.Log
	// StartupGrace is how long a new router believes all claimants alive, since
	// its view of the fleet is not yet complete; 0: the default.
	StartupGrace time.Duration
}

// Order is one request that must not be repeated.
type Order struct {
	Account     string
	Key         string
	Pool        string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
}

// Result is the recorded answer of an order.
type Result struct {
	Response order.Response
	Replayed bool // recorded by an earlier try
}

// Ledger is safe for concurrent use.
type Ledger struct {
	peerpb.UnimplementedOrdersServer
	opts    Options
	ctx     context.Context
	stop    context.CancelFunc
	started time.Time

	mu         sync.Mutex
	shards     map[int]*shard
	running    map[order.ID]chan struct{} // closed when the run here ends
	retries    *retry.Budget
	activeRuns sync.WaitGroup
}

// New returns a ledger that has read nothing yet. Close ends its work.
func New(opts Options) *Ledger {
	if opts.StartupGrace == 0 {
		opts.StartupGrace = defaultStartupGrace
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Ledger{
		opts:    opts,
		ctx:     ctx,
		stop:    stop,
		started: time.Now(),
		shards:  map[int]*shard{},
		running: map[order.ID]chan struct{}{},
		retries: retry.NewBudget(retryRatio, retryBurst),
	}
}

// Close ends all work at once. Wait comes first in a graceful stop.
func (l *Ledger) Close() { l.stop() }

// Place runs an order at its home router, or here if that can't be reached.
// The error is a *code.Error.
func (l *Ledger) Place(ctx context.Context, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	n, err := l.shardOf(o.Account, o.Key)
	if err != nil {
		return Result{}, err
	}
	home, ok := l.home(n)
	if !ok || home.Name == l.opts.Fleet.Self().Name {
		return l.Run(ctx, o)
	}
	result, err := l.forward(ctx, home, o)
	var failure *code.Error
	if err != nil && !errors.As(err, &failure) {
		klog.V(1).InfoS("orders: Home router not reached", "home", home.Name, "err", err)
		return l.runAsFallback(ctx, o)
	}
	return result, err
}

// runAsFallback runs an order that the home router may have received. It never
// says "not run": the home router may run it yet.
func (l *Ledger) runAsFallback(ctx context.Context, o Order) (Result, error) {
	result, err := l.Run(ctx, o)
	var failure *code.Error
	if errors.As(err, &failure) && failure.NotRun {
		doubt := *failure
		doubt.NotRun = false
		return result, &doubt
	}
	return result, err
}

// Wait returns when no order is being run here any more and every outcome is
// recorded.
func (l *Ledger) Wait() {
	l.activeRuns.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.pending() {
		<-ticker.C
	}
}

// Run runs an order at this router. A resend of an order that is being run
// here waits for that run and gets its answer.
func (l *Ledger) Run(ctx context.Context, o Order) (Result, error) {
	l.activeRuns.Add(1)
	defer l.activeRuns.Done()
	n, err := l.shardOf(o.Account, o.Key)
	if err != nil {
		return Result{}, err
	}
	done, err := l.beginRun(ctx, order.NewID(o.Account, o.Key))
	if err != nil {
		return Result{}, err
	}
	r := &run{ledger: l, shard: l.shard(n), order: o, acceptedAt: time.Now().Round(0).UTC(), dispatchable: make(chan struct{})}
	outcome := make(chan runResult, 1)
	l.activeRuns.Add(1)
	go func() {
		defer l.activeRuns.Done()
		defer done()
		result, err := r.runAttempts(ctx)
		outcome <- runResult{result, err}
	}()
	select {
	case e := <-outcome:
		return e.result, e.err
	case <-ctx.Done():
	}
	return l.handleCallerTimeout(r, outcome)
}

// runResult is the end of a run.
type runResult struct {
	result Result
	err    error
}

// handleCallerTimeout answers a caller whose time is over. A run that has not claimed ends
// at once; one that has goes on without its caller.
func (l *Ledger) handleCallerTimeout(r *run, outcome <-chan runResult) (Result, error) {
	select {
	case e := <-outcome:
		return e.result, e.err
	case <-r.dispatchable:
		failure := code.Fail(code.InProgress, "the order goes on")
		failure.RetryAfter = time.Second
		return Result{}, failure
	}
}

// beginRun waits until no run of the same order is under way here. The returned
// function ends the run.
func (l *Ledger) beginRun(ctx context.Context, id order.ID) (func(), error) {
	for {
		l.mu.Lock()
		other, busy := l.running[id]
		if !busy && len(l.running) >= maxRunning {
			l.mu.Unlock()
			return nil, code.Refuse(code.TooManyRequests, "too many orders run at this router")
		}
		if !busy {
			done := make(chan struct{})
			l.running[id] = done
			l.mu.Unlock()
			return func() { l.endRun(id, done) }, nil
		}
		l.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			failure := code.Fail(code.InProgress, "the order is being run")
			failure.RetryAfter = time.Second
			return nil, failure
		}
	}
}

func (l *Ledger) endRun(id order.ID, done chan struct{}) {
	l.mu.Lock()
	delete(l.running, id)
	l.mu.Unlock()
	close(done)
}

func (l *Ledger) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.shards {
		if s.pending() {
			return true
		}
	}
	return false
}

// home returns the router that usually runs a shard's orders.
func (l *Ledger) home(n int) (member.Router, bool) {
	return l.opts.Fleet.View().Owner("orders/" + strconv.Itoa(n))
}

func (l *Ledger) shardOf(account, key string) (int, error) {
	m := l.opts.Fleet.Manifest()
	if m == nil {
		return 0, code.Refuse(code.NoManifest, "")
	}
	return int(xxhash.Sum64String(account+"\x00"+key) % uint64(m.Orders.Shards)), nil
}

func (l *Ledger) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[n]
	if !ok {
		s = newShard(l.ctx, l.opts.Platform, l.config(n))
		l.shards[n] = s
	}
	return s
}

// config spaces the writes of the shards so that all of them together stay
// within fleetWrites.
func (l *Ledger) config(n int) order.Config {
	orders := l.opts.Fleet.Manifest().Orders
	return order.Config{
		Number:        n,
		WriteInterval: time.Duration(orders.Shards) * time.Second / fleetWritesPerSecond,
		Retention:     time.Duration(orders.RetentionHours) * time.Hour,
	}
}

// forward sends an order to its home router. An error that is no *code.Error
// means that the home router could not be reached.
func (l *Ledger) forward(ctx context.Context, home member.Router, o Order) (Result, error) {
	conn, err := l.opts.Dialer.Conn(home)
	if err != nil {
		return Result{}, err
	}
	reply, err := peerpb.NewOrdersClient(conn).PlaceOrder(ctx, &peerpb.OrderRequest{
		Account: o.Account, Key: o.Key, Pool: o.Pool, Path: o.Path,
		ContentType: o.ContentType, Body: o.Body, RequestId: o.RequestID,
	})
	if err != nil {
		return Result{}, err
	}
	if c := code.Code(reply.Code); c != code.OK {
		return Result{}, &code.Error{
			Code:       c,
			NotRun:     reply.NotRun,
			Detail:     reply.Detail,
			RetryAfter: time.Duration(reply.RetryAfterMillis) * time.Millisecond,
		}
	}
	answer := order.Response{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body}
	return Result{Response: answer, Replayed: reply.Replayed}, nil
}

// PlaceOrder serves a peer's forwarded order.
func (l *Ledger) PlaceOrder(ctx context.Context, in *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	result, err := l.Run(ctx, Order{
		Account: in.Account, Key: in.Key, Pool: in.Pool, Path: in.Path,
		ContentType: in.ContentType, Body: in.Body, RequestID: in.RequestId,
	})
	var failure *code.Error
	if errors.As(err, &failure) {
		return &peerpb.OrderReply{
			Code:             int32(failure.Code),
			NotRun:           failure.NotRun,
			Detail:           failure.Detail,
			RetryAfterMillis: failure.RetryAfter.Milliseconds(),
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peerpb.OrderReply{
		Status:      int32(result.Response.Status),
		ContentType: result.Response.ContentType,
		Body:        result.Response.Body,
		Replayed:    result.Replayed,
	}, nil
}

// newToken returns a claim token that no other claim has.
func newToken(self member.Router) string {
	random := make([]byte, 8)
	rand.Read(random)
	return fmt.Sprintf("%s-%d-%s", self.Name, self.Incarnation, hex.EncodeToString(random))
}

func digest(o Order) string {
	sum := sha256.Sum256(append([]byte(o.Path+"\x00"), o.Body...))
	return hex.EncodeToString(sum[:])
}

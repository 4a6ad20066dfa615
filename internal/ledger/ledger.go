// Package ledger runs requests that must be executed at most once, called
// orders. It claims an order in the platform before it sends it to an endpoint,
// and records the outcome there; a resend finds the record and gets the
// recorded response.
//
// The router that owns a shard by rendezvous hashing, its home router, usually
// runs the shard's orders, which keeps write conflicts rare. Safety does not
// depend on that: any router may run any order, and the platform's version
// check lets only one claim win.
//
// To settle an order is to determine and record its outcome afterwards: the
// router that claimed it was lost, or its outcome was recorded as unknown.
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
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

const (
	// placeTimeout limits the time until an order is claimed and sent.
	placeTimeout = 30 * time.Second
	// dispatchTimeout limits the time that an endpoint has to run an order.
	dispatchTimeout = 30 * time.Second
	// recordTimeout is how long a caller waits until its response is recorded.
	// The shard keeps trying to commit the record after that.
	recordTimeout = 2 * time.Second
	// pauseInterval is the time between two checks of an order that another
	// router or the endpoint is still running.
	pauseInterval = 500 * time.Millisecond
	// fleetWritesPerSecond limits the ledger writes of the whole fleet. The
	// minimum interval between two writes of a shard is derived from it.
	fleetWritesPerSecond = 200
	orderCost            = 1                     // admission cost of one order, in cost units
	maxAttempts          = 3                     // claims for one request; a new one only if the previous was proven not run
	retryRatio           = 0.1                   // retries added to the budget by a successful order
	maxRetryTokens       = 20                    // size of the retry budget
	pollInterval         = 20 * time.Millisecond // of waits for the shards
	maxRunning           = 4096                  // limit of concurrent orders at this router
)

// Fleet provides this router's view of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
}

// Slot is permission to run one order at one endpoint.
type Slot = pool.Slot

// Options configures a Ledger.
type Options struct {
	Fleet     Fleet
	Platform  Store
	Pools     *pool.Client
	Endpoints *endpoint.Client
	Dialer    *peer.Dialer
	Events    *eventlog.Log
	// Memory limits what orders that other routers forward hold; nil: no limit. Those of
	// this router's own callers are reserved by the callers' API.
	Memory *memory.Budget
	// StartupGrace is how long after its start a router considers all claimants
	// alive, because its view of the fleet is not complete yet; 0: the default.
	StartupGrace time.Duration
	// RestoreHold is how long new orders wait after the platform was restored from
	// an older copy, until every router has written its lost records again; 0: the
	// default.
	RestoreHold time.Duration
}

// Order is a request that must be executed at most once.
type Order struct {
	Account     string
	Key         string
	Pool        string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
}

// Result is the response to an order.
type Result struct {
	Response order.Response
	Replayed bool // recorded by an earlier attempt
}

// Ledger runs orders and settles their outcomes. It is safe for concurrent use.
type Ledger struct {
	peerpb.UnimplementedOrdersServer
	opts    Options
	ctx     context.Context
	stop    context.CancelFunc
	started time.Time

	mu         sync.Mutex
	shards     map[int]*shard
	running    map[order.ID]chan struct{} // runs at this router; closed when the run ends
	retries    *retry.Budget
	activeRuns sync.WaitGroup
	era        int64     // of the platform, as last observed; 0: none yet
	holdUntil  time.Time // new orders wait until then
}

// New returns a ledger. It reads nothing from the platform yet. Close stops it.
func New(opts Options) *Ledger {
	if opts.StartupGrace == 0 {
		opts.StartupGrace = defaultStartupGrace
	}
	if opts.RestoreHold == 0 {
		opts.RestoreHold = defaultRestoreHold
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Ledger{
		opts:    opts,
		ctx:     ctx,
		stop:    stop,
		started: time.Now(),
		shards:  map[int]*shard{},
		running: map[order.ID]chan struct{}{},
		retries: retry.NewBudget(retryRatio, maxRetryTokens),
	}
}

// Close stops all work immediately. For a graceful stop, call Wait first.
func (l *Ledger) Close() { l.stop() }

// Place runs an order at its home router, or at this router if no reply from the
// home router arrives. The error is a *code.Error.
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
		klog.V(1).InfoS("orders: Home router unreachable, running the order at this router", "home", home.Name, "err", err)
		return l.runAsFallback(ctx, o)
	}
	return result, err
}

// runAsFallback runs an order that the home router may have received too. An
// error it returns never has NotRun set, because the home router may still run
// the order.
func (l *Ledger) runAsFallback(ctx context.Context, o Order) (Result, error) {
	result, err := l.Run(ctx, o)
	var failure *code.Error
	if errors.As(err, &failure) && failure.NotRun {
		uncertain := *failure
		uncertain.NotRun = false
		return result, &uncertain
	}
	return result, err
}

// Wait blocks until this router runs no order and has recorded every outcome.
func (l *Ledger) Wait() {
	l.activeRuns.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.pending() {
		<-ticker.C
	}
}

// Run runs an order at this router. A resend of an order that is already
// running at this router waits for that run and gets its response.
func (l *Ledger) Run(ctx context.Context, o Order) (Result, error) {
	return l.run(ctx, o, func() {})
}

// run is Run. ended is called once the run no longer holds the order, which may be after
// its caller has left.
func (l *Ledger) run(ctx context.Context, o Order, ended func()) (Result, error) {
	l.activeRuns.Add(1)
	defer l.activeRuns.Done()
	n, err := l.shardOf(o.Account, o.Key)
	if err != nil {
		ended()
		return Result{}, err
	}
	done, err := l.beginRun(ctx, order.NewID(o.Account, o.Key))
	if err != nil {
		ended()
		return Result{}, err
	}
	r := &run{ledger: l, shard: l.shard(n), order: o, acceptedAt: time.Now().Round(0).UTC(), dispatchable: make(chan struct{})}
	outcome := make(chan runResult, 1)
	l.activeRuns.Add(1)
	go func() {
		defer l.activeRuns.Done()
		defer done()
		defer ended()
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

// runResult is what a run returns to its caller.
type runResult struct {
	result Result
	err    error
}

// handleCallerTimeout returns the result for a caller whose context is done. A
// run that has not won a claim ends soon and dispatches nothing; any other
// continues without its caller.
func (l *Ledger) handleCallerTimeout(r *run, outcome <-chan runResult) (Result, error) {
	select {
	case e := <-outcome:
		return e.result, e.err
	case <-r.dispatchable:
		failure := code.Fail(code.InProgress, "the order is still running")
		failure.RetryAfter = time.Second
		return Result{}, failure
	}
}

// beginRun registers a run of an order, after it has waited for a run of the
// same order at this router to end. The returned function ends the run.
func (l *Ledger) beginRun(ctx context.Context, id order.ID) (func(), error) {
	for {
		l.mu.Lock()
		other, busy := l.running[id]
		if !busy && len(l.running) >= maxRunning {
			l.mu.Unlock()
			return nil, code.Refuse(code.TooManyRequests, "too many orders are running at this router")
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
			failure := code.Fail(code.InProgress, "another request with the same key is running")
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

// home returns the home router of shard n.
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
	l.observeEra()
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[n]
	if !ok {
		cfg := l.config(n)
		cfg.Era = l.era
		s = newShard(l.ctx, l.opts.Platform, cfg)
		s.core.Hold(l.holdUntil)
		l.shards[n] = s
	}
	return s
}

// config returns the configuration of shard n. Its WriteInterval keeps the
// writes of all shards together within fleetWritesPerSecond.
func (l *Ledger) config(n int) order.Config {
	orders := l.opts.Fleet.Manifest().Orders
	return order.Config{
		Number:        n,
		WriteInterval: time.Duration(orders.Shards) * time.Second / fleetWritesPerSecond,
		Retention:     time.Duration(orders.RetentionHours) * time.Hour,
		RestoreHold:   l.opts.RestoreHold,
	}
}

// forward sends an order to its home router. An error that is not a *code.Error
// means that no reply arrived; the home router may run the order nevertheless.
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
	response := order.Response{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body}
	return Result{Response: response, Replayed: reply.Replayed}, nil
}

// newToken returns a unique claim token.
func newToken(self member.Router) string {
	random := make([]byte, 8)
	rand.Read(random)
	return fmt.Sprintf("%s-%d-%s", self.Name, self.Incarnation, hex.EncodeToString(random))
}

func digest(o Order) string {
	sum := sha256.Sum256(append([]byte(o.Path+"\x00"), o.Body...))
	return hex.EncodeToString(sum[:])
}

package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

const (
	// sweepInterval is the time between two searches for claims of lost routers.
	sweepInterval = 5 * time.Second
	// unknownLookupInterval is the time between two lookups of an unknown outcome.
	unknownLookupInterval = time.Minute
	// maxSettledPerSweep limits the records that one sweep settles in a shard.
	maxSettledPerSweep = 32
	// maxConcurrentSettlements limits the records that a sweep settles
	// concurrently.
	maxConcurrentSettlements = 8
	// defaultStartupGrace is the default of Options.StartupGrace.
	defaultStartupGrace = 10 * time.Second
	// idleShardTTL is how long an unused shard of another home router is kept in
	// memory.
	idleShardTTL = 5 * time.Minute
)

// ClaimantLost reports whether a claimant is gone, as far as this router knows.
func (l *Ledger) ClaimantLost(router string, incarnation int64) bool {
	if time.Since(l.started) < l.opts.StartupGrace {
		return false
	}
	r, ok := l.opts.Fleet.View().Get(router)
	return !ok || r.Incarnation != incarnation
}

// Capabilities returns what an endpoint supports for settling orders.
func (l *Ledger) Capabilities(name string) order.Capabilities {
	e, ok := l.opts.Fleet.Manifest().Endpoint(name)
	if !ok {
		return order.Capabilities{}
	}
	return order.Capabilities{Lookup: e.Lookup, Fence: e.Fence}
}

// Serve maintains the shards whose home router is this router, until the context
// is done: it reads them in advance, settles claims of lost routers and looks up
// unknown outcomes. It also writes records of any shard again that the platform has
// lost.
func (l *Ledger) Serve(ctx context.Context) error {
	go l.watchEra(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lookedUp := time.Now()
	for {
		unknown := time.Since(lookedUp) >= unknownLookupInterval
		if unknown {
			lookedUp = time.Now()
		}
		l.sweep(ctx, unknown)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (l *Ledger) sweep(ctx context.Context, unknown bool) {
	m := l.opts.Fleet.Manifest()
	if m == nil {
		return
	}
	self := l.opts.Fleet.Self().Name
	var group errgroup.Group
	group.SetLimit(maxConcurrentSettlements)
	for n := range m.Orders.Shards {
		home, ok := l.home(n)
		if !ok || home.Name != self {
			l.dropIdleShard(n)
			continue
		}
		s := l.shard(n)
		s.configure(l.config(n))
		for _, record := range l.recordsToSettle(s, unknown) {
			group.Go(func() error {
				l.settle(ctx, s, record)
				return nil
			})
		}
		s.refresh()
	}
	group.Wait()
}

// recordsToSettle returns the claims of lost routers that this router is not
// running and, if unknown is set, the records of unknown outcome that can be
// looked up. It returns at most maxSettledPerSweep records.
func (l *Ledger) recordsToSettle(s *shard, unknown bool) []order.Record {
	records, loaded := s.records()
	if !loaded {
		return nil
	}
	var selected []order.Record
	for _, r := range records {
		settle := r.State == order.Claimed && l.ClaimantLost(r.Router, r.Incarnation)
		settle = settle && !l.isRunning(r.ID())
		settle = settle || unknown && r.State == order.Unknown && l.Capabilities(r.Endpoint).Lookup
		if settle && len(selected) < maxSettledPerSweep {
			selected = append(selected, r)
		}
	}
	return selected
}

// isRunning reports whether this router is running the order.
func (l *Ledger) isRunning(id order.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, running := l.running[id]
	return running
}

// settle settles a record. It waits first for a caller's run of the same order
// to end.
func (l *Ledger) settle(ctx context.Context, s *shard, record order.Record) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	done, err := l.beginRun(ctx, record.ID())
	if err != nil {
		return
	}
	defer done()
	r := &run{ledger: l, shard: s, order: Order{Account: record.Account, Key: record.Key}, dispatchable: make(chan struct{})}
	r.core = order.NewSettlementRun(l, l.opts.Fleet.Self().Name)
	if _, stopped := r.steps(ctx, r.core.Start()); stopped != nil {
		klog.V(1).InfoS("orders: Claim of a lost router not settled", "account", record.Account, "key", record.Key, "err", stopped.failure)
	}
}

// dropIdleShard drops shard n, which has another home router, if it is idle.
func (l *Ledger) dropIdleShard(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[n]
	if ok && s.idle() {
		delete(l.shards, n)
	}
}

func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.running && !s.core.Pending() && time.Since(s.lastUsed) > idleShardTTL
}

// UnknownOrders returns all records of unknown outcome. It reads every shard. The
// error is a *code.Error.
func (l *Ledger) UnknownOrders(ctx context.Context) ([]order.Record, error) {
	m := l.opts.Fleet.Manifest()
	if m == nil {
		return nil, code.Refuse(code.NoManifest, "")
	}
	var unknown []order.Record
	for n := range m.Orders.Shards {
		records, err := l.reloadRecords(ctx, l.shard(n))
		if err != nil {
			return nil, code.Refuse(code.PlatformDown, "the ledger can't be read")
		}
		for _, r := range records {
			if r.State == order.Unknown {
				unknown = append(unknown, r)
			}
		}
	}
	return unknown, nil
}

// reloadRecords reads a shard from the platform again and returns its claimed
// and unknown records.
func (l *Ledger) reloadRecords(ctx context.Context, s *shard) ([]order.Record, error) {
	s.refresh()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if records, loaded := s.records(); loaded {
			return records, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

// Lookup returns the record of an order as stored in the platform. The error is
// a *code.Error: NotRecorded if there is no record.
func (l *Ledger) Lookup(ctx context.Context, account, key string) (order.Record, error) {
	n, err := l.shardOf(account, key)
	if err != nil {
		return order.Record{}, err
	}
	res, err := l.shard(n).await(ctx, func(s *order.Shard) order.Op { return s.ReadRecord(account, key, true) })
	if err != nil {
		return order.Record{}, code.Refuse(code.PlatformDown, "the ledger can't be read")
	}
	if res.Kind == order.RecordMissing {
		return order.Record{}, code.Refuse(code.NotRecorded, "")
	}
	return res.Record, nil
}

// Settle records an operator's decision about an order of unknown outcome: Done,
// or NotRun, after which a resend runs the order. It looks the order up at its
// endpoint first, under a raised fence if the endpoint checks fencing numbers; an
// outcome that the endpoint reports takes precedence. Settle returns the
// resulting record. The error is a *code.Error: Conflict if the record has
// another outcome, or none yet.
func (l *Ledger) Settle(ctx context.Context, account, key string, outcome order.State) (order.Record, error) {
	if !outcome.Final() {
		return order.Record{}, code.Refuse(code.BadRequest, "the outcome must be done or not_run")
	}
	record, err := l.Lookup(ctx, account, key)
	if err != nil {
		return record, err
	}
	n, _ := l.shardOf(account, key)
	s := l.shard(n)
	l.settle(ctx, s, record)
	res, err := s.await(ctx, func(s *order.Shard) order.Op {
		c := order.Change{Account: account, Key: key, Token: record.Token, To: outcome, SettledBy: "operator", OnlyIfUnknown: true}
		if outcome == order.Done {
			c.Response = order.NewResponse(204, "", nil)
		}
		return s.Change(c)
	})
	switch {
	case err != nil:
		return record, code.Fail(code.PlatformDown, "the platform did not confirm the change")
	case res.Kind == order.RecordMissing:
		return record, code.Refuse(code.NotRecorded, "")
	case res.Record.State != outcome:
		return res.Record, code.Fail(code.Conflict, "the state of the order is "+string(res.Record.State))
	}
	return res.Record, nil
}

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
	// sweepInterval is between two searches for claims of lost routers.
	sweepInterval = 5 * time.Second
	// unknownLookupInterval is between two look-ups of an unknown outcome.
	unknownLookupInterval = time.Minute
	// maxSettledPerSweep bounds the records that one sweep settles in a shard.
	maxSettledPerSweep = 32
	// maxConcurrentSettlements bounds the records that a sweep settles at the same time.
	maxConcurrentSettlements = 8
	// defaultStartupGrace is the default of Options.ViewTime.
	defaultStartupGrace = 10 * time.Second
	// idleShardTTL is how long a shard of another home is kept in memory.
	idleShardTTL = 5 * time.Minute
)

// Lost reports whether a claimant is gone, as far as this router knows.
func (l *Ledger) ClaimantLost(router string, incarnation int64) bool {
	if time.Since(l.started) < l.opts.StartupGrace {
		return false
	}
	r, ok := l.opts.Fleet.View().Get(router)
	return !ok || r.Incarnation != incarnation
}

// Ability returns what an endpoint offers for settling orders.
func (l *Ledger) Capabilities(name string) order.Capabilities {
	e, ok := l.opts.Fleet.Manifest().Endpoint(name)
	if !ok {
		return order.Capabilities{}
	}
	return order.Capabilities{Lookup: e.Lookup, Fence: e.Fence}
}

// Serve keeps the shards of which this router is the home: it reads them
// ahead, settles claims of lost routers and looks up unknown outcomes, until
// the context ends.
func (l *Ledger) Serve(ctx context.Context) error {
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
	var settling errgroup.Group
	settling.SetLimit(maxConcurrentSettlements)
	for n := range m.Orders.Shards {
		home, ok := l.home(n)
		if !ok || home.Name != self {
			l.dropIdleShard(n)
			continue
		}
		s := l.shard(n)
		s.configure(l.config(n))
		for _, record := range l.recordsToSettle(s, unknown) {
			settling.Go(func() error {
				l.settle(ctx, s, record)
				return nil
			})
		}
		s.refresh()
	}
	settling.Wait()
}

// recordsToSettle returns the records to settle.
func (l *Ledger) recordsToSettle(s *shard, unknown bool) []order.Record {
	records, loaded := s.records()
	if !loaded {
		return nil
	}
	var lost []order.Record
	for _, r := range records {
		settle := r.State == order.Claimed && l.ClaimantLost(r.Router, r.Incarnation)
		settle = settle && !l.isRunning(r.ID())
		settle = settle || unknown && r.State == order.Unknown && l.Capabilities(r.Endpoint).Lookup
		if settle && len(lost) < maxSettledPerSweep {
			lost = append(lost, r)
		}
	}
	return lost
}

// isRunning reports whether a run of the order is under way here.
func (l *Ledger) isRunning(id order.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, running := l.running[id]
	return running
}

// settle settles a record, after a caller's run of the same order if one is
// under way.
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
		klog.V(1).InfoS("orders: Lost claim not settled", "account", record.Account, "key", record.Key, "err", stopped.failure)
	}
}

// dropIdleShard drops a shard of another home that was not used for a while.
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

// UnknownOrders returns all orders of unknown outcome. It reads every shard. The
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

// reloadRecords reads a shard again and returns its claimed and unknown records.
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

// Lookup returns the record of an order as the platform holds it. The error
// is a *code.Error: NotRecorded if there is none.
func (l *Ledger) Lookup(ctx context.Context, account, key string) (order.Record, error) {
	n, err := l.shardOf(account, key)
	if err != nil {
		return order.Record{}, err
	}
	v, err := l.shard(n).await(ctx, func(s *order.Shard) order.Op { return s.ReadRecord(account, key, true) })
	if err != nil {
		return order.Record{}, code.Refuse(code.PlatformDown, "the ledger can't be read")
	}
	if v.Kind == order.RecordMissing {
		return order.Record{}, code.Refuse(code.NotRecorded, "")
	}
	return v.Record, nil
}

// Settle records an operator's word about an order of unknown outcome: Done,
// or NotRun, after which a resend runs it. The endpoint is asked first, under
// a raised fence where it checks fencing numbers; if it knows, its word
// counts. Settle returns the record as it stands then. The error is a
// *code.Error: Conflict if the record has another outcome, or none yet.
func (l *Ledger) Settle(ctx context.Context, account, key string, outcome order.State) (order.Record, error) {
	if !outcome.Final() {
		return order.Record{}, code.Refuse(code.BadRequest, "the outcome is done or not_run")
	}
	record, err := l.Lookup(ctx, account, key)
	if err != nil {
		return record, err
	}
	n, _ := l.shardOf(account, key)
	s := l.shard(n)
	l.settle(ctx, s, record)
	v, err := s.await(ctx, func(s *order.Shard) order.Op {
		c := order.Change{Account: account, Key: key, Token: record.Token, To: outcome, SettledBy: "operator", OnlyIfUnknown: true}
		if outcome == order.Done {
			c.Response = order.NewResponse(204, "", nil)
		}
		return s.Change(c)
	})
	switch {
	case err != nil:
		return record, code.Fail(code.PlatformDown, "the platform did not confirm the change")
	case v.Kind == order.RecordMissing:
		return record, code.Refuse(code.NotRecorded, "")
	case v.Record.State != outcome:
		return v.Record, code.Fail(code.Conflict, "the order is "+string(v.Record.State))
	}
	return v.Record, nil
}

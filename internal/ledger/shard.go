package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// Store is the part of the platform that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	Delete(ctx context.Context, key string, version int64) error
	// Pause waits until a call that failed may be tried again.
	Pause(ctx context.Context) error
}

// shard makes the platform calls that a core shard asks for, one after the
// other, and hands its verdicts to those who wait for them. It runs a
// goroutine only while there is work.
type shard struct {
	ctx   context.Context // ends with the ledger
	store Store

	mu       sync.Mutex
	core     *order.Shard
	waiters  map[order.Op]chan order.OpResult // buffered
	running  bool
	lastUsed time.Time
}

func newShard(ctx context.Context, store Store, cfg order.Config) *shard {
	return &shard{ctx: ctx, store: store, core: order.NewShard(cfg), waiters: map[order.Op]chan order.OpResult{}}
}

// configure takes in a change of the manifest.
func (s *shard) configure(cfg order.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Configure(cfg)
}

// startOp hands work to the core; the verdict arrives on the channel.
func (s *shard) startOp(work func(*order.Shard) order.Op) (order.Op, chan order.OpResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := work(s.core)
	verdict := make(chan order.OpResult, 1)
	s.waiters[op] = verdict
	s.startLoop()
	return op, verdict
}

// await begins work and waits for its verdict. If the context ends first,
// the work goes on.
func (s *shard) await(ctx context.Context, work func(*order.Shard) order.Op) (order.OpResult, error) {
	_, verdict := s.startOp(work)
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
		return order.OpResult{}, ctx.Err()
	}
}

// claim waits for a claim's verdict. If the context ends first, it withdraws
// the claim; given up is true if the claim will never be dispatched.
func (s *shard) claim(ctx context.Context, r order.Record) (v order.OpResult, givenUp bool) {
	op, verdict := s.startOp(func(core *order.Shard) order.Op { return core.Claim(r) })
	select {
	case v = <-verdict:
		return v, false
	case <-ctx.Done():
	}
	s.mu.Lock()
	givenUp = s.core.Withdraw(op)
	if givenUp {
		delete(s.waiters, op)
	}
	s.mu.Unlock()
	if givenUp {
		return order.OpResult{}, true
	}
	return <-verdict, false
}

// refresh has the core read again what may have changed.
func (s *shard) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Refresh()
	s.startLoop()
}

// records returns the claimed and unknown records, and whether the shard has
// been read.
func (s *shard) records() ([]order.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OpenRecords(), s.core.Loaded()
}

func (s *shard) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Pending()
}

// startLoop runs the loop unless it runs. The caller holds mu.
func (s *shard) startLoop() {
	s.lastUsed = time.Now()
	if s.running {
		return
	}
	s.running = true
	go s.runLoop()
}

func (s *shard) runLoop() {
	for {
		call, ok, wait := s.nextCall()
		switch {
		case ok:
			s.performCall(call)
		case wait > 0:
			s.sleep(wait)
		default:
			return
		}
	}
}

// nextCall returns the nextCall platform call, or how long to wait for one. If it
// returns neither, the loop has ended.
func (s *shard) nextCall() (order.Call, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	call, ok := s.core.NextCall(now)
	for !ok && s.deliverResults() {
		call, ok = s.core.NextCall(now)
	}
	if ok {
		s.deliverResults()
		return call, true, 0
	}
	at, more := s.core.WakeAt()
	if s.ctx.Err() != nil || !more {
		s.running = false
		return order.Call{}, false, 0
	}
	return order.Call{}, false, max(at.Sub(now), time.Millisecond)
}

// performCall makes one call and hands its result to the core. A call that failed is
// followed by a pause.
func (s *shard) performCall(call order.Call) {
	result, err := s.executeCall(call)
	s.mu.Lock()
	if bad := s.core.HandleResult(result); bad != nil {
		klog.ErrorS(bad, "orders: Platform holds an unreadable object", "object", call.Object)
		err = bad
	}
	s.deliverResults()
	s.mu.Unlock()
	if err != nil {
		klog.V(1).InfoS("orders: Platform call failed", "object", call.Object, "err", err)
		s.store.Pause(s.ctx)
	}
}

// executeCall returns an error only if the result is uncertain or failed.
func (s *shard) executeCall(call order.Call) (order.CallResult, error) {
	switch call.Verb {
	case order.Get:
		o, err := s.store.Get(s.ctx, call.Object)
		return callResult(order.CallResult{Status: order.CallOK, Version: o.Version, Value: o.Value}, err)
	case order.Put:
		version, err := s.store.Put(s.ctx, call.Object, call.Value, call.Version)
		return callResult(order.CallResult{Status: order.CallOK, Version: version}, err)
	}
	return callResult(order.CallResult{Status: order.CallOK}, s.store.Delete(s.ctx, call.Object, call.Version))
}

func callResult(ok order.CallResult, err error) (order.CallResult, error) {
	switch {
	case err == nil:
		return ok, nil
	case errors.Is(err, platform.ErrNotFound):
		return order.CallResult{Status: order.CallNotFound}, nil
	case errors.Is(err, platform.ErrConflict):
		return order.CallResult{Status: order.CallConflict}, nil
	case errors.Is(err, platform.ErrUncertain):
		return order.CallResult{Status: order.CallUncertain}, err
	}
	return order.CallResult{Status: order.CallFailed}, err
}

// deliverResults hands out verdicts; it reports whether there were any. The caller
// holds mu.
func (s *shard) deliverResults() bool {
	verdicts := s.core.OpResults()
	for _, v := range verdicts {
		if ch, ok := s.waiters[v.Op]; ok {
			ch <- v
			delete(s.waiters, v.Op)
		}
	}
	return len(verdicts) > 0
}

func (s *shard) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

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

// Store provides the platform calls that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	Delete(ctx context.Context, key string, version int64) error
	// Era returns the era of the newest response, see platform.Client.
	Era() int64
	// WaitRetry waits until a failed call may be retried.
	WaitRetry(ctx context.Context) error
}

// shard makes the platform calls that an order.Shard requests, one at a time,
// and delivers its operation results to the goroutines that wait for them. It
// runs a goroutine only while there is work.
type shard struct {
	ctx   context.Context // canceled when the ledger is closed
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

// configure applies a configuration from a changed manifest.
func (s *shard) configure(cfg order.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Configure(cfg)
}

// startOp queues an operation on the core shard. Its result is sent on the
// returned channel.
func (s *shard) startOp(work func(*order.Shard) order.Op) (order.Op, chan order.OpResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op := work(s.core)
	result := make(chan order.OpResult, 1)
	s.waiters[op] = result
	s.startLoop()
	return op, result
}

// await starts an operation and waits for its result. If the context is done
// first, the operation continues.
func (s *shard) await(ctx context.Context, work func(*order.Shard) order.Op) (order.OpResult, error) {
	_, result := s.startOp(work)
	select {
	case res := <-result:
		return res, nil
	case <-ctx.Done():
		return order.OpResult{}, ctx.Err()
	}
}

// claim starts a claim and waits for its result. If the context is done first,
// it withdraws the claim; withdrawn is true if that succeeded, so that the claim
// is never dispatched.
func (s *shard) claim(ctx context.Context, r order.Record) (res order.OpResult, withdrawn bool) {
	op, result := s.startOp(func(core *order.Shard) order.Op { return core.Claim(r) })
	select {
	case res = <-result:
		return res, false
	case <-ctx.Done():
	}
	s.mu.Lock()
	withdrawn = s.core.Withdraw(op)
	if withdrawn {
		delete(s.waiters, op)
	}
	s.mu.Unlock()
	if withdrawn {
		return order.OpResult{}, true
	}
	return <-result, false
}

// refresh makes the core shard read again the objects that may have changed.
func (s *shard) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Refresh()
	s.startLoop()
}

// hold makes claims wait until the given time, and reads the shard again.
func (s *shard) hold(until time.Time) {
	s.mu.Lock()
	s.core.Hold(until)
	s.mu.Unlock()
	s.refresh()
}

// records returns the claimed and unknown records, and whether the whole shard
// has been read.
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

// startLoop starts runLoop unless it is running. The caller holds mu.
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
			s.make(call)
		case wait > 0:
			s.sleep(wait)
		default:
			return
		}
	}
}

// nextCall returns the next platform call, or how long to wait for one. If it
// returns neither, it has marked the loop as ended.
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
	return order.Call{}, false, min(max(at.Sub(now), time.Millisecond), pollInterval) // operations may be added meanwhile
}

// make makes one platform call and passes its result to the core shard.
// After a failed call it waits until a retry is allowed.
func (s *shard) make(call order.Call) {
	result, err := s.executeCall(call)
	s.mu.Lock()
	if bad := s.core.HandleResult(result); bad != nil {
		klog.ErrorS(bad, "orders: Object in the platform can't be decoded", "object", call.Object)
		err = bad
	}
	s.deliverResults()
	s.mu.Unlock()
	if err != nil {
		klog.V(1).InfoS("orders: Platform call failed", "object", call.Object, "err", err)
		s.store.WaitRetry(s.ctx)
	}
}

// executeCall makes one platform call. It returns an error only if the call
// failed or its effect is uncertain.
func (s *shard) executeCall(call order.Call) (order.CallResult, error) {
	result, err := s.callStore(call)
	result.Era = s.store.Era()
	if result.Version != 0 {
		result.Era = platform.EraOf(result.Version)
	}
	return result, err
}

func (s *shard) callStore(call order.Call) (order.CallResult, error) {
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

// deliverResults sends the results of finished operations to their waiters. It
// reports whether there were any. The caller holds mu.
func (s *shard) deliverResults() bool {
	results := s.core.OpResults()
	for _, res := range results {
		if ch, ok := s.waiters[res.Op]; ok {
			ch <- res
			delete(s.waiters, res.Op)
		}
	}
	return len(results) > 0
}

func (s *shard) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

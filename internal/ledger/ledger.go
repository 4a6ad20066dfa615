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
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

const (
	placeTimeout  = 30 * time.Second // one order, all steps
	recordTimeout = 60 * time.Second // tries to record an outcome
	orderCost     = 1                // cost units of one order
)

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
}

// Options configure a Ledger.
type Options struct {
	Fleet     Fleet
	Platform  *platform.Client
	Pools     *pool.Client
	Endpoints *endpoint.Client
	Dialer    *peer.Dialer
	Events    *eventlog.Log
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
	Answer   order.Answer
	Replayed bool // recorded by an earlier try
}

// Ledger is safe for concurrent use.
type Ledger struct {
	peerpb.UnimplementedOrdersServer
	opts Options

	mu     sync.Mutex
	shards map[int]*shard
	open   sync.WaitGroup
}

// New returns a ledger that has read nothing yet.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, shards: map[int]*shard{}}
}

// Place runs an order at its home router, or here if that can't be reached.
// The error is a *code.Error.
func (l *Ledger) Place(ctx context.Context, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	n, err := l.shardOf(o)
	if err != nil {
		return Result{}, err
	}
	self := l.opts.Fleet.Self().Name
	home, ok := l.opts.Fleet.View().Owner("orders/" + strconv.Itoa(n))
	if !ok || home.Name == self {
		return l.Run(ctx, o)
	}
	result, err := l.forward(ctx, home, o)
	var failure *code.Error
	if err != nil && !errors.As(err, &failure) {
		klog.V(1).InfoS("orders: Home router not reached", "home", home.Name, "err", err)
		return l.Run(ctx, o)
	}
	return result, err
}

// Wait returns when no order is being run here any more.
func (l *Ledger) Wait() { l.open.Wait() }

// Run runs an order at this router.
func (l *Ledger) Run(ctx context.Context, o Order) (Result, error) {
	l.open.Add(1)
	defer l.open.Done()
	n, err := l.shardOf(o)
	if err != nil {
		return Result{}, err
	}
	s := l.shard(n)
	found, err := s.find(ctx, o.Account, o.Key)
	if err != nil {
		return Result{}, code.Refuse(code.PlatformDown, err.Error())
	}
	if found != nil && found.State != order.NotRun {
		return l.replay(ctx, s, found, o)
	}
	return l.runNew(ctx, s, o)
}

// runNew waits for a slot, claims, sends and records.
func (l *Ledger) runNew(ctx context.Context, s *shard, o Order) (Result, error) {
	slot, err := l.opts.Pools.Acquire(ctx, o.Pool, pool.Request{Account: o.Account, Estimate: orderCost})
	if err != nil {
		return Result{}, err
	}
	outcome := admission.Cancelled
	defer func() { slot.Release(outcome, orderCost, 0) }()
	claim := &order.Record{
		Account:   o.Account,
		Key:       o.Key,
		Digest:    digest(o),
		Token:     newToken(l.opts.Fleet.Self()),
		Router:    l.opts.Fleet.Self().Name,
		Endpoint:  slot.Endpoint,
		State:     order.Claimed,
		ClaimedAt: time.Now().UTC(),
	}
	held, err := s.claim(ctx, claim)
	if err != nil {
		// The claim may be committed, but it is never sent now: not run.
		return Result{}, code.Refuse(code.PlatformDown, err.Error())
	}
	if held.Token != claim.Token {
		return l.replay(ctx, s, held, o)
	}
	l.opts.Events.Add(eventlog.Event{Kind: eventlog.OrderClaimed, Request: o.RequestID, Account: o.Account, Endpoint: slot.Endpoint, Detail: o.Key})
	answer, err := l.dispatch(ctx, claim, o)
	outcome = outcomeOf(err)
	return l.finish(ctx, s, claim, answer, err)
}

// dispatch sends a claimed order once, and looks it up if its answer is
// lost.
func (l *Ledger) dispatch(ctx context.Context, claim *order.Record, o Order) (order.Answer, error) {
	e, ok := l.findEndpoint(claim.Endpoint)
	if !ok {
		return order.Answer{}, code.Refuse(code.NoEndpoint, claim.Endpoint+" is not declared any more")
	}
	key := endpointKey(o.Account, o.Key)
	answer, err := l.opts.Endpoints.Do(ctx, endpoint.Call{
		URL:         e.URL + o.Path,
		Method:      http.MethodPost,
		RequestID:   o.RequestID,
		Key:         key,
		Fence:       1,
		ContentType: o.ContentType,
		Body:        o.Body,
	})
	if err == nil {
		return order.Answer(answer), nil
	}
	var failure *code.Error
	if errors.As(err, &failure) && failure.NotRun {
		return order.Answer{}, err
	}
	if found, ok := l.lookUp(ctx, e, key, o.RequestID); ok {
		return found, nil
	}
	return order.Answer{}, code.Fail(code.OutcomeUnknown, err.Error())
}

// lookUp asks the endpoint for the answer of an order that it executed.
func (l *Ledger) lookUp(ctx context.Context, e manifest.Endpoint, key, requestID string) (order.Answer, bool) {
	if !e.Lookup {
		return order.Answer{}, false
	}
	answer, err := l.opts.Endpoints.Do(context.WithoutCancel(ctx), endpoint.Call{
		URL:       e.URL + "/executions/" + key,
		Method:    http.MethodGet,
		RequestID: requestID,
		Fresh:     true,
	})
	if err != nil || answer.Status != http.StatusOK {
		return order.Answer{}, false
	}
	return order.Answer(answer), true
}

// finish records the outcome. A caller gets an answer even if its record has
// to be tried again.
func (l *Ledger) finish(ctx context.Context, s *shard, claim *order.Record, answer order.Answer, cause error) (Result, error) {
	done := *claim
	var failure *code.Error
	switch {
	case cause == nil:
		done.State = order.Done
		done.Answer = &answer
	case errors.As(cause, &failure) && failure.NotRun:
		done.State = order.NotRun
	default:
		done.State = order.Unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := s.record(ctx, &done); err != nil {
		klog.ErrorS(err, "orders: Outcome not recorded", "key", claim.Key, "state", done.State)
	}
	l.opts.Events.Add(eventlog.Event{Kind: eventlog.OrderRecorded, Account: claim.Account, Endpoint: claim.Endpoint, Detail: claim.Key + " " + string(done.State)})
	return Result{Answer: answer}, cause
}

// replay answers a resend from the record.
func (l *Ledger) replay(ctx context.Context, s *shard, r *order.Record, o Order) (Result, error) {
	if r.Digest != digest(o) {
		return Result{}, code.Fail(code.KeyReused, "")
	}
	l.opts.Events.Add(eventlog.Event{Kind: eventlog.OrderReplayed, Request: o.RequestID, Account: o.Account, Detail: o.Key + " " + string(r.State)})
	switch r.State {
	case order.Done:
		return Result{Answer: *r.Answer, Replayed: true}, nil
	case order.Unknown:
		return Result{}, code.Fail(code.OutcomeUnknown, "")
	}
	failure := code.Fail(code.InProgress, "claimed by router "+r.Router)
	failure.RetryAfter = time.Second
	return Result{}, failure
}

func (l *Ledger) findEndpoint(name string) (manifest.Endpoint, bool) {
	for _, e := range l.opts.Fleet.Manifest().Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return manifest.Endpoint{}, false
}

func (l *Ledger) shardOf(o Order) (int, error) {
	m := l.opts.Fleet.Manifest()
	if m == nil {
		return 0, code.Refuse(code.NoManifest, "")
	}
	return int(xxhash.Sum64String(o.Account+"\x00"+o.Key) % uint64(m.Orders.Shards)), nil
}

func (l *Ledger) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[n]
	if !ok {
		s = &shard{platform: l.opts.Platform, prefix: "orders/" + strconv.Itoa(n) + "/"}
		l.shards[n] = s
	}
	return s
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
	answer := order.Answer{Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body}
	return Result{Answer: answer, Replayed: reply.Replayed}, nil
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
		Status:      int32(result.Answer.Status),
		ContentType: result.Answer.ContentType,
		Body:        result.Answer.Body,
		Replayed:    result.Replayed,
	}, nil
}

func outcomeOf(err error) admission.Outcome {
	var failure *code.Error
	switch {
	case err == nil:
		return admission.Done
	case errors.As(err, &failure) && failure.Code == code.Unreachable:
		return admission.Unreachable
	}
	return admission.Crashed
}

func digest(o Order) string {
	sum := sha256.Sum256(append([]byte(o.Path+"\x00"), o.Body...))
	return hex.EncodeToString(sum[:])
}

// endpointKey is the key that the endpoint sees; two client accounts may use
// the same key.
func endpointKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

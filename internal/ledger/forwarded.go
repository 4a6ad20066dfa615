package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// memoryRetryAfter is the Retry-After of a forwarded order without memory.
const memoryRetryAfter = time.Second

// PlaceOrder runs an order that another router forwarded.
func (l *Ledger) PlaceOrder(ctx context.Context, in *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	result, err := l.runForwarded(ctx, Order{
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

// runForwarded runs an order within the memory budget.
func (l *Ledger) runForwarded(ctx context.Context, o Order) (Result, error) {
	if l.opts.Memory == nil {
		return l.Run(ctx, o)
	}
	held := &memory.Scope{Budget: l.opts.Memory}
	if !held.Reserve(memory.Requests, o.Account, 0).Resize(memory.RequestBytes) ||
		!held.Reserve(memory.RequestBodies, o.Account, memory.FreeBodyBytes).Resize(int64(len(o.Body))) {
		held.Release()
		failure := code.Refuse(code.NoMemory, "at the order's home router")
		failure.RetryAfter = memoryRetryAfter
		return Result{}, failure
	}
	return l.run(ctx, o, held.Release)
}

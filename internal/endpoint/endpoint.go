// Package endpoint calls the endpoints: streamed chat completions, orders
// and plain services, over HTTP.
//
// An answer is handed on only if it carries the identity of its own request,
// and counts as whole only with its end marker or its full length.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// The header fields that bind an answer to its request.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingNumberHeader  = "Fencing-Number"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxAnswerBytes = 8 << 20
	// A kept connection whose other end is lost is noticed by the system
	// after idle + interval * count, before it is used if it was idle so long.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	fresh    *http.Client // a new connection for each call
	progress time.Duration
}

// Call is one request to an endpoint.
type Call struct {
	URL           string // endpoint's address with the path
	Method        string
	RequestID     string
	Key           string // idempotency key, for orders
	Fence         int64  // fencing number, for orders
	ContentType   string
	Body          []byte
	NewConnection bool // use a new connection
	ResumeFrom    int  // events of the stream already received
}

// Response is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// New returns a client. An endpoint that sends nothing for the given time
// has failed.
func New(progress time.Duration) *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // answers are passed on as they come
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: transport}, fresh: &http.Client{Transport: fresh}, progress: progress}
}

// Do sends the call and returns the whole answer. The error is a *code.Error;
// its NotRun is true only if nothing was sent.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	ctx, watch := watchProgress(ctx, c.progress)
	defer watch.stop()
	resp, err := c.send(ctx, call)
	if err != nil {
		return Response{}, failure(ctx, err)
	}
	defer resp.Body.Close()
	if err := checkIdentity(resp, call); err != nil {
		return Response{}, err
	}
	return readWhole(ctx, watch, resp)
}

// readWhole reads the body. A body whose end can't be told from a cut
// connection is not taken as whole.
func readWhole(ctx context.Context, watch *progressWatch, resp *http.Response) (Response, error) {
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Response{}, code.Fail(code.Truncated, "the answer states no length")
	}
	body, err := io.ReadAll(io.LimitReader(watch.reader(resp.Body), maxAnswerBytes+1))
	if err != nil {
		return Response{}, failure(ctx, err)
	}
	if len(body) > maxAnswerBytes {
		return Response{}, code.Fail(code.EndpointError, "the answer is over "+strconv.Itoa(maxAnswerBytes)+" bytes")
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(RequestIDHeader, call.RequestID)
	if call.ResumeFrom > 0 {
		req.Header.Set(ResumeHeader, strconv.Itoa(call.ResumeFrom))
	}
	client := c.http
	if call.Key != "" {
		req.Header.Set(IdempotencyKeyHeader, call.Key)
		req.Header.Set(FencingNumberHeader, strconv.FormatInt(call.Fence, 10))
		// net/http repeats a request with this header by itself when a kept
		// connection breaks, so an order gets a new connection.
		client = c.fresh
	}
	if call.NewConnection {
		client = c.fresh
	}
	return client.Do(req)
}

// checkIdentity refuses an answer that names another request.
func checkIdentity(resp *http.Response, call Call) error {
	id := resp.Header.Get(RequestIDHeader)
	if id != "" && id != call.RequestID {
		return code.Fail(code.CrossedAnswer, "the answer is for request "+id)
	}
	key := resp.Header.Get(IdempotencyKeyHeader)
	if call.Key != "" && key != "" && key != call.Key {
		return code.Fail(code.CrossedAnswer, "the answer is for another key")
	}
	return nil
}

// failure names what went wrong with a call.
func failure(ctx context.Context, err error) *code.Error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return code.Fail(code.Silent, "")
	}
	if ctx.Err() != nil {
		return code.Fail(code.CallerLeft, "")
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return code.Refuse(code.Unreachable, op.Error())
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "EOF") {
		return code.Fail(code.Truncated, err.Error())
	}
	return code.Fail(code.EndpointError, err.Error())
}

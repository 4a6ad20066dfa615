// Package endpoint is the HTTP client for the endpoints of a manifest: it sends
// streamed chat completions, orders (requests with an idempotency key, see package
// order) and requests to plain HTTP services. On a prepared platform, package
// upstream is used instead.
//
// A response that names another request is an error. A response is complete only
// if its end marker or its full length has been received.
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
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// Header fields that tie a response to its request.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingNumberHeader  = "Fencing-Number"
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 8 << 20
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
	// receiveBufferBytes limits the unread bytes of a connection. It lets an endpoint
	// that is 5 ms away send 6 MB/s, while a stream of events takes about 0.1 MB/s.
	receiveBufferBytes = 32 << 10
	// TCP keepalive detects an idle connection to a lost host after idle +
	// interval * count. A lost connection that has been idle for that long
	// is closed before it is used again.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	http            *http.Client
	newConn         *http.Client // opens a new connection for each call
	progressTimeout time.Duration
}

// Call is one request to an endpoint.
type Call struct {
	URL           string // of the endpoint, with path
	Method        string
	RequestID     string
	Key           string // idempotency key, for orders
	Fence         int64  // fencing number, for orders
	ContentType   string
	Body          []byte
	NewConnection bool                // do not reuse a connection
	ResumeFrom    int                 // number of stream events already received
	Memory        *memory.Reservation // for the response; nil: no limit of all responses together
}

// Response is a complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// New returns a client. A call fails if the endpoint sends nothing for
// progressTimeout, or sends bytes for uselessFactor times as long that complete
// neither the response nor an event of a stream.
func New(progressTimeout time.Duration) *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		Control:         limitio.ReceiveBuffer(receiveBufferBytes),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // responses are forwarded unchanged

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	newConn := transport.Clone()
	newConn.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: transport}, newConn: &http.Client{Transport: newConn}, progressTimeout: progressTimeout}
}

// Do sends the call and returns the complete response. The error is a
// *code.Error, whose NotRun is true only if nothing was sent.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	ctx, watch := watchProgress(ctx, c.progressTimeout)
	defer watch.stop()
	resp, err := c.send(ctx, call)
	if err != nil {
		return Response{}, classifyError(ctx, err)
	}
	defer resp.Body.Close()
	if err := checkIdentity(resp, call); err != nil {
		return Response{}, err
	}
	return readResponse(ctx, watch, resp, call.Memory)
}

// readResponse reads the body. A body without a length or chunked encoding is an
// error, since its end can't be distinguished from a lost connection.
func readResponse(ctx context.Context, watch *progressWatch, resp *http.Response, held *memory.Reservation) (Response, error) {
	if resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Response{}, code.Fail(code.Truncated, "the response has no length")
	}
	body, err := memory.ReadBody(watch.reader(resp.Body), resp.ContentLength, maxResponseBytes, held)
	switch {
	case errors.Is(err, limitio.ErrTooLarge):
		return Response{}, code.Fail(code.EndpointError, err.Error())
	case err != nil:
		return Response{}, classifyError(ctx, err)
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
		// net/http itself retries a request with this header if a reused
		// connection fails, so an order gets a new connection.
		client = c.newConn
	}
	if call.NewConnection {
		client = c.newConn
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if !code.IsFinalStatus(resp.StatusCode) {
		resp.Body.Close()
		return nil, errors.Newf("the endpoint responded with the invalid status %d", resp.StatusCode)
	}
	return resp, nil
}

// checkIdentity returns an error if the response names another request or
// idempotency key.
func checkIdentity(resp *http.Response, call Call) error {
	id := resp.Header.Get(RequestIDHeader)
	if id != "" && id != call.RequestID {
		return code.Fail(code.CrossedAnswer, "the response is for request "+id)
	}
	key := resp.Header.Get(IdempotencyKeyHeader)
	if call.Key != "" && key != "" && key != call.Key {
		return code.Fail(code.CrossedAnswer, "the response is for another idempotency key")
	}
	return nil
}

// classifyError maps the error of a call to a *code.Error.
func classifyError(ctx context.Context, err error) *code.Error {
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

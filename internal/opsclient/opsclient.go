// Package opsclient is a client of the routers' operations API. It queries one
// router, or all routers of the fleet concurrently. A router that doesn't respond
// is named in the result; the responses of the others are returned all the same.
package opsclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

const (
	callTimeout      = 3 * time.Second // of one call to one router
	maxResponseBytes = 32 << 20
	maxHeadBytes     = 64 << 10
)

// Options configure a Client.
type Options struct {
	Routers []string // operations addresses, tried in order until one responds
	Token   string   // operators' credential
	CAFile  string   // PEM; empty: the system's certificate authorities
}

// Client calls the operations API of routers. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client. It fails if the CA file can't be read or has no
// certificate.
func New(opts Options) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	if opts.CAFile != "" {
		pool, err := loadCertPool(opts.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Client{opts: opts, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Status returns the status of the first router that responds.
func (c *Client) Status(ctx context.Context) (opsapi.Status, error) {
	var s opsapi.Status
	return s, c.any(ctx, http.MethodGet, "/status", nil, &s)
}

// Order returns the record of an order by its client account and key.
func (c *Client) Order(ctx context.Context, account, key string) (order.Record, error) {
	var r order.Record
	q := url.Values{"account": {account}, "key": {key}}
	return r, c.any(ctx, http.MethodGet, "/orders?"+q.Encode(), nil, &r)
}

// UnknownOrders returns the records of the orders whose outcome is unknown.
func (c *Client) UnknownOrders(ctx context.Context) ([]order.Record, error) {
	var records []order.Record
	return records, c.any(ctx, http.MethodGet, "/orders/unknown", nil, &records)
}

// Settle sets the outcome of an order whose outcome is unknown and returns the
// resulting record.
func (c *Client) Settle(ctx context.Context, s opsapi.SettleRequest) (order.Record, error) {
	var r order.Record
	return r, c.any(ctx, http.MethodPost, "/orders/settle", s, &r)
}

func (c *Client) timelinePage(ctx context.Context, router string, f eventlog.Filter) (eventlog.Page, error) {
	var p eventlog.Page
	return p, c.call(ctx, http.MethodGet, router, "/timeline?"+opsapi.EncodeFilter(f).Encode(), nil, &p)
}

// any calls the routers in order until one responds. An error response counts
// as a response.
func (c *Client) any(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, router := range c.opts.Routers {
		err = c.call(ctx, method, router, path, in, out)
		if err == nil || code.As(err).Code != code.RouterUnreachable {
			return err
		}
	}
	if err == nil {
		return code.Refuse(code.BadRequest, "no router address is given")
	}
	return err
}

// call sends a request to one router and decodes the response into out, unless
// out is nil. If the request is refused or fails, the error is a *code.Error.
func (c *Client) call(ctx context.Context, method, router, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(router, "/")+path, bytes.NewReader(body))
	if err != nil {
		return code.Refuse(code.BadRequest, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return code.Fail(code.RouterUnreachable, err.Error())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return code.Fail(code.RouterUnreachable, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return code.Fail(code.Internal, router+" sent an invalid response: "+err.Error())
	}
	return nil
}

// decodeError returns the problem that an error response describes.
func decodeError(resp *http.Response, data []byte) error {
	var p code.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == 0 {
		return code.Fail(code.Internal, "the router responded with "+resp.Status)
	}
	return p.Err()
}

func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, code.Refuse(code.BadRequest, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, code.Refuse(code.BadRequest, "no PEM certificate in "+file)
	}
	return pool, nil
}

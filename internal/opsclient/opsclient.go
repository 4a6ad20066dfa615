// Package opsclient asks routers for what operators want to know: one
// router, or all routers of the fleet at once. A router that doesn't answer
// is named in the result and never hides what the others say.
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
	callTimeout    = 3 * time.Second // one call of one router
	maxAnswerBytes = 32 << 20
)

// Options say which routers to ask.
type Options struct {
	Routers []string // operations addresses; the first that answers is asked
	Token   string   // operators' credential
	CAFile  string   // PEM; empty: the system's certificate authorities
}

// Client asks routers. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts Options) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if opts.CAFile != "" {
		pool, err := readPool(opts.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Client{opts: opts, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Status returns the state of the first router that answers.
func (c *Client) Status(ctx context.Context) (opsapi.Status, error) {
	var s opsapi.Status
	return s, c.any(ctx, http.MethodGet, "/status", nil, &s)
}

// Order returns the record of a client account's key.
func (c *Client) Order(ctx context.Context, account, key string) (order.Record, error) {
	var r order.Record
	q := url.Values{"account": {account}, "key": {key}}
	return r, c.any(ctx, http.MethodGet, "/orders?"+q.Encode(), nil, &r)
}

// UnknownOrders returns the orders whose outcome is not known.
func (c *Client) UnknownOrders(ctx context.Context) ([]order.Record, error) {
	var records []order.Record
	return records, c.any(ctx, http.MethodGet, "/orders/unknown", nil, &records)
}

// Settle gives an order of unknown outcome its outcome and returns the record
// as it stands then.
func (c *Client) Settle(ctx context.Context, s opsapi.SettleRequest) (order.Record, error) {
	var r order.Record
	return r, c.any(ctx, http.MethodPost, "/orders/settle", s, &r)
}

func (c *Client) page(ctx context.Context, router string, f eventlog.Filter) (eventlog.Page, error) {
	var p eventlog.Page
	return p, c.call(ctx, http.MethodGet, router, "/timeline?"+opsapi.EncodeFilter(f).Encode(), nil, &p)
}

// any asks the routers in turn until one answers. A refusal is an answer.
func (c *Client) any(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, router := range c.opts.Routers {
		err = c.call(ctx, method, router, path, in, out)
		if err == nil || code.As(err).Code != code.RouterUnreachable {
			return err
		}
	}
	if err == nil {
		return code.Refuse(code.BadRequest, "no router is named")
	}
	return err
}

// call asks one router. The error is a *code.Error.
func (c *Client) call(ctx context.Context, method, router, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode call")
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return code.Fail(code.RouterUnreachable, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, answer)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return code.Fail(code.Internal, router+" sent an unreadable answer: "+err.Error())
	}
	return nil
}

func refusal(resp *http.Response, answer []byte) error {
	var p code.Problem
	if err := json.Unmarshal(answer, &p); err != nil || p.Code == 0 {
		return code.Fail(code.Internal, "the router answered "+resp.Status)
	}
	return p.Err()
}

func readPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, code.Refuse(code.BadRequest, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, code.Refuse(code.BadRequest, "no certificate in "+file)
	}
	return pool, nil
}

// Package platform is the client of the platform's object API: versioned
// objects with conditional updates, lists, watches, and the instance list.
//
// A failed write may have taken effect: Put and Delete then return an error
// for which Uncertain holds, and the caller reads back.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// The errors that callers tell apart with errors.Is.
var (
	ErrNotFound      = errors.New("no such object")
	ErrConflict      = errors.New("the object has another version")
	ErrVersionTooOld = errors.New("the watch version is too old")
	// ErrUncertain marks a write that may or may not have taken effect.
	ErrUncertain = errors.New("the write may have taken effect")
	// ErrRateLimited marks a call that the platform refused because of its rates;
	// it had no effect.
	ErrRateLimited = errors.New("the platform is at its rate limit")

	errSilent = errors.New("the watch went silent")
)

const (
	callTimeout = 2 * time.Second
	// watchSilence is how long a watch may bring nothing. The platform sends
	// an empty event each second.
	watchSilence  = 4 * time.Second
	maxValueBytes = 1 << 20
)

// Object is one stored value.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // grows with each change of any object
	Value   []byte `json:"value"`
}

// List is the state of all objects under a prefix at one version.
type List struct {
	Version int64    `json:"version"`
	Items   []Object `json:"items"`
}

// Event is one change that a watch delivers.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Client calls one object API. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	watch *http.Client
	pace  *pace
	// silence is how long a watch may bring nothing.
	silence time.Duration
}

// New returns a client of the API at base, for example "http://10.0.0.9:8080".
func New(base string) *Client {
	transport := countedTransport()
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{Timeout: callTimeout, Transport: transport},
		watch:   &http.Client{Transport: transport},
		pace:    newPace(),
		silence: watchSilence,
	}
}

// Get returns an object; ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.call(ctx, http.MethodGet, c.objectURL(key), nil, nil)
	if err != nil {
		return Object{}, err
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return Object{}, statusError(resp)
	}
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return Object{}, errors.Wrap(err, "read object")
	}
	version, err := etag(resp)
	return Object{Key: key, Version: version, Value: value}, err
}

// Put writes an object if it has the given version (0: if there is none) and
// returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > maxValueBytes {
		return 0, code.Fail(code.PlatformError, fmt.Sprintf("%s has %d bytes, over the platform's %d", key, len(value), maxValueBytes))
	}
	resp, err := c.call(ctx, http.MethodPut, c.objectURL(key), value, condition(version))
	if err != nil {
		return 0, errors.Mark(err, ErrUncertain)
	}
	defer drain(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		return 0, errors.Mark(statusError(resp), ErrUncertain)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp)
	}
	return etag(resp)
}

// Delete removes an object if it has the given version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	resp, err := c.call(ctx, http.MethodDelete, c.objectURL(key), nil, condition(version))
	if err != nil {
		return errors.Mark(err, ErrUncertain)
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return nil
}

// List returns all objects whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) (List, error) {
	var list List
	err := c.getJSON(ctx, c.base+"/v1/records?prefix="+url.QueryEscape(prefix), &list)
	return list, err
}

// Instances returns the platform's instance list, which lags.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	err := c.getJSON(ctx, c.base+"/v1/instances", &instances)
	return instances, err
}

// Watch calls deliver for each change under prefix after the given version,
// until the context ends, the connection breaks, goes silent for longer than
// watchSilence or the version is too old (ErrVersionTooOld).
func (c *Client) Watch(ctx context.Context, prefix string, from int64, deliver func(Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.silence, func() { cancel(errSilent) })
	defer silence.Stop()
	u := fmt.Sprintf("%s/v1/watch?prefix=%s&from=%d", c.base, url.QueryEscape(prefix), from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	countCall("watch")
	resp, err := c.watch.Do(req)
	if err != nil {
		return errors.Wrap(watchError(ctx, err), "watch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	dec := json.NewDecoder(resp.Body)
	for {
		var e Event
		if err := dec.Decode(&e); err != nil {
			return errors.Wrap(watchError(ctx, err), "watch")
		}
		silence.Reset(c.silence)
		if e.Object.Key != "" { // an empty event keeps the connection alive
			deliver(e)
		}
	}
}

// watchError names the silence that ended a watch.
func watchError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return cause
	}
	return err
}

func (c *Client) getJSON(ctx context.Context, u string, into any) error {
	resp, err := c.call(ctx, http.MethodGet, u, nil, nil)
	if err != nil {
		return err
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "read list")
}

func (c *Client) objectURL(key string) string {
	return c.base + "/v1/records/" + key
}

func (c *Client) call(ctx context.Context, method, u string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "platform call")
	}
	if header != nil {
		req.Header = header
	}
	countCall(strings.ToLower(method))
	resp, err := c.http.Do(req)
	c.pace.note(err == nil && resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests)
	return resp, errors.Wrap(err, "platform call")
}

// WaitRetry waits until a call that failed may be tried again. All users of the
// client share one gate, so that a returning platform is not trampled.
func (c *Client) WaitRetry(ctx context.Context) error { return c.pace.wait(ctx) }

func countCall(method string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_platform_calls_total{method=%q}`, method)).Inc()
}

func condition(version int64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
}

func etag(resp *http.Response) (int64, error) {
	version, err := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return version, errors.Wrap(err, "platform answered without a version")
}

func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusGone:
		return ErrVersionTooOld
	case http.StatusTooManyRequests:
		return ErrRateLimited
	}
	return code.Fail(code.PlatformError, "platform answered "+resp.Status)
}

func drain(resp *http.Response) {
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxValueBytes))
	resp.Body.Close()
}

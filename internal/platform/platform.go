// Package platform is a client of the platform's object API, which provides
// versioned objects with conditional updates, lists and watches by key prefix,
// and a list of the platform's instances.
//
// A failed write may still have taken effect. Put and Delete then return an
// error that is marked with ErrUncertain, and the caller has to read the
// object back.
//
// The platform may be restored from an older copy of itself, which begins a new
// era. Versions are ordered across eras, a write takes effect only in the era of
// the version that it requires, and a response from an earlier era is an error.
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
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

// The errors that callers distinguish with errors.Is.
var (
	ErrNotFound      = errors.New("no such object")
	ErrConflict      = errors.New("the object has another version")
	ErrVersionTooOld = errors.New("the watch version is older than the history")
	// ErrUncertain marks a write that may or may not have taken effect.
	ErrUncertain = errors.New("the write may have taken effect")
	// ErrRateLimited is the error of a call that the platform refused because
	// of its rate limits. The call had no effect.
	ErrRateLimited = errors.New("platform rate limit exceeded")

	errWatchIdle = errors.New("the watch received no event or keepalive in time")
)

const (
	callTimeout = 2 * time.Second
	// defaultWatchIdleTimeout is how long a watch may receive nothing. The
	// platform sends an empty event each second as a keepalive.
	defaultWatchIdleTimeout = 4 * time.Second
	maxValueBytes           = 1 << 20
	// maxEventBytes limits one event of a watch: a value of maxValueBytes as
	// base64, its key and what the decoder has read ahead.
	maxEventBytes = 2 * maxValueBytes
	maxListBytes  = 64 << 20
	maxHeadBytes  = 64 << 10
)

// Object is one stored value.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // increases with each change of any object
	Value   []byte `json:"value"`
}

// List is the state of all objects under a prefix at one version.
type List struct {
	Version int64    `json:"version"`
	Items   []Object `json:"items"`
}

// Event is a change of an object, as delivered by a watch.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Client is a client of one object API. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	watch   *http.Client
	retries *retryPacer
	eras    eras
	// watchIdleTimeout is how long a watch may receive nothing.
	watchIdleTimeout time.Duration
}

// New returns a client of the API at base, for example "http://10.0.0.9:8080".
func New(base string) *Client {
	transport := newCountingTransport()
	return &Client{
		base:             strings.TrimSuffix(base, "/"),
		http:             &http.Client{Timeout: callTimeout, Transport: transport},
		watch:            &http.Client{Transport: transport},
		retries:          newRetryPacer(),
		watchIdleTimeout: defaultWatchIdleTimeout,
	}
}

// Get returns an object, or ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.call(ctx, http.MethodGet, c.objectURL(key), nil, nil)
	if err != nil {
		return Object{}, err
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return Object{}, statusError(resp)
	}
	value, err := io.ReadAll(&limitio.Reader{R: resp.Body, Remaining: maxValueBytes})
	if err != nil {
		return Object{}, errors.Wrap(err, "read object")
	}
	version, err := etagVersion(resp)
	return Object{Key: key, Version: version, Value: value}, err
}

// Put writes an object if its current version is the given one, or if it
// doesn't exist and version is 0. It returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > maxValueBytes {
		return 0, code.Fail(code.PlatformError, fmt.Sprintf("%s has %d bytes, more than the platform's limit of %d", key, len(value), maxValueBytes))
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
	return etagVersion(resp)
}

// Delete deletes an object if its current version is the given one.
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
	era, err := c.getJSON(ctx, c.base+"/v1/records?prefix="+url.QueryEscape(prefix), &list)
	if err != nil {
		return list, err
	}
	for i := range list.Items {
		if list.Items[i].Version, err = newVersion(era, list.Items[i].Version); err != nil {
			return list, err
		}
	}
	list.Version, err = newVersion(era, list.Version)
	return list, err
}

// Instances returns the platform's instance list, which lags behind the actual
// state.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	_, err := c.getJSON(ctx, c.base+"/v1/instances", &instances)
	return instances, err
}

// Watch calls deliver for each change under prefix after the given version. It
// returns when the context ends, the connection fails, nothing is received for
// watchIdleTimeout, or the platform's history does not reach back to the version
// (ErrVersionTooOld), which is so for all versions of an earlier era.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, deliver func(Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.watchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	u := fmt.Sprintf("%s/v1/watch?prefix=%s&from=%d", c.base, url.QueryEscape(prefix), numberOf(from))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	countCall("watch")
	_, changes := c.eras.now()
	resp, err := c.watch.Do(req)
	if err != nil {
		return errors.Wrap(watchError(ctx, err), "watch")
	}
	defer resp.Body.Close()
	if err := c.eras.observe(resp, changes); err != nil {
		return errors.Wrap(err, "watch")
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	era := responseEra(resp)
	if from != 0 && EraOf(from) != era {
		return ErrVersionTooOld
	}
	body := &limitio.Reader{R: resp.Body}
	dec := json.NewDecoder(body)
	for {
		body.Remaining = maxEventBytes
		var e Event
		if err := dec.Decode(&e); err != nil {
			return errors.Wrap(watchError(ctx, err), "watch")
		}
		idleTimer.Reset(c.watchIdleTimeout)
		if e.Object.Key == "" {
			continue // a keepalive
		}
		if e.Object.Version, err = newVersion(era, e.Object.Version); err != nil {
			return errors.Wrap(err, "watch")
		}
		deliver(e)
	}
}

// watchError returns errWatchIdle if that ended the watch, otherwise err.
func watchError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errWatchIdle) {
		return cause
	}
	return err
}

// getJSON decodes a response and returns its era.
func (c *Client) getJSON(ctx context.Context, u string, into any) (int64, error) {
	resp, err := c.call(ctx, http.MethodGet, u, nil, nil)
	if err != nil {
		return 0, err
	}
	defer drain(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp)
	}
	return responseEra(resp), errors.Wrap(json.NewDecoder(&limitio.Reader{R: resp.Body, Remaining: maxListBytes}).Decode(into), "read list")
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
	_, changes := c.eras.now()
	resp, err := c.http.Do(req)
	c.retries.record(err == nil && code.IsFinalStatus(resp.StatusCode) && resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests)
	if err != nil {
		return nil, errors.Wrap(err, "platform call")
	}
	if !code.IsFinalStatus(resp.StatusCode) {
		drain(resp)
		return nil, errors.Newf("platform call: invalid status %d", resp.StatusCode)
	}
	if err := c.eras.observe(resp, changes); err != nil {
		drain(resp)
		return nil, errors.Wrap(err, "platform call")
	}
	return resp, nil
}

// WaitRetry blocks until a failed call may be retried. The retries of all users
// of the client are spaced together, so that they don't overload a platform
// that has just recovered.
func (c *Client) WaitRetry(ctx context.Context) error { return c.retries.wait(ctx) }

func countCall(method string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_platform_calls_total{method=%q}`, method)).Inc()
}

// condition returns the headers that make a write conditional on the object's
// version; 0: on its absence.
func condition(version int64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(numberOf(version), 10))}}
	if era := EraOf(version); era > 0 {
		header.Set(eraHeader, strconv.FormatInt(era, 10))
	}
	return header
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
	return code.Fail(code.PlatformError, "platform responded with status "+resp.Status)
}

// drain reads the rest of the body and closes it, so that the connection can be
// reused.
func drain(resp *http.Response) {
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxValueBytes))
	resp.Body.Close()
}

// Package callerapi is the HTTP API for callers. It serves chat completions,
// orders, plain services and the list of router addresses. An order is run at
// most once; a request to a plain service may be run more than once.
//
// Every request is given an id. A request that is refused or fails gets
// problem details (RFC 9457) with a numeric result code and a not_run field,
// which is true only if no endpoint ran any part of the request.
package callerapi

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/core/urlpath"
	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// Fleet provides the manifest in force; nil if there is none yet.
type Fleet interface {
	Manifest() *manifest.Manifest
}

// Options holds the dependencies and limits of an API.
type Options struct {
	Fleet        Fleet
	Pools        *pool.Client
	Endpoints    *endpoint.Client
	Ledger       *ledger.Ledger
	Events       *eventlog.Log
	Addresses    http.Handler
	MaxBodyBytes int64
	// MaxMessages limits the messages of a prompt, since each takes more memory while it
	// is read than the few bytes of a small one; 0: no limit.
	MaxMessages int
	// MaxAccountRequests limits the open requests of one client account at
	// this router, so that one account can't use up the router's memory.
	MaxAccountRequests int
	// Memory limits what all requests and responses in progress hold; nil: no limit.
	Memory *memory.Budget
	// Lag returns how long work of this process waits for the CPU. Nil: not at all.
	Lag func() time.Duration
}

// API serves callers. It is safe for concurrent use.
type API struct {
	opts         Options
	openRequests atomic.Int64
	inFlight     sync.WaitGroup

	mu            sync.Mutex
	openByAccount map[string]int           // open requests
	retries       map[string]*retry.Budget // by pool
}

// call is one request of a caller.
type call struct {
	id      string
	account manifest.Account
	body    []byte
	memory  *memory.Scope
}

// reserveResponse returns a reservation for the response of an endpoint.
func (c call) reserveResponse(endpoint string) *memory.Reservation {
	return c.memory.Reserve(memory.Responses, endpoint, memory.FreeBodyBytes)
}

// New returns an API.
func New(opts Options) *API {
	if opts.Memory == nil {
		opts.Memory = memory.NewBudget(0)
	}
	return &API{opts: opts, openByAccount: map[string]int{}, retries: map[string]*retry.Budget{}}
}

// timesEndpoints reports whether this process has enough CPU time for what it
// measures to be the time that an endpoint took.
func (a *API) timesEndpoints() bool {
	return a.opts.Lag == nil || a.opts.Lag() <= overload.MaxTimingLag
}

// OpenRequests returns the number of open requests.
func (a *API) OpenRequests() int { return int(a.openRequests.Load()) }

// Wait blocks until no request is open.
func (a *API) Wait() { a.inFlight.Wait() }

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", a.health)
	mux.Handle("GET /v1/addresses", a.opts.Addresses)
	mux.HandleFunc("POST /v1/chat/completions", a.withCall(a.chat))
	mux.HandleFunc("/", a.withCall(a.service))
	return mux
}

// withCall wraps a handler. It assigns a request id, authenticates the client
// account, enforces its limit of open requests and reads the body.
func (a *API) withCall(next func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Add(1)
		defer a.inFlight.Done()
		a.openRequests.Add(1)
		defer a.openRequests.Add(-1)
		c := call{id: newRequestID()}
		w.Header().Set(endpoint.RequestIDHeader, c.id)
		account, err := a.authenticate(r)
		if err != nil {
			a.refuse(w, c, err)
			return
		}
		c.account = account
		if !a.startRequest(account.Name) {
			a.refuse(w, c, tooManyRequests())
			return
		}
		defer a.endRequest(account.Name)
		c.memory = &memory.Scope{Budget: a.opts.Memory}
		defer c.memory.Release()
		if c.body, err = a.readBody(w, r, c); err != nil {
			a.refuse(w, c, bodyError(err))
			return
		}
		next(w, r, c)
	}
}

// authenticate returns the client account of the request's API key. Only
// digests are compared, so that the response time reveals nothing about a
// key.
func (a *API) authenticate(r *http.Request) (manifest.Account, error) {
	m := a.opts.Fleet.Manifest()
	if m == nil {
		return manifest.Account{}, code.Refuse(code.NoManifest, "")
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, ok := m.AccountByKeyDigest(manifest.KeyDigest(key))
	if !ok {
		return manifest.Account{}, code.Refuse(code.UnknownKey, "")
	}
	return account, nil
}

func (a *API) health(w http.ResponseWriter, r *http.Request) {
	if a.opts.Fleet.Manifest() == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	}
}

// service serves orders and plain services. The pool is found by the path
// that it declares.
func (a *API) service(w http.ResponseWriter, r *http.Request, c call) {
	p, ok := a.opts.Fleet.Manifest().PoolForPath(urlpath.Normalize(r.URL.EscapedPath()))
	if !ok {
		a.refuse(w, c, code.Refuse(code.UnknownPath, r.URL.Path))
		return
	}
	if p.Kind == manifest.Order {
		a.order(w, r, c, p)
		return
	}
	a.plain(w, r, c, p)
}

func (a *API) order(w http.ResponseWriter, r *http.Request, c call, p manifest.Pool) {
	if r.Method != http.MethodPost {
		a.refuse(w, c, code.Refuse(code.UnknownPath, "orders are placed by POST, not "+r.Method))
		return
	}
	key := r.Header.Get(endpoint.IdempotencyKeyHeader)
	if key == "" || len(key) > maxKeyBytes {
		a.refuse(w, c, code.Refuse(code.KeyMissing, ""))
		return
	}
	result, err := a.opts.Ledger.Place(r.Context(), ledger.Order{
		Account:     c.account.Name,
		Key:         key,
		Pool:        p.Name,
		Path:        r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Body:        c.body,
		RequestID:   c.id,
	})
	if err != nil {
		a.refuse(w, c, err)
		return
	}
	if result.Replayed {
		w.Header().Set("Idempotency-Replayed", "true")
	}
	klog.V(2).InfoS("caller: Order completed", "request", c.id, "account", c.account.Name, "key", key, "replayed", result.Replayed, "code", 0)
	countResult(code.OK)
	writeResponse(w, result.Response.Status, result.Response.ContentType, result.Response.Body)
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

const (
	maxKeyBytes    = 255
	maxDetailBytes = 512 // of the detail of a problem
)

// Problem is the response body of a request that was refused or failed.
type Problem = code.Problem

func (a *API) refuse(w http.ResponseWriter, c call, err error) {
	failure := code.As(err)
	a.recordFailure(c, failure)
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", code.ProblemType)
	w.WriteHeader(failure.Code.Info().Status)
	json.NewEncoder(w).Encode(problem(c, failure))
}

// problem returns the problem details of a failure for the caller. Error
// details from an endpoint or another router are left out, since they may
// contain internal addresses; operators find them in the log and the events.
func problem(c call, failure *code.Error) Problem {
	p := code.NewProblem(failure, c.id)
	p.Detail = p.Detail[:min(len(p.Detail), maxDetailBytes)] // it may quote the request
	if failure.Code >= code.EndpointError {
		p.Detail = ""
	}
	return p
}

// recordFailure logs a request that was refused or failed, counts it and adds
// it to the events.
func (a *API) recordFailure(c call, failure *code.Error) {
	klog.V(2).InfoS("caller: Request refused or failed", "request", c.id, "account", c.account.Name, "code", int(failure.Code), "detail", failure.Detail)
	countResult(failure.Code)
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestRefused, Request: c.id, Account: c.account.Name, Code: int(failure.Code), Detail: failure.Detail})
}

// readBody reads the body of a request into memory that it reserves, as it does for a
// large head that its connection has not reserved.
func (a *API) readBody(w http.ResponseWriter, r *http.Request, c call) ([]byte, error) {
	limit := a.opts.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.ProtoMajor >= 2 && !c.memory.Reserve(memory.Heads, c.account.Name, 0).Resize(closing.HeadCost(r.Header)) {
		return nil, memory.ErrNoMemory
	}
	if !c.memory.Reserve(memory.Requests, c.account.Name, 0).Resize(memory.RequestBytes) {
		return nil, memory.ErrNoMemory
	}
	held := c.memory.Reserve(memory.RequestBodies, c.account.Name, memory.FreeBodyBytes)
	return memory.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, held)
}

// memoryRetryAfter is the Retry-After of a router whose memory for requests is in use.
const memoryRetryAfter = time.Second

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.Refuse(code.BodyTooLarge, "")
	}
	if errors.Is(err, memory.ErrNoMemory) {
		failure := code.Refuse(code.NoMemory, "")
		failure.RetryAfter = memoryRetryAfter
		return failure
	}
	return code.Refuse(code.BadRequest, err.Error())
}

// newRequestID returns a random id. Ids are never taken from requests, so two
// callers can't choose the same one.
func newRequestID() string {
	random := make([]byte, 8)
	rand.Read(random)
	return hex.EncodeToString(random)
}

// fingerprint returns a 64-bit hash of the parts.
func fingerprint(parts ...[]byte) uint64 {
	h := sha256.New()
	for i, part := range parts {
		if i > 0 {
			h.Write([]byte{0})
		}
		h.Write(part)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

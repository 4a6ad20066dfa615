// Package prepared is a stand-in for the users' prepared platform in tests and
// the demo. It implements the published protocols of the platform's store and
// its runners.
package prepared

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a list. It is small, so that
// tests cover continuation.
const pageSize = 5

// Faults are the injected faults of the store.
type Faults struct {
	Down         bool          // all calls get 503
	Silent       bool          // calls get no response until the caller cancels them
	Delay        time.Duration // delay before each call is handled
	LoseResponse bool          // writes take effect, and their connection is closed without a response
	LateWrite    time.Duration // the connection of a write is closed, and the write is made so much later; 0: off
}

// meta is the metadata of an object.
type meta struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"` // revision at which the object was created
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion-pending"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision int64
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	state
	era     int64 // 1 at first, one more after each Restore
	omitEra bool
	faults  Faults
	changed chan struct{} // closed and replaced at each change
	calls   int           // calls received
}

// NewStore returns an empty store of era 1.
func NewStore() *Store {
	return &Store{state: state{revision: 100, objects: map[string]map[string]object{}}, era: 1, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Away reports whether the store handles no calls.
func (s *Store) Away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || s.faults.Silent
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates or replaces an object, as the operator and the runners do. The
// revision stays if that changes nothing.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are literals in tests
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := s.objects[kind][name]
	if o.Metadata.Name != "" && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if o.Metadata.Name == "" {
		o.Metadata = meta{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.appendEvent(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.appendEvent(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

// Compact drops the history, so that a watch from an earlier revision gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

func (s *Store) appendEvent(e event) {
	s.history = append(s.history, e)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles a call of the store's API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults, era := s.faults, s.era
	s.mu.Unlock()
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Down:
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		s.refuse(w, http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind, era)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case faults.LateWrite > 0:
		s.writeLate(r, kind, name, faults.LateWrite)
	default:
		status, body, era := s.write(r, kind, name)
		if faults.LoseResponse {
			panic(http.ErrAbortHandler)
		}
		reply(w, era, status, body)
	}
}

// refuse sends a response that does not depend on the state.
func (s *Store) refuse(w http.ResponseWriter, status int) {
	s.mu.Lock()
	era := s.eraHeader()
	s.mu.Unlock()
	reply(w, era, status, nil)
}

// reply sends a response. era is the header of the state that it was made from.
func reply(w http.ResponseWriter, era string, status int, body any) {
	if era != "" {
		w.Header().Set("Store-Era", era)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	revision, era := s.revision, s.eraHeader()
	s.mu.Unlock()
	reply(w, era, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": revision})
}

// watch handles a watch that was received in the given era.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, era int64) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		c := s.changesSince(kind, since)
		switch {
		case c.gone:
			reply(w, c.eraHeader, http.StatusGone, nil)
			return
		case c.era != era:
			panic(http.ErrAbortHandler)
		}
		if len(c.events) == 0 {
			select {
			case <-c.changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		reply(w, c.eraHeader, http.StatusOK, map[string]any{"events": c.events, "current-rev": c.revision})
		return
	}
}

// changes are the events of one kind after a revision.
type changes struct {
	events    []event
	gone      bool // the store does not have the history after the revision
	revision  int64
	era       int64
	eraHeader string
	changed   chan struct{}
}

func (s *Store) changesSince(kind string, since int64) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := changes{events: []event{}, gone: since < s.compacted || since > s.revision, revision: s.revision, era: s.era, eraHeader: s.eraHeader(), changed: s.changed}
	for _, e := range s.history {
		if e.kind == kind && e.revision > since {
			c.events = append(c.events, e)
		}
	}
	return c
}

// writeLate executes a call after a delay, and aborts its connection.
func (s *Store) writeLate(r *http.Request, kind, name string, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(delay, func() { s.write(late, kind, name) })
	}
	panic(http.ErrAbortHandler)
}

// write executes a create, update or delete call and returns the status, the
// body and the era of the response.
func (s *Store) write(r *http.Request, kind, name string) (status int, body any, era string) {
	var o object
	var invalid error
	if r.Method != http.MethodDelete {
		invalid = json.NewDecoder(r.Body).Decode(&o)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	era = s.eraHeader()
	if invalid != nil {
		return http.StatusBadRequest, nil, era
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	name, ofStatus := strings.CutSuffix(name, "/status")
	old, exists := s.objects[kind][name]
	expected := o.Metadata.Revision
	if rev, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = rev
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old, era
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil, era
	case expected != 0 && exists && expected != old.Metadata.Revision:
		return http.StatusConflict, old, era
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old, era
	}
	if ofStatus {
		return http.StatusOK, s.putStatus(kind, name, o.Status), era
	}
	return http.StatusOK, s.put(kind, name, o.Spec), era
}

// putStatus replaces the status of an object that exists. The revision stays if that
// changes nothing.
func (s *Store) putStatus(kind, name string, status json.RawMessage) object {
	o := s.objects[kind][name]
	if bytes.Equal(o.Status, status) {
		return o
	}
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, status
	s.objects[kind][name] = o
	s.appendEvent(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// Status returns the status of an object, "" if there is none.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

// Statuses returns the statuses that an object has had since the last compaction or
// restoration of the store, oldest first.
func (s *Store) Statuses(kind, name string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Name == name && len(e.Object.Status) > 0 && (len(out) == 0 || out[len(out)-1] != string(e.Object.Status)) {
			out = append(out, string(e.Object.Status))
		}
	}
	return out
}

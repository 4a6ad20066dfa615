// Package prepared stands in for the users' prepared platform in tests and
// the demo: its store and its runners, by their published protocol.
package prepared

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many objects one answer lists; small, so that tests see
// continuation.
const pageItems = 5

// Faults are what the store does wrong.
type Faults struct {
	Down         bool          // every call gets 503
	Silent       bool          // calls get no answer until the caller gives up
	Delay        time.Duration // before each answer
	LoseResponse bool          // writes take effect, and their connection ends without an answer
}

// meta is the metadata of an object.
type meta struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision"`
	Created  int64    `json:"created"`
	Final    []string `json:"finalizers"`
	Pending  bool     `json:"deletion-pending"`
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

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	history  []event
	dropped  int64 // history up to this revision is gone
	faults   Faults
	changed  chan struct{} // closed at each change
	calls    int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// SetFaults changes what the store does wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates or replaces an object, as the operator and the runners do.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are literals of the tests
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o := s.objects[kind][name]
	if o.Metadata.Name == "" {
		o.Metadata = meta{Name: name, Created: s.revision, Final: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// Delete removes an object.
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
	s.note(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history, s.dropped = nil, s.revision
	s.wake()
}

func (s *Store) note(e event) {
	s.history = append(s.history, e)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	default:
		status, body := s.write(r, kind, name)
		if faults.LoseResponse {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, body)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller has left
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
	more := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone, revision, changed := []event{}, since < s.dropped, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
		return
	}
}

// write makes one write call. It returns the answer.
func (s *Store) write(r *http.Request, kind, name string) (int, any) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	expected := o.Metadata.Revision
	if rev, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = rev
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case expected != 0 && exists && expected != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.put(kind, name, o.Spec)
}

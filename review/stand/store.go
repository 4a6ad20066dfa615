// Package stand holds small stand-ins for the users' platform, runners and clients, and
// starts the routers as separate processes on loopback addresses.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata is the metadata of an object in the store.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion-pending"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision int64
}

// Store is a stand-in for the platform's metadata store. It is always sound.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []event
	changed  chan struct{}
}

// NewStore returns an empty store that listens on a free loopback port.
func NewStore() (store *Store, address string, err error) {
	s := &Store{revision: 100, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go http.Serve(l, s)
	return s, l.Addr().String(), nil
}

// Put writes an object as the operator and the runners do.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are literals
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	o, known := s.objects[kind][name]
	s.revision++
	if !known {
		o.Metadata = Metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec, o.Status = s.revision, spec, json.RawMessage("null")
	s.objects[kind][name] = o
	s.append(event{Object: o, kind: kind, revision: s.revision})
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
	s.append(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *Store) append(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire.ObjectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch q := r.URL.Query(); {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind, q.Get("after"))
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []Object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, wire.CurrentRevision: revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, wire.CurrentRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
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
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

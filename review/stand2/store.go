package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of an object of the platform's store.
type meta struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
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

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It answers
// at once and loses nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{} // closed at the next change
	address  string
}

func newStore() (*store, error) {
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go http.Serve(l, s)
	return s, nil
}

// put writes the spec of an object, as the operator and the runners do.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.set(kind, o)
	return nil
}

// set stores an object with the next revision. The caller holds the lock.
func (s *store) set(kind string, o object) {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(event{Object: o, kind: kind, revision: s.revision})
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.ObjectsPath), "/")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	json.NewEncoder(w).Encode(o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": false, wire.CurrentRevision: revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			json.NewEncoder(w).Encode(map[string]any{"events": events, wire.CurrentRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// write handles POST, PUT and DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = o.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	condition := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseInt(q, 10, 64)
	}
	create := r.Method == http.MethodPost
	switch {
	case create && exists, !create && exists && condition != 0 && condition != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(old)
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.publish(event{Object: old, Deleted: true, kind: kind, revision: s.revision})
		fmt.Fprint(w, "{}")
	default:
		o.Metadata.Name, o.Metadata.Created = name, old.Metadata.Created
		s.set(kind, o)
		json.NewEncoder(w).Encode(s.objects[kind][name])
	}
}

// Package objects is a small stand-in for the platform's object API, with
// object versions, watches, the instance list and injected faults. It keeps all
// data in memory and is for tests and demos only.
package objects

import (
	"sort"
	"strings"
	"sync"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// maxHistory is the number of past events from which a watch can resume.
const maxHistory = 4096

// Store holds versioned objects.
type Store struct {
	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
	history []platform.Event
	dropped int64 // version of the newest event no longer in history
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// Get returns an object, and whether it exists.
func (s *Store) Get(key string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Put writes an object if its current version is the given one (0: it doesn't
// exist), and returns the new version.
func (s *Store) Put(key string, value []byte, version int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return 0, platform.ErrConflict
	}
	s.version++
	o := platform.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = o
	s.appendEvent(platform.Event{Object: o})
	return s.version, nil
}

// Delete removes an object if its current version is the given one.
func (s *Store) Delete(key string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return platform.ErrNotFound
	}
	if o.Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	s.version++
	o.Version = s.version
	s.appendEvent(platform.Event{Object: o, Deleted: true})
	return nil
}

// List returns the objects whose keys have the prefix, sorted by key.
func (s *Store) List(prefix string) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version, Items: []platform.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list.Items = append(list.Items, o)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Key < list.Items[j].Key })
	return list
}

// EventsSince returns the events after a version for keys with the prefix, the
// current version and a channel that is closed at the next change. It returns
// platform.ErrVersionTooOld if the version is older than the history.
func (s *Store) EventsSince(prefix string, from int64) ([]platform.Event, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.dropped {
		return nil, 0, nil, platform.ErrVersionTooOld
	}
	var events []platform.Event
	for _, e := range s.history {
		if e.Object.Version > from && strings.HasPrefix(e.Object.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.version, s.changed, nil
}

// History returns the events for keys with the prefix that are still in the
// history, oldest first.
func (s *Store) History(prefix string) []platform.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []platform.Event{}
	for _, e := range s.history {
		if strings.HasPrefix(e.Object.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// appendEvent adds an event to the history and wakes the watches.
func (s *Store) appendEvent(e platform.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.dropped = s.history[0].Object.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

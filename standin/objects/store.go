// Package objects is a small stand-in for the platform's object API, with
// object versions, watches, the instance list and injected faults. It keeps all
// data in memory and is for tests and demos only.
package objects

import (
	"maps"
	"slices"
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
	state   state
	era     int64
	changed chan struct{}
}

// state is what a Copy preserves.
type state struct {
	version int64
	objects map[string]platform.Object
	history []platform.Event
	dropped int64 // version of the newest event no longer in history
}

func (s state) clone() state {
	s.objects, s.history = maps.Clone(s.objects), slices.Clone(s.history)
	return s
}

// Copy is the state of a store at one time.
type Copy struct{ state state }

// NewStore returns an empty store in era 1.
func NewStore() *Store {
	return &Store{state: state{objects: map[string]platform.Object{}}, era: 1, changed: make(chan struct{})}
}

// Copy returns a copy of the current state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.state.clone()}
}

// Restore replaces the state by an older copy and begins the next era. What was
// written since the copy is lost, and its versions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c.state.clone()
	s.era++
	s.wakeWatches()
}

// Era returns the current era. It rises by one at each restoration.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get returns an object, and whether it exists.
func (s *Store) Get(key string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.state.objects[key]
	return o, ok
}

// Put writes an object if its current version is the given one (0: it doesn't
// exist), and returns the new version.
func (s *Store) Put(key string, value []byte, version int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.objects[key].Version != version {
		return 0, platform.ErrConflict
	}
	s.state.version++
	o := platform.Object{Key: key, Version: s.state.version, Value: value}
	s.state.objects[key] = o
	s.appendEvent(platform.Event{Object: o})
	return s.state.version, nil
}

// Delete removes an object if its current version is the given one.
func (s *Store) Delete(key string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.state.objects[key]
	if !ok {
		return platform.ErrNotFound
	}
	if o.Version != version {
		return platform.ErrConflict
	}
	delete(s.state.objects, key)
	s.state.version++
	o.Version = s.state.version
	s.appendEvent(platform.Event{Object: o, Deleted: true})
	return nil
}

// List returns the objects whose keys have the prefix, sorted by key.
func (s *Store) List(prefix string) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.state.version, Items: []platform.Object{}}
	for key, o := range s.state.objects {
		if strings.HasPrefix(key, prefix) {
			list.Items = append(list.Items, o)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Key < list.Items[j].Key })
	return list
}

// EventsSince returns the events after a version for keys with the prefix, the
// current version and a channel that is closed at the next change. It returns
// platform.ErrVersionTooOld if the version is older than the history, or higher
// than the current one because it was given out before a restoration.
func (s *Store) EventsSince(prefix string, from int64) ([]platform.Event, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.state.dropped || from > s.state.version {
		return nil, 0, nil, platform.ErrVersionTooOld
	}
	var events []platform.Event
	for _, e := range s.state.history {
		if e.Object.Version > from && strings.HasPrefix(e.Object.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.state.version, s.changed, nil
}

// History returns the events for keys with the prefix that are still in the
// history, oldest first.
func (s *Store) History(prefix string) []platform.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []platform.Event{}
	for _, e := range s.state.history {
		if strings.HasPrefix(e.Object.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// appendEvent adds an event to the history and wakes the watches.
func (s *Store) appendEvent(e platform.Event) {
	s.state.history = append(s.state.history, e)
	if len(s.state.history) > maxHistory {
		s.state.dropped = s.state.history[0].Object.Version
		s.state.history = s.state.history[1:]
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

package prepared

import (
	"maps"
	"slices"
	"strconv"
)

// state is what a copy of the store holds.
type state struct {
	revision  int64
	objects   map[string]map[string]object // by kind, then name
	history   []event
	compacted int64 // revision up to which the history has been compacted
}

// clone returns a state that does not change with this one. Objects and events
// are replaced as a whole, so that both may refer to the same ones.
func (s state) clone() state {
	objects := map[string]map[string]object{}
	for kind, named := range s.objects {
		objects[kind] = maps.Clone(named)
	}
	return state{revision: s.revision, objects: objects, history: slices.Clone(s.history), compacted: s.compacted}
}

// Copy is the store's state as of a moment. It can be restored any number of
// times.
type Copy struct{ state state }

// Copy returns a copy of the current state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.state.clone()}
}

// Restore replaces the state by that of a copy and begins a new era: later
// writes are lost, and their revisions are given out again. A watch that waits
// gets 410 if it started at a revision that the store no longer has, and no
// response otherwise.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c.state.clone()
	s.era++
	s.notifyWatches()
}

// OmitEra leaves the era out of all responses, as older stores do.
func (s *Store) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitEra = true
}

// eraHeader returns the header that names the era; empty: none. The caller holds
// the lock.
func (s *Store) eraHeader() string {
	if s.omitEra {
		return ""
	}
	return strconv.FormatInt(s.era, 10)
}

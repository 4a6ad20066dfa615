package replica

import (
	"slices"
	"time"
)

// RecentChanges holds what changed in a router's copy between two revisions, for
// routers whose copy has reached the first one.
type RecentChanges struct {
	Position
	Since   int64 // revision of the same era
	Records []Record
	Removed []string
}

// recentWindow is how long changes are kept for RecentChanges.
const recentWindow = 2 * time.Second

// revisionChange lists all records that changed in one step of a collection, also
// those that were added and removed within it.
type revisionChange struct {
	at    time.Time
	from  int64 // revision of the collection before the step
	names []string
}

// recordRecent records which records changed and discards steps older than
// recentWindow. The caller holds the lock.
func (c *collection) recordRecent(now time.Time, from int64, names []string) {
	c.recent = slices.DeleteFunc(c.recent, func(t revisionChange) bool { return now.Sub(t.at) > recentWindow })
	c.recent = append(c.recent, revisionChange{at: now, from: from, names: names})
}

// resetRecent discards all steps. It is called when a copy has been replaced: what
// was added and removed in between is not known, so the replacement is no step
// that a copy at a revision in between could apply. The caller holds the lock.
func (c *collection) resetRecent() { c.recent = nil }

// RecentChanges returns what changed in a collection within the given time. It
// returns false if there was no step or the records exceed byteBudget.
func (r *Replica) RecentChanges(now time.Time, kind Kind, within time.Duration, byteBudget int) (RecentChanges, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.collections[kind]
	n := RecentChanges{Position: c.position}
	seen := map[string]bool{}
	for _, change := range c.recent {
		if now.Sub(change.at) > within {
			continue
		}
		if n.Since == 0 {
			n.Since = change.from
		}
		for _, name := range change.names {
			if seen[name] {
				continue
			}
			seen[name] = true
			rec, ok := c.records[name]
			if !ok {
				n.Removed = append(n.Removed, name)
				continue
			}
			n.Records = append(n.Records, rec)
			byteBudget -= len(rec.Data)
		}
	}
	return n, n.Since > 0 && byteBudget >= 0
}

// ApplyRecent applies another router's recent changes if they continue from the
// copy's position and reach beyond it. It reports whether it applied them.
func (r *Replica) ApplyRecent(now time.Time, kind Kind, n RecentChanges, from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || !c.loaded || c.position.Era != n.Era || c.position.Revision < n.Since || c.position.Revision >= n.Revision {
		return false
	}
	changes := Changes{Position: n.Position}
	for _, rec := range n.Records {
		changes.Changes = append(changes.Changes, Change{Record: rec})
	}
	for _, name := range n.Removed {
		changes.Changes = append(changes.Changes, Change{Record: Record{Name: name, Revision: n.Revision}, Deleted: true})
	}
	r.applyChanges(now, kind, c, changes, n.Revision, from)
	return true
}

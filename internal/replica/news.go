package replica

import (
	"slices"
	"time"
)

// RecentChanges is what changed in a router's copy between two revisions, for the
// routers that know all up to the first.
type RecentChanges struct {
	Since, Revision int64
	Records         []Record
	Removed         []string
	StoreFailureAge time.Duration // since the store last failed a call of that router; 0: it has not
}

// newsKept is how long changes are remembered as news.
const newsKept = 2 * time.Second

// turn is one change of a collection.
type turn struct {
	at    time.Time
	from  int64 // revision before it
	names []string
}

// remember notes that records changed; the lock is held.
func (c *collection) remember(now time.Time, from int64, names []string) {
	c.turns = slices.DeleteFunc(c.turns, func(t turn) bool { return now.Sub(t.at) > newsKept })
	c.turns = append(c.turns, turn{at: now, from: from, names: names})
}

// RecentChanges returns what changed in a collection within the given time; false if
// nothing did, or if it is more than so many bytes.
func (r *Replica) RecentChanges(now time.Time, kind Kind, within time.Duration, most int) (RecentChanges, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.collections[kind]
	n := RecentChanges{Revision: c.changed, StoreFailureAge: r.troubleAge(now)}
	seen := map[string]bool{}
	for _, t := range c.turns {
		if now.Sub(t.at) > within {
			continue
		}
		if len(seen) == 0 {
			n.Since = t.from
		}
		for _, name := range t.names {
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
			most -= len(rec.Data)
		}
	}
	return n, len(seen) > 0 && n.Since > 0 && most >= 0
}

// ApplyRecent takes over news that follow the copy. It reports whether anything
// changed.
func (r *Replica) ApplyRecent(now time.Time, kind Kind, n RecentChanges, from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || !c.known || c.changed < n.Since || c.changed >= n.Revision {
		return false
	}
	r.noteTrouble(now, n.StoreFailureAge)
	changes := Changes{Revision: n.Revision}
	for _, rec := range n.Records {
		changes.Changes = append(changes.Changes, Change{Record: rec})
	}
	for _, name := range n.Removed {
		changes.Changes = append(changes.Changes, Change{Record: Record{Name: name, Revision: n.Revision}, Deleted: true})
	}
	r.takeOver(now, kind, c, changes, from)
	c.changed = n.Revision
	return true
}

// troubleAge is how long ago the store last failed a call; 0: it has not. The
// lock is held.
func (r *Replica) troubleAge(now time.Time) time.Duration {
	if r.trouble.IsZero() {
		return 0
	}
	return max(now.Sub(r.trouble), time.Millisecond)
}

// noteTrouble takes over when another router's call last failed; the lock is
// held.
func (r *Replica) noteTrouble(now time.Time, age time.Duration) {
	if failed := now.Add(-age); age > 0 && failed.After(r.trouble) {
		r.trouble = failed
	}
}

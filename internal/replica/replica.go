// Package replica keeps a router's copy of the platform's records: the
// configuration, the endpoints and the zones that are out. Records come from
// the platform's store by list and watch, and from other routers that know
// newer ones, so that a router that is cut off from the store learns of
// changes too.
//
// Every collection carries the revision of its newest change. A copy only
// moves to higher revisions: what a router believes never goes back.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a collection of records.
type Kind string

// The collections.
const (
	Config    Kind = "config"
	Endpoints Kind = "endpoints"
	ZonesOut  Kind = "zones-out"
)

// Kinds lists all collections.
var Kinds = []Kind{Config, Endpoints, ZonesOut}

// Record is one object of the platform, not decoded.
type Record struct {
	Name     string
	Revision int64 // of its last change
	Data     []byte
}

// Snapshot is a collection as of a revision of the store.
type Snapshot struct {
	Revision int64
	Records  []Record
}

// Delta is what changed in a router's copy of a collection after a revision.
type Delta struct {
	Since           int64 // 0: everything
	Revision        int64
	Records         []Record      // that changed since
	Names           []string      // of all records there are
	StoreFailureAge time.Duration // since the store last failed a call of that router; 0: it has not
}

// ErrIncomplete says that a delta does not follow this router's copy.
var ErrIncomplete = errors.New("the delta leaves records out that are not known here")

// Change is one change of a collection.
type Change struct {
	Record
	Deleted bool
}

// Changes follow a revision.
type Changes struct {
	Changes  []Change
	Revision int64 // to continue from
}

// ErrCompacted says that the store has no history from the revision on.
var ErrCompacted = errors.New("the store has dropped this history")

// ErrWatchInterrupted says that the store ended a watch that was waiting; the store itself
// may be well.
var ErrWatchInterrupted = errors.New("the watch was cut off")

// Source reads the platform's store.
type Source interface {
	// List returns a collection as it is now.
	List(ctx context.Context, kind Kind) (Snapshot, error)
	// Watch returns what changed after a revision, or nothing after the wait.
	// The error may be ErrCompacted or ErrCut.
	Watch(ctx context.Context, kind Kind, since int64, wait time.Duration) (Changes, error)
}

// returnGrace is how long endpoints that lapsed while the store was away may
// stay away after its return; then they are gone.
const returnGrace = 2200 * time.Millisecond

// collection is the copy of one kind.
type collection struct {
	records map[string]Record
	lapsed  map[string]lapse
	changed int64  // revision of the newest change that is known
	known   bool   // there was a list
	reading bool   // this router's reads of the store succeed
	turns   []turn // of the last moments
	from    string
	at      time.Time
}

// lapse is a record that was removed while the store was away.
type lapse struct {
	record Record
	until  time.Time
}

// OriginStore is the origin of changes that this router read from the store.
const OriginStore = "store"

// View is a collection as it is to be used.
type View struct {
	Records  []Record
	Revision int64
	Origin   string // where the newest change came from: OriginStore or the name of a router
}

// Replica holds the copies. It is safe for concurrent use.
type Replica struct {
	mu          sync.Mutex
	collections map[Kind]*collection
	trouble     time.Time     // last time the store failed a call
	startDelay  time.Duration // before the first read of the store
	onChange    func(Kind, View)
}

// New returns a replica without records. onChange is called after each
// change, one call at a time.
func New(onChange func(Kind, View)) *Replica {
	r := &Replica{collections: map[Kind]*collection{}, onChange: onChange, startDelay: time.Duration(rand.Float64() * float64(startSpread))}
	for _, k := range Kinds {
		r.collections[k] = &collection{records: map[string]Record{}, lapsed: map[string]lapse{}}
	}
	return r
}

// Revisions returns the newest change known of each collection; a collection
// that was never read is left out.
func (r *Replica) Revisions() map[Kind]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Kind]int64{}
	for k, c := range r.collections {
		if c.known {
			out[k] = c.changed
		}
	}
	return out
}

// DeltaSince returns what another router needs that knows a collection up to a
// revision; false if the collection was never read here.
func (r *Replica) DeltaSince(now time.Time, kind Kind, since int64) (Delta, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || !c.known {
		return Delta{}, false
	}
	d := Delta{Since: since, Revision: c.changed, StoreFailureAge: r.troubleAge(now)}
	for name, rec := range c.records {
		d.Names = append(d.Names, name)
		if rec.Revision > since {
			d.Records = append(d.Records, rec)
		}
	}
	return d, true
}

func (c *collection) list() []Record {
	out := make([]Record, 0, len(c.records))
	for _, rec := range c.records {
		out = append(out, rec)
	}
	return out
}

// Complete reports whether every collection is known.
func (r *Replica) Complete() bool { return len(r.Revisions()) == len(Kinds) }

// ReadsStore reports whether this router reads all collections from the store.
func (r *Replica) ReadsStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.collections {
		if !c.reading {
			return false
		}
	}
	return true
}

func (r *Replica) setReading(kind Kind, reading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collections[kind].reading = reading
}

// RecordStoreFailure notes that the store failed a call.
func (r *Replica) RecordStoreFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trouble = now
}

// ApplySnapshot takes a whole collection over if it is newer than the copy. It
// reports whether anything changed.
func (r *Replica) ApplySnapshot(now time.Time, kind Kind, s Snapshot, from string) bool {
	next := make(map[string]Record, len(s.Records))
	for _, rec := range s.Records {
		next[rec.Name] = rec
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adopt(now, kind, s.Revision, next, from)
}

// ApplyDelta takes over what changed in another router's copy, if that is newer. It
// reports whether anything changed.
func (r *Replica) ApplyDelta(now time.Time, kind Kind, d Delta, from string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteTrouble(now, d.StoreFailureAge)
	c, ok := r.collections[kind]
	if !ok || c.known && d.Revision < c.changed {
		return false, nil
	}
	next := make(map[string]Record, len(d.Names))
	for _, rec := range d.Records {
		next[rec.Name] = rec
	}
	for _, name := range d.Names {
		if _, changed := next[name]; changed {
			continue
		}
		own, known := c.records[name]
		if !known {
			return false, ErrIncomplete
		}
		next[name] = own
	}
	return r.adopt(now, kind, d.Revision, next, from), nil
}

// adopt replaces a collection; the lock is held.
func (r *Replica) adopt(now time.Time, kind Kind, revision int64, next map[string]Record, from string) bool {
	c, ok := r.collections[kind]
	if !ok || c.known && revision < c.changed {
		return false
	}
	var differing []string
	for name, old := range c.records {
		if _, ok := next[name]; !ok {
			differing = append(differing, name)
			r.remove(now, kind, c, old)
		}
	}
	for name, rec := range next {
		if c.records[name].Revision != rec.Revision {
			differing = append(differing, name)
		}
		delete(c.lapsed, name)
	}
	if len(differing) == 0 && c.known {
		return false
	}
	c.remember(now, c.changed, differing)
	c.records, c.changed, c.known = next, max(c.changed, revision), true
	r.publish(now, kind, c, from)
	return true
}

// remove notes that a record is gone. An endpoint's record that went while
// the store was away may have lapsed only for that: it is kept for as long as
// the endpoint has to renew it.
func (r *Replica) remove(now time.Time, kind Kind, c *collection, old Record) {
	delete(c.records, old.Name)
	if until := r.trouble.Add(returnGrace); kind == Endpoints && !r.trouble.IsZero() && now.Before(until) {
		c.lapsed[old.Name] = lapse{record: old, until: until}
	}
}

// ApplyChanges takes changes over that follow the copy.
func (r *Replica) ApplyChanges(now time.Time, kind Kind, changes Changes, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeOver(now, kind, r.collections[kind], changes, from)
}

// takeOver applies changes to a collection; the lock is held.
func (r *Replica) takeOver(now time.Time, kind Kind, c *collection, changes Changes, from string) {
	before, newest := c.changed, c.changed
	var differing []string
	for _, ch := range changes.Changes {
		if revision := r.apply(now, kind, c, ch, changes.Revision); revision > 0 {
			newest = max(newest, revision)
			differing = append(differing, ch.Name)
		}
	}
	c.changed = newest
	if len(differing) > 0 {
		c.remember(now, before, differing)
		r.publish(now, kind, c, from)
	}
}

// apply takes one change over. It returns the revision up to which the copy
// then knows the record's history, or 0 if the change was known: an unknown
// record that is older than the copy was removed since. upTo is the revision
// up to which the changes reach; a removal has none of its own.
func (r *Replica) apply(now time.Time, kind Kind, c *collection, ch Change, upTo int64) int64 {
	old, known := c.records[ch.Name]
	if ch.Deleted {
		if !known || old.Revision > ch.Revision {
			return 0
		}
		r.remove(now, kind, c, old)
		return max(ch.Revision, upTo)
	}
	if known && old.Revision >= ch.Revision || !known && ch.Revision <= c.changed {
		return 0
	}
	c.records[ch.Name] = ch.Record
	delete(c.lapsed, ch.Name)
	return ch.Revision
}

// Expire drops endpoints whose records lapsed and did not return.
func (r *Replica) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, c := range r.collections {
		dropped := false
		for name, l := range c.lapsed {
			if !now.Before(l.until) {
				delete(c.lapsed, name)
				dropped = true
			}
		}
		if dropped {
			r.publish(now, kind, c, c.from)
		}
	}
}

func (r *Replica) publish(now time.Time, kind Kind, c *collection, from string) {
	c.from, c.at = from, now
	v := View{Records: c.list(), Revision: c.changed, Origin: from}
	for _, l := range c.lapsed {
		v.Records = append(v.Records, l.record)
	}
	r.onChange(kind, v)
}

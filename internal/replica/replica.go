// Package replica keeps a router's copy of the platform's records: the
// configuration, the endpoints and the zones that are out of service. Records
// are read from the platform's store by list and watch, and from other routers
// that have newer ones, so that a router that can't reach the store also learns
// of changes.
//
// Every collection carries the revision of its newest change. A copy only moves
// to higher revisions, so a router never returns to an older state.
//
// The caller runs Follow for each collection and RunExpiry, and learns of changes
// from the function that it passes to New.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind identifies a collection of records.
type Kind string

// The collections.
const (
	Config    Kind = "config"
	Endpoints Kind = "endpoints"
	ZonesOut  Kind = "zones-out"
)

// Kinds lists all collections.
var Kinds = []Kind{Config, Endpoints, ZonesOut}

// Record is one object of the platform's store, not decoded.
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

// Delta holds what changed in a router's copy of a collection after a revision.
type Delta struct {
	Since    int64 // revision after which it starts; 0: everything
	Revision int64
	Records  []Record // that changed after Since
	Names    []string // of all records in the collection
}

// ErrIncomplete means that a delta omits unchanged records that this router's
// copy does not have.
var ErrIncomplete = errors.New("delta omits records that the local copy lacks")

// Change is the change of one record.
type Change struct {
	Record
	Deleted bool
}

// Changes are the changes of a collection after a revision.
type Changes struct {
	Changes  []Change
	Revision int64 // from which the next watch continues
}

// ErrCompacted means that the store no longer keeps the history after the
// requested revision, so the collection has to be listed again.
var ErrCompacted = errors.New("store has compacted the history after this revision")

// ErrWatchInterrupted means that the store ended a pending watch. The store
// itself may be healthy.
var ErrWatchInterrupted = errors.New("store interrupted the watch")

// Source reads the platform's store.
type Source interface {
	// List returns the current state of a collection.
	List(ctx context.Context, kind Kind) (Snapshot, error)
	// Watch returns what changed after a revision. It waits for a change, and
	// returns without one when the wait is over. The error may be ErrCompacted
	// or ErrWatchInterrupted.
	Watch(ctx context.Context, kind Kind, since int64, wait time.Duration) (Changes, error)
}

const (
	// renewalGrace is how long after the end of an outage of the store an endpoint
	// whose record expired is retained. An endpoint that has not renewed its record
	// by then is removed.
	renewalGrace = 2200 * time.Millisecond
	// minOutage is how long no router must have read the store until that counts
	// as an outage. It covers the time in which routers replace readers that the
	// store refuses.
	minOutage = 500 * time.Millisecond
)

// collection is the copy of one kind.
type collection struct {
	records     map[string]Record
	retained    map[string]retainedRecord
	revision    int64            // revision of the newest known change
	loaded      bool             // has been read at least once
	reading     bool             // this router's reads of the store succeed
	recent      []revisionChange // changes within recentWindow
	origin      string
	publishedAt time.Time
}

// retainedRecord is a record that was removed during or shortly after an outage
// of the store.
type retainedRecord struct {
	record Record
	until  time.Time
}

// OriginStore is the origin of changes that this router read from the store itself.
const OriginStore = "store"

// View is the state of a collection that the router acts on: its records and the
// retained ones.
type View struct {
	Records  []Record
	Retained []string // names of those records that the store has removed
	Revision int64
	Origin   string // source of the newest change: OriginStore or the name of a router
}

// Replica holds the copies of all collections. It is safe for concurrent use.
type Replica struct {
	mu          sync.Mutex
	collections map[Kind]*collection
	unreadSince time.Time     // since when no router reads the store; zero: one does
	lastOutage  time.Time     // when the store was last known to be unavailable to all routers
	startDelay  time.Duration // before the first read of the store
	onChange    func(Kind, View)
}

// New returns a replica without records. onChange is called after each change.
// The calls don't overlap, and onChange must not call the replica, whose lock is
// held.
func New(onChange func(Kind, View)) *Replica {
	r := &Replica{collections: map[Kind]*collection{}, onChange: onChange, startDelay: time.Duration(rand.Float64() * float64(startJitter))}
	for _, k := range Kinds {
		r.collections[k] = &collection{records: map[string]Record{}, retained: map[string]retainedRecord{}}
	}
	return r
}

// Revisions returns the revision of the newest known change of each collection.
// It omits collections that were never read.
func (r *Replica) Revisions() map[Kind]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Kind]int64{}
	for k, c := range r.collections {
		if c.loaded {
			out[k] = c.revision
		}
	}
	return out
}

// DeltaSince returns what changed in a collection after a revision, for a router
// whose copy is at that revision. It returns false if this router has never read
// the collection.
func (r *Replica) DeltaSince(kind Kind, since int64) (Delta, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || !c.loaded {
		return Delta{}, false
	}
	d := Delta{Since: since, Revision: c.revision}
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

// Complete reports whether every collection has been read.
func (r *Replica) Complete() bool { return len(r.Revisions()) == len(Kinds) }

// ReadsStore reports whether this router's reads of the store succeed for all
// collections.
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

// RecordReadable records whether any router reads the store successfully. A
// failure of single routers is no outage: the others read what is removed.
func (r *Replica) RecordReadable(now time.Time, readable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case readable:
		r.unreadSince = time.Time{}
	case r.unreadSince.IsZero():
		r.unreadSince = now
	case now.Sub(r.unreadSince) >= minOutage:
		r.lastOutage = now
	}
}

// ApplySnapshot replaces a collection by a snapshot unless the copy is newer. It
// reports whether anything changed.
func (r *Replica) ApplySnapshot(now time.Time, kind Kind, s Snapshot, from string) bool {
	next := make(map[string]Record, len(s.Records))
	for _, rec := range s.Records {
		next[rec.Name] = rec
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replaceRecords(now, kind, s.Revision, next, from)
}

// ApplyDelta applies the changes of another router's copy unless this one is
// newer. It reports whether anything changed.
func (r *Replica) ApplyDelta(now time.Time, kind Kind, d Delta, from string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || c.loaded && d.Revision < c.revision {
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
	return r.replaceRecords(now, kind, d.Revision, next, from), nil
}

// replaceRecords replaces the records of a collection unless the copy is newer.
// The caller holds the lock.
func (r *Replica) replaceRecords(now time.Time, kind Kind, revision int64, next map[string]Record, from string) bool {
	c, ok := r.collections[kind]
	if !ok || c.loaded && revision < c.revision {
		return false
	}
	changed := !c.loaded
	for name, old := range c.records {
		if _, ok := next[name]; !ok {
			changed = true
			r.removeRecord(now, kind, c, old)
		}
	}
	for name, rec := range next {
		changed = changed || c.records[name].Revision != rec.Revision
		delete(c.retained, name)
	}
	if !changed {
		if revision > c.revision {
			c.resetRecent()
			c.revision = revision
		}
		return false
	}
	c.resetRecent()
	c.records, c.revision, c.loaded = next, max(c.revision, revision), true
	r.publish(now, kind, c, from)
	return true
}

// removeRecord removes a record. An endpoint's record that is removed during or
// soon after an outage of the store may have expired only because the endpoint
// could not renew it, so it is retained until renewalGrace is over.
func (r *Replica) removeRecord(now time.Time, kind Kind, c *collection, old Record) {
	delete(c.records, old.Name)
	if until := r.lastOutage.Add(renewalGrace); kind == Endpoints && now.Before(until) {
		c.retained[old.Name] = retainedRecord{record: old, until: until}
	}
}

// ApplyChanges applies changes that continue from the copy's revision.
func (r *Replica) ApplyChanges(now time.Time, kind Kind, changes Changes, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyChanges(now, kind, r.collections[kind], changes, 0, from)
}

// applyChanges applies changes to a collection, whose revision is at least atLeast
// afterwards. The caller holds the lock.
func (r *Replica) applyChanges(now time.Time, kind Kind, c *collection, changes Changes, atLeast int64, from string) {
	before, newest := c.revision, max(c.revision, atLeast)
	var names []string
	changed := false
	for _, ch := range changes.Changes {
		names = append(names, ch.Name)
		if revision := r.applyChange(now, kind, c, ch, changes.Revision); revision > 0 {
			newest = max(newest, revision)
			changed = true
		}
	}
	c.revision = newest
	if newest > before || changed {
		c.recordRecent(now, before, names)
	}
	if changed {
		r.publish(now, kind, c, from)
	}
}

// applyChange applies one change. It returns the revision up to which the copy
// then has the record's history, or 0 if the change was already known. A change
// of a record that the copy lacks counts as known if it is no newer than the
// copy: the record has been removed since. upTo is the revision up to which the
// changes reach, for removals, which have no revision of their own.
func (r *Replica) applyChange(now time.Time, kind Kind, c *collection, ch Change, upTo int64) int64 {
	old, known := c.records[ch.Name]
	if ch.Deleted {
		if !known || old.Revision > ch.Revision {
			return 0
		}
		r.removeRecord(now, kind, c, old)
		return max(ch.Revision, upTo)
	}
	if known && old.Revision >= ch.Revision || !known && ch.Revision <= c.revision {
		return 0
	}
	c.records[ch.Name] = ch.Record
	delete(c.retained, ch.Name)
	return ch.Revision
}

// Expire removes retained endpoints whose grace period is over.
func (r *Replica) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, c := range r.collections {
		dropped := false
		for name, kept := range c.retained {
			if !now.Before(kept.until) {
				delete(c.retained, name)
				dropped = true
			}
		}
		if dropped {
			r.publish(now, kind, c, c.origin)
		}
	}
}

func (r *Replica) publish(now time.Time, kind Kind, c *collection, from string) {
	c.origin, c.publishedAt = from, now
	v := View{Records: c.list(), Revision: c.revision, Origin: from}
	for _, l := range c.retained {
		v.Records = append(v.Records, l.record)
		v.Retained = append(v.Retained, l.record.Name)
	}
	r.onChange(kind, v)
}

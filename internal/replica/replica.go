// Package replica keeps a router's copy of the platform's records: the
// configuration, the endpoints and the zones that are out of service. Records
// are read from the platform's store by list and watch, and from other routers
// that have newer ones, so that a router that can't reach the store also learns
// of changes.
//
// Every collection carries its position: the store's era and the revision of its
// newest change. A copy only moves to higher positions, so a router never returns
// to an older state.
//
// A store that has been restored from an older copy begins a new era. Its first
// list of that era replaces the copy, but what this router knows beyond it is not
// dropped at once: see View.
//
// The caller runs Follow for each collection and RunExpiry, and learns of changes
// from the function that it passes to New.
package replica

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// renewalGrace is how long after the end of an outage of the store an endpoint
	// whose record expired is retained. An endpoint that has not renewed its record
	// by then is removed.
	renewalGrace = 2200 * time.Millisecond
	// minOutage is how long no router must have read the store until that counts
	// as an outage. It covers the time in which routers replace readers that the
	// store refuses.
	minOutage = 500 * time.Millisecond
	// rewriteGrace is how long after this router has learned of an era a zone that is
	// out of service is retained if the restored copy lacks its record. An operator
	// needs seconds to write again what the store has lost.
	rewriteGrace = 30 * time.Second
	// entryLifetime exceeds the time for which the store keeps the record of an
	// endpoint that has stopped writing: three of its intervals, which are taken to be
	// 1.2 s.
	entryLifetime = 5 * time.Second
)

// collection is the copy of one kind.
type collection struct {
	records     map[string]Record
	retained    map[string]retainedRecord
	unconfirmed map[string]time.Time // see View.Unconfirmed; until when they count as such
	position    Position             // of the newest known change
	loaded      bool                 // has been read at least once
	reading     bool                 // this router's reads of the store succeed
	recent      []revisionChange     // changes within recentWindow
	origin      string
	publishedAt time.Time
}

// retainedRecord is a record that was removed during or shortly after an outage
// of the store, or that a restored copy lacks.
type retainedRecord struct {
	record      Record
	until       time.Time
	unconfirmed bool
}

// OriginStore is the origin of changes that this router read from the store itself.
const OriginStore = "store"

// View is the state of a collection that the router acts on: its records and the
// retained ones.
type View struct {
	Position
	Records  []Record
	Retained []string // names of those records that the store has removed
	// Unconfirmed holds the names of endpoints whose records come from a restored copy
	// and have not changed since, retained ones among them: they may be older than what
	// this router knew before.
	Unconfirmed []string
	Origin      string // source of the newest change: OriginStore or the name of a router
}

// Replica holds the copies of all collections. It is safe for concurrent use.
type Replica struct {
	mu          sync.Mutex
	collections map[Kind]*collection
	unreadSince time.Time     // since when no router reads the store; zero: one does
	lastOutage  time.Time     // when the store was last known to be unavailable to all routers
	startDelay  time.Duration // before the first read of the store
	kinds       []Kind        // that are followed
	onChange    func(Kind, View)
}

// New returns a replica of Kinds and of the given further ones, without records.
// onChange is called after each change. The calls don't overlap, and onChange must not
// call the replica, whose lock is held.
func New(onChange func(Kind, View), further ...Kind) *Replica {
	r := &Replica{kinds: append(slices.Clone(Kinds), further...), collections: map[Kind]*collection{}, onChange: onChange, startDelay: time.Duration(rand.Float64() * float64(startJitter))}
	for _, k := range r.kinds {
		r.collections[k] = &collection{records: map[string]Record{}, retained: map[string]retainedRecord{}, unconfirmed: map[string]time.Time{}}
	}
	return r
}

// Positions returns the position of the newest known change of each collection.
// It omits collections that were never read.
func (r *Replica) Positions() map[Kind]Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Kind]Position{}
	for k, c := range r.collections {
		if c.loaded {
			out[k] = c.position
		}
	}
	return out
}

// DeltaSince returns what changed in a collection after a position, for a router
// whose copy is there: everything if that is of another era. It returns false if
// this router has never read the collection.
func (r *Replica) DeltaSince(kind Kind, after Position) (Delta, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || !c.loaded {
		return Delta{}, false
	}
	d := Delta{Position: c.position}
	if after.Era == c.position.Era {
		d.Since = after.Revision
	}
	for name, rec := range c.records {
		d.Names = append(d.Names, name)
		if rec.Revision > d.Since {
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

// Kinds returns the collections that this router follows.
func (r *Replica) Kinds() []Kind { return r.kinds }

// Complete reports whether every collection has been read that is followed.
func (r *Replica) Complete() bool { return len(r.Positions()) == len(r.kinds) }

// ReadsStore reports whether this router's reads of the store succeed for all of Kinds.
// Further collections have other readers.
func (r *Replica) ReadsStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range Kinds {
		if !r.collections[kind].reading {
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
		r.extendGraces(now)
	}
}

// OutOfDate reports whether endpoints may be in another state than their records say,
// since no router reads the store or, for renewalGrace after an outage, since not all of
// them may have written to it again.
func (r *Replica) OutOfDate(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unreadSince.IsZero() || now.Sub(r.lastOutage) < renewalGrace
}

// extendGraces has the grace periods of endpoints begin anew: while the store is away,
// endpoints can't write to it, and it removes nothing.
func (r *Replica) extendGraces(now time.Time) {
	c := r.collections[Endpoints]
	for name, kept := range c.retained {
		kept.until = now.Add(renewalGrace)
		c.retained[name] = kept
	}
	for name := range c.unconfirmed {
		c.unconfirmed[name] = now.Add(entryLifetime)
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
	return r.replaceRecords(now, kind, s.Position, next, from)
}

// ApplyDelta applies the changes of another router's copy unless this one is
// newer. It reports whether anything changed.
func (r *Replica) ApplyDelta(now time.Time, kind Kind, d Delta, from string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.collections[kind]
	if !ok || c.loaded && d.Position.Before(c.position) {
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
		if !known || d.Era != c.position.Era {
			return false, ErrIncomplete
		}
		next[name] = own
	}
	return r.replaceRecords(now, kind, d.Position, next, from), nil
}

// replaceRecords replaces the records of a collection unless the copy is newer.
// The caller holds the lock.
func (r *Replica) replaceRecords(now time.Time, kind Kind, at Position, next map[string]Record, from string) bool {
	c, ok := r.collections[kind]
	if !ok || !at.valid() || c.loaded && at.Before(c.position) {
		return false
	}
	restored := c.loaded && at.Era > c.position.Era
	changed := !c.loaded || restored
	for name, old := range c.records {
		if _, ok := next[name]; !ok {
			changed = true
			r.removeRecord(now, kind, c, old, restored)
		}
	}
	for name, rec := range next {
		changed = changed || c.records[name].Revision != rec.Revision
		delete(c.retained, name)
		switch {
		case restored && kind == Endpoints && rec.Revision <= c.position.Revision:
			c.unconfirmed[name] = now.Add(entryLifetime)
		case restored, c.records[name].Revision != rec.Revision: // newer than all that was known
			delete(c.unconfirmed, name)
		}
	}
	if restored && kind == Endpoints {
		for name, kept := range c.retained {
			kept.until = now.Add(renewalGrace)
			c.retained[name] = kept
		}
	}
	if !changed {
		if c.position.Before(at) {
			c.resetRecent()
			c.position = at
		}
		return false
	}
	c.resetRecent()
	c.records, c.position, c.loaded = next, at, true
	r.publish(now, kind, c, from)
	return true
}

// removeRecord removes a record, and retains it where its absence may not be meant.
func (r *Replica) removeRecord(now time.Time, kind Kind, c *collection, old Record, restored bool) {
	_, unconfirmed := c.unconfirmed[old.Name]
	delete(c.records, old.Name)
	delete(c.unconfirmed, old.Name)
	if until := r.retainUntil(now, kind, restored); now.Before(until) {
		c.retained[old.Name] = retainedRecord{record: old, until: until, unconfirmed: unconfirmed}
	}
}

// retainUntil returns until when a record that the store lacks now is retained. An
// endpoint's record that is removed during or soon after an outage of the store may
// have expired only because the endpoint could not renew it. What a restored copy
// lacks is written again by those who wrote it.
func (r *Replica) retainUntil(now time.Time, kind Kind, restored bool) time.Time {
	switch {
	case kind == Endpoints && restored:
		return now.Add(renewalGrace)
	case kind == Endpoints:
		return r.lastOutage.Add(renewalGrace)
	case kind == ZonesOut && restored:
		return now.Add(rewriteGrace)
	}
	return time.Time{}
}

// ApplyChanges applies changes that continue from the copy's position, unless they
// are of another era.
func (r *Replica) ApplyChanges(now time.Time, kind Kind, changes Changes, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.collections[kind]; changes.Era == c.position.Era {
		r.applyChanges(now, kind, c, changes, 0, from)
	}
}

// applyChanges applies changes to a collection, whose revision is at least atLeast
// afterwards. The caller holds the lock.
func (r *Replica) applyChanges(now time.Time, kind Kind, c *collection, changes Changes, atLeast int64, from string) {
	before, newest := c.position.Revision, max(c.position.Revision, atLeast)
	var names []string
	changed := false
	for _, ch := range changes.Changes {
		names = append(names, ch.Name)
		if revision := r.applyChange(now, kind, c, ch, changes.Revision); revision > 0 {
			newest = max(newest, revision)
			changed = true
		}
	}
	c.position.Revision = newest
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
		if _, retained := c.retained[ch.Name]; retained && !known && kind == ZonesOut {
			delete(c.retained, ch.Name) // it was written again and removed
			return upTo
		}
		if !known || old.Revision > ch.Revision {
			return 0
		}
		r.removeRecord(now, kind, c, old, false)
		return max(ch.Revision, upTo)
	}
	if known && old.Revision >= ch.Revision || !known && ch.Revision <= c.position.Revision {
		return 0
	}
	c.records[ch.Name] = ch.Record
	delete(c.retained, ch.Name)
	delete(c.unconfirmed, ch.Name)
	return ch.Revision
}

// Expire drops retained records whose grace period is over, and confirms records of
// a restored copy that the store has kept for entryLifetime.
func (r *Replica) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, c := range r.collections {
		before := len(c.retained) + len(c.unconfirmed)
		maps.DeleteFunc(c.retained, func(_ string, kept retainedRecord) bool { return !now.Before(kept.until) })
		maps.DeleteFunc(c.unconfirmed, func(_ string, until time.Time) bool { return !now.Before(until) })
		if len(c.retained)+len(c.unconfirmed) < before {
			r.publish(now, kind, c, c.origin)
		}
	}
}

func (r *Replica) publish(now time.Time, kind Kind, c *collection, from string) {
	c.origin, c.publishedAt = from, now
	v := View{Position: c.position, Records: c.list(), Unconfirmed: slices.Collect(maps.Keys(c.unconfirmed)), Origin: from}
	for _, l := range c.retained {
		v.Records = append(v.Records, l.record)
		v.Retained = append(v.Retained, l.record.Name)
		if l.unconfirmed {
			v.Unconfirmed = append(v.Unconfirmed, l.record.Name)
		}
	}
	r.onChange(kind, v)
}

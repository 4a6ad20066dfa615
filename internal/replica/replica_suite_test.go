package replica_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Replica")
}

var start = time.Unix(1_000_000, 0)

func record(name string, revision int64) replica.Record {
	return replica.Record{Name: name, Revision: revision, Data: []byte("{}")}
}

func at(revision int64) replica.Position { return replica.Position{Revision: revision} }

func snapshot(revision int64, records ...replica.Record) replica.Snapshot {
	return replica.Snapshot{Position: at(revision), Records: records}
}

func names(v replica.View) []string {
	var out []string
	for _, r := range v.Records {
		out = append(out, fmt.Sprint(r.Name, "@", r.Revision))
	}
	slices.Sort(out)
	return out
}

var _ = Describe("Replica", func() {
	var r *replica.Replica
	var last replica.View
	var calls int
	BeforeEach(func() {
		calls = 0
		r = replica.New(func(_ replica.Kind, v replica.View) { last = v; calls++ })
		r.ApplySnapshot(start, replica.Endpoints, snapshot(10, record("a", 3), record("b", 5)), "store")
	})
	apply := func(revision int64, changes ...replica.Change) {
		r.ApplyChanges(start, replica.Endpoints, replica.Changes{Changes: changes, Position: at(revision)}, "store")
	}

	It("applies changes", func() {
		apply(12, replica.Change{Record: record("a", 12)}, replica.Change{Record: record("b", 5), Deleted: true}, replica.Change{Record: record("c", 11)})
		Expect(names(last)).To(Equal([]string{"a@12", "c@11"}))
	})

	It("ignores changes that it already has", func() {
		apply(12, replica.Change{Record: record("a", 3)})
		apply(12, replica.Change{Record: record("z", 2), Deleted: true})
		Expect(r.ApplySnapshot(start, replica.Endpoints, snapshot(11, record("a", 3), record("b", 5)), "peer")).To(BeFalse())
		Expect(calls).To(Equal(1))
	})

	It("accepts newer snapshots from a peer and rejects older ones", func() {
		Expect(r.ApplySnapshot(start, replica.Endpoints, snapshot(9, record("a", 2)), "peer")).To(BeFalse())
		Expect(r.ApplySnapshot(start, replica.Endpoints, snapshot(15, record("a", 3)), "peer")).To(BeTrue())
		Expect(names(last)).To(Equal([]string{"a@3"}))
		Expect(last.Origin).To(Equal("peer"))
		By("ignoring older events of the store for a removed record")
		apply(13, replica.Change{Record: record("b", 12)})
		Expect(names(last)).To(Equal([]string{"a@3"}))
	})

	outage := func() {
		r.RecordReadable(start.Add(-600*time.Millisecond), false)
		r.RecordReadable(start, false)
	}

	It("retains endpoints whose records expired during an outage of the store for a grace period", func() {
		outage()
		r.ApplySnapshot(start.Add(time.Second), replica.Endpoints, snapshot(20, record("a", 3)), "store")
		Expect(names(last)).To(Equal([]string{"a@3", "b@5"}))
		r.Expire(start.Add(2100 * time.Millisecond))
		Expect(names(last)).To(HaveLen(2))
		r.Expire(start.Add(2300 * time.Millisecond))
		Expect(names(last)).To(Equal([]string{"a@3"}))
	})

	It("removes endpoints at once while another router reads the store", func() {
		r.RecordReadable(start.Add(-600*time.Millisecond), false)
		r.RecordReadable(start, true)
		r.RecordReadable(start.Add(100*time.Millisecond), false)
		r.ApplySnapshot(start.Add(200*time.Millisecond), replica.Endpoints, snapshot(20, record("a", 3)), "store")
		Expect(names(last)).To(Equal([]string{"a@3"}))
	})

	It("removes endpoints at once if there was no outage recently", func() {
		outage()
		r.ApplySnapshot(start.Add(3*time.Second), replica.Endpoints, snapshot(20, record("a", 3)), "store")
		Expect(names(last)).To(Equal([]string{"a@3"}))
	})

	It("replaces a retained endpoint when its record is renewed", func() {
		outage()
		r.ApplySnapshot(start.Add(time.Second), replica.Endpoints, snapshot(20, record("a", 3)), "store")
		apply(21, replica.Change{Record: record("b", 21)})
		Expect(names(last)).To(Equal([]string{"a@3", "b@21"}))
	})

	It("returns recent changes and applies those that continue from its copy", func() {
		other := replica.New(func(replica.Kind, replica.View) {})
		other.ApplySnapshot(start, replica.Endpoints, snapshot(10, record("a", 3), record("b", 5)), "store")
		_, ok := r.RecentChanges(start.Add(3*time.Second), replica.Endpoints, time.Second, 1000)
		Expect(ok).To(BeFalse(), "nothing changed recently")
		r.ApplyChanges(start.Add(4*time.Second), replica.Endpoints, replica.Changes{Position: at(14), Changes: []replica.Change{{Record: record("c", 12)}, {Record: record("b", 5), Deleted: true}}}, "store")
		n, ok := r.RecentChanges(start.Add(4*time.Second), replica.Endpoints, time.Second, 1000)
		Expect(ok).To(BeTrue())
		Expect(n.Since).To(Equal(int64(10)))
		Expect(n.Revision).To(Equal(int64(14)))
		Expect(n.Removed).To(Equal([]string{"b"}))
		Expect(other.ApplyRecent(start.Add(4*time.Second), replica.Endpoints, n, "peer")).To(BeTrue())
		Expect(other.ApplyRecent(start.Add(4*time.Second), replica.Endpoints, n, "peer")).To(BeFalse(), "already applied")
		Expect(other.Positions()[replica.Endpoints]).To(Equal(at(14)))
		behind := replica.New(func(replica.Kind, replica.View) {})
		behind.ApplySnapshot(start, replica.Endpoints, snapshot(8, record("a", 3)), "store")
		Expect(behind.ApplyRecent(start, replica.Endpoints, n, "peer")).To(BeFalse(), "gap between the copy and the changes")
		_, ok = r.RecentChanges(start.Add(4*time.Second), replica.Endpoints, time.Second, 1)
		Expect(ok).To(BeFalse(), "larger than the byte budget")
	})

	It("takes over the revision of an equal copy, so that it is not fetched again and again", func() {
		other := replica.New(func(replica.Kind, replica.View) {})
		other.ApplySnapshot(start, replica.Endpoints, snapshot(14, record("a", 3), record("b", 5)), "store")
		d, ok := other.DeltaSince(replica.Endpoints, r.Positions()[replica.Endpoints])
		Expect(ok).To(BeTrue())
		changed, err := r.ApplyDelta(start, replica.Endpoints, d, "peer")
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeFalse())
		Expect(r.Positions()).To(HaveKeyWithValue(replica.Endpoints, at(14)))
		By("passing the revision on with the next change")
		other.ApplyChanges(start, replica.Endpoints, replica.Changes{Position: at(15), Changes: []replica.Change{{Record: record("c", 15)}}}, "store")
		n, ok := other.RecentChanges(start, replica.Endpoints, time.Second, 1000)
		Expect(ok).To(BeTrue())
		Expect(r.ApplyRecent(start, replica.Endpoints, n, "peer")).To(BeTrue())
		Expect(names(last)).To(Equal([]string{"a@3", "b@5", "c@15"}))
	})

	It("does not keep an endpoint that was added and removed while a peer skipped revisions", func() {
		apply(12, replica.Change{Record: record("short-lived", 12)})
		other := replica.New(func(replica.Kind, replica.View) {})
		other.ApplySnapshot(start.Add(-time.Minute), replica.Endpoints, snapshot(10, record("a", 3), record("b", 5)), "store")
		other.ApplySnapshot(start, replica.Endpoints, snapshot(14, record("a", 3), record("b", 14)), "store")
		if n, ok := other.RecentChanges(start, replica.Endpoints, time.Second, 1000); ok {
			r.ApplyRecent(start, replica.Endpoints, n, "peer")
		}
		if known := r.Positions()[replica.Endpoints]; known.Revision < 14 { // a router fetches from a peer with a higher revision only
			d, _ := other.DeltaSince(replica.Endpoints, known)
			_, err := r.ApplyDelta(start, replica.Endpoints, d, "peer")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(names(last)).To(Equal([]string{"a@3", "b@14"}))
	})

	It("is complete once every collection has been read", func() {
		// Guards against a router that reports itself ready before it knows any
		// endpoint, as was once observed.
		Expect(r.Complete()).To(BeFalse())
		r.ApplySnapshot(start, replica.Config, snapshot(11, record("main", 11)), "store")
		Expect(r.Complete()).To(BeFalse())
		r.ApplySnapshot(start, replica.ZonesOut, snapshot(11), "store")
		Expect(r.Complete()).To(BeTrue())
	})

	It("returns deltas only of collections that it has read", func() {
		_, known := r.DeltaSince(replica.Config, replica.Position{})
		Expect(known).To(BeFalse())
		d, known := r.DeltaSince(replica.Endpoints, replica.Position{})
		Expect(known).To(BeTrue())
		Expect(d.Revision).To(Equal(int64(10)))
		Expect(d.Records).To(HaveLen(2))
		Expect(r.Positions()).To(Equal(map[replica.Kind]replica.Position{replica.Endpoints: at(10)}))
	})
})

// TestRevisionsNeverDecrease checks that copies which receive one history in any
// order, from the store and from each other, never move to a lower revision and
// end up equal.
func TestRevisionsNeverDecrease(t *testing.T) {
	// Removals that get lost between copies take some thousand cases to show.
	if err := flag.Set("rapid.checks", "10000"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]int64{{}} // state at each revision
		var events []replica.Change
		changes := rapid.Int64Range(1, 25).Draw(t, "changes")
		for rev := int64(1); rev <= changes; rev++ {
			state := map[string]int64{}
			for k, v := range history[rev-1] {
				state[k] = v
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if _, ok := state[name]; ok && rapid.Bool().Draw(t, "delete") {
				events = append(events, replica.Change{Record: record(name, state[name]), Deleted: true})
				delete(state, name)
			} else {
				state[name] = rev
				events = append(events, replica.Change{Record: record(name, rev)})
			}
			history = append(history, state)
		}
		stateAt := func(rev int64) replica.Snapshot {
			s := replica.Snapshot{Position: at(rev)}
			for name, r := range history[rev] {
				s.Records = append(s.Records, record(name, r))
			}
			return s
		}
		newest := int64(len(history) - 1)
		var copies []*replica.Replica
		since := make([]int64, 3)
		for range 3 {
			r := replica.New(func(replica.Kind, replica.View) {})
			r.ApplySnapshot(start, replica.Config, stateAt(0), "store")
			copies = append(copies, r)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "copy")
			before := copies[i].Positions()[replica.Config]
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				to := rapid.Int64Range(since[i], newest).Draw(t, "to")
				copies[i].ApplyChanges(start, replica.Config, replica.Changes{Changes: events[since[i]:to], Position: at(to)}, "store")
				since[i] = to
			case 1:
				since[i] = rapid.Int64Range(since[i], newest).Draw(t, "to")
				copies[i].ApplySnapshot(start, replica.Config, stateAt(since[i]), "store")
			case 2:
				if rapid.Bool().Draw(t, "recent changes") {
					if n, ok := copies[rapid.IntRange(0, 2).Draw(t, "peer")].RecentChanges(start, replica.Config, time.Hour, 1<<20); ok {
						copies[i].ApplyRecent(start, replica.Config, n, "peer")
					}
					break
				}
				known := before
				if rapid.Bool().Draw(t, "full delta") {
					known = replica.Position{}
				}
				if d, ok := copies[rapid.IntRange(0, 2).Draw(t, "peer")].DeltaSince(replica.Config, known); ok {
					if _, err := copies[i].ApplyDelta(start, replica.Config, d, "peer"); err != nil {
						t.Fatal(err)
					}
				}
			}
			if after := copies[i].Positions()[replica.Config]; after.Before(before) {
				t.Fatalf("copy went back from %v to %v", before, after)
			}
		}
		for i, r := range copies {
			r.ApplyChanges(start, replica.Config, replica.Changes{Changes: events[since[i]:], Position: at(newest)}, "store")
			d, _ := r.DeltaSince(replica.Config, replica.Position{})
			got := map[string]int64{}
			for _, rec := range d.Records {
				got[rec.Name] = rec.Revision
			}
			if fmt.Sprint(got) != fmt.Sprint(history[newest]) {
				t.Fatalf("copy %d has records %v, want %v", i, got, history[newest])
			}
		}
	})
}

// source is a store whose responses to watches a test sets.
type source struct {
	mu    sync.Mutex
	lists int
	watch func(n int, since int64) (replica.Changes, error)
	n     int
}

func (s *source) List(context.Context, replica.Kind) (replica.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return snapshot(int64(10*s.lists), record("a", int64(s.lists))), nil
}

func (s *source) Watch(ctx context.Context, _ replica.Kind, since int64, wait time.Duration) (replica.Changes, error) {
	s.mu.Lock()
	s.n++
	n := s.n
	s.mu.Unlock()
	return s.watch(n, since)
}

// TestFollow checks in virtual time how many lists and watches Follow makes while
// the store is quiet, compacts its history or fails.
func TestFollow(t *testing.T) {
	compacted := errors.Mark(errors.New("410"), replica.ErrCompacted)
	for name, c := range map[string]struct {
		watch      func(n int, since int64) (replica.Changes, error)
		lists      int // expected in ten seconds
		maxWatches int // upper bound of watches in that time
	}{
		"quiet": {func(_ int, since int64) (replica.Changes, error) {
			time.Sleep(time.Second)
			return replica.Changes{Position: at(since)}, nil
		}, 1, 11},
		"compacted": {func(n int, since int64) (replica.Changes, error) {
			time.Sleep(4 * time.Second)
			return replica.Changes{}, compacted
		}, 3, 4},
		"unavailable": {func(int, int64) (replica.Changes, error) { return replica.Changes{}, errors.New("refused") }, 1, 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{watch: c.watch}
				log := oplog.New(io.Discard)
				r := replica.New(func(replica.Kind, replica.View) {})
				ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
				defer stop()
				_ = r.Follow(ctx, s, replica.Config, func() bool { return true }, log)
				if s.lists != c.lists || s.n > c.maxWatches {
					t.Errorf("%d lists and %d watches, want %d lists and at most %d watches", s.lists, s.n, c.lists, c.maxWatches)
				}
				log.Close(context.Background())
			})
		})
	}
}

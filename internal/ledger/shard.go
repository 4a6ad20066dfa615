package ledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	maxRecords   = 200 // of one segment
	retryFirst   = 50 * time.Millisecond
	retryLongest = 2 * time.Second
)

// shard is this router's copy of one shard of the ledger. Its lock is held
// over platform calls, so one write is under way at a time.
type shard struct {
	platform *platform.Client
	prefix   string

	mu       sync.Mutex
	segments []*loaded // seq order, the last one unsealed
}

// loaded is a segment with the version at which it was read.
type loaded struct {
	segment *order.Segment
	version int64
}

// newToken returns a claim token that no other claim has.
func newToken(self member.Router) string {
	random := make([]byte, 8)
	rand.Read(random)
	return fmt.Sprintf("%s-%d-%s", self.Name, self.Incarnation, hex.EncodeToString(random))
}

// find returns the record of a key as the platform holds it, or nil.
func (s *shard) find(ctx context.Context, account, key string) (*order.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.known(account, key); r != nil && r.State != order.Claimed && r.State != order.NotRun {
		return r, nil
	}
	if err := s.read(ctx); err != nil {
		return nil, err
	}
	return s.known(account, key), nil
}

// claim commits a claim, unless the key has a record already; it returns the
// record that holds the key.
func (s *shard) claim(ctx context.Context, claim *order.Record) (*order.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry(ctx, func() (*order.Record, error) {
		if err := s.read(ctx); err != nil {
			return nil, err
		}
		held := s.known(claim.Account, claim.Key)
		if held != nil && (held.State != order.NotRun || held.Token == claim.Token) {
			return held, nil
		}
		if held != nil {
			return claim, s.replace(ctx, held, claim)
		}
		return claim, s.add(ctx, claim)
	})
}

// record commits a claim's outcome.
func (s *shard) record(ctx context.Context, done *order.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := retry(ctx, func() (*order.Record, error) {
		held := s.known(done.Account, done.Key)
		if held != nil && held.Token == done.Token && held.State == done.State {
			return held, nil
		}
		if held == nil || held.Token != done.Token {
			return nil, backoff.Permanent(errors.New("the claim is gone"))
		}
		err := s.replace(ctx, held, done)
		if err != nil {
			return nil, errors.CombineErrors(err, s.reread(ctx, done))
		}
		return done, nil
	})
	return err
}

// replace writes a record in the place of one that was read.
func (s *shard) replace(ctx context.Context, held, next *order.Record) error {
	for _, l := range s.segments {
		for i, r := range l.segment.Records {
			if r != held {
				continue
			}
			changed := copySegment(l.segment)
			changed.Records[i] = next
			return s.write(ctx, l, changed)
		}
	}
	return errors.New("the record is gone")
}

// add appends a claim to the last segment; a full one is sealed first.
func (s *shard) add(ctx context.Context, claim *order.Record) error {
	last := s.segments[len(s.segments)-1]
	changed := copySegment(last.segment)
	if len(changed.Records) < maxRecords {
		changed.Records = append(changed.Records, claim)
		return s.write(ctx, last, changed)
	}
	changed.Sealed = true
	if err := s.write(ctx, last, changed); err != nil {
		return err
	}
	next := &loaded{segment: &order.Segment{Seq: changed.Seq + 1, Records: []*order.Record{claim}}}
	if err := s.write(ctx, next, next.segment); err != nil {
		return err
	}
	s.segments = append(s.segments, next)
	return nil
}

func (s *shard) write(ctx context.Context, l *loaded, changed *order.Segment) error {
	value, err := changed.Encode()
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	version, err := s.platform.Put(ctx, s.key(changed.Seq), value, l.version)
	if err != nil {
		return err
	}
	l.segment, l.version = changed, version
	return nil
}

// read brings the copy up to date: the last known segment and what follows.
func (s *shard) read(ctx context.Context) error {
	if len(s.segments) == 0 {
		s.segments = append(s.segments, &loaded{segment: &order.Segment{}})
	}
	for {
		last := s.segments[len(s.segments)-1]
		if err := s.load(ctx, last); err != nil {
			return err
		}
		if !last.segment.Sealed {
			return nil
		}
		s.segments = append(s.segments, &loaded{segment: &order.Segment{Seq: last.segment.Seq + 1}})
	}
}

// reread brings the segment of a record up to date.
func (s *shard) reread(ctx context.Context, r *order.Record) error {
	for _, l := range s.segments {
		if l.segment.Find(r.Account, r.Key) != nil {
			return s.load(ctx, l)
		}
	}
	return nil
}

func (s *shard) load(ctx context.Context, l *loaded) error {
	o, err := s.platform.Get(ctx, s.key(l.segment.Seq))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	segment, err := order.Decode(o.Value)
	if err != nil {
		return errors.Wrap(err, "decode segment")
	}
	l.segment, l.version = segment, o.Version
	return nil
}

func (s *shard) known(account, key string) *order.Record {
	for _, l := range s.segments {
		if r := l.segment.Find(account, key); r != nil {
			return r
		}
	}
	return nil
}

func (s *shard) key(seq int) string { return fmt.Sprintf("%s%08d", s.prefix, seq) }

func copySegment(s *order.Segment) *order.Segment {
	c := *s
	c.Records = append([]*order.Record(nil), s.Records...)
	return &c
}

// retry calls op until it succeeds or the context ends, with jittered
// exponential backoff.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryFirst
	b.MaxInterval = retryLongest
	return backoff.Retry(ctx, op, backoff.WithBackOff(b))
}

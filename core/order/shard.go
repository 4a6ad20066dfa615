package order

import (
	"slices"
	"time"
)

// Config configures a Shard.
type Config struct {
	Number        int           // of the shard
	WriteInterval time.Duration // least time between the starts of two writes of this shard
	Retention     time.Duration // how long a record is kept after its claim; 0: for ever
	SealBytes     int           // size from which a segment is sealed; 0: the default
}

const (
	// sealBytes is the default size of a segment from which it is sealed.
	sealBytes = 256 << 10
	// hardBytes bounds a segment with the room that its open claims may need.
	hardBytes = 900 << 10
	// reserveBytes is the room that the outcome of an open claim may need:
	// the answer in base64, and the other fields.
	reserveBytes = MaxResponseBytes*4/3 + 512
	// keptSegments is how many sealed segments stay decoded in memory.
	keptSegments = 8
)

// Op names a claim, change or look-up until its verdict.
type Op uint64

// Kind is a kind of verdict.
type OpResultKind uint8

// The kinds of verdict.
const (
	ClaimWon        OpResultKind = iota + 1 // the claim is committed: its claimant, and nobody else, may dispatch it
	ClaimConflict                           // another claim holds the key; Record is that one
	ChangeCommitted                         // the change is committed
	ChangeRejected                          // the record has moved on; Record is as it stands
	ClaimPreempted                          // the claim is committed, but another router has settled it since; Record is as it stands
	ClaimExpired                            // the claim waited too long and will never be written: not run
	RecordFound                             // look-up: Record is as it stands
	RecordMissing                           // no record with the key
)

// Verdict ends a claim, change or look-up.
type OpResult struct {
	Op     Op
	Kind   OpResultKind
	Record Record // unless Missing
}

// Shard is one router's copy of a shard of the ledger, and the work that
// waits for the platform. The shell calls Next, makes the platform call that
// it returns, and hands the result to Done. It is not safe for concurrent
// use.
type Shard struct {
	cfg Config

	head        head
	headVersion int64
	headRead    bool

	tail       *stored         // the segment that takes claims; nil: not read yet
	sealed     map[int]*stored // decoded sealed segments
	index      map[ID]int      // newest segment with a record of the ID
	outlines   map[int]outline // of sealed segments
	loading    int             // while tail is nil: the next segment to read
	create     bool            // while tail is nil: that segment does not exist
	verify     bool            // the head is to be read before a claim may go to tail
	loadWanted bool            // by Refresh
	reread     map[int]bool    // segments to be read again before any write
	doomed     int64           // version of segment head.Swept, which is to be deleted; 0: not read

	claims  []*claim
	changes []*change
	looks   []*look
	nextOp  Op

	call    *Call
	flight  *flight
	writeAt time.Time // earliest start of the next write
	// lookedLast makes writes and reads for look-ups take turns, so that
	// neither starves the other.
	lookedLast bool
	verdicts   []OpResult
}

// stored is a segment with its version in the platform.
type stored struct {
	*Segment
	version int64
}

// outline is what is kept of every sealed segment.
type outline struct {
	newest time.Time // claim
	open   int       // records claimed or unknown when last read
}

// claim is a claim that is not committed as far as is known.
type claim struct {
	op     Op
	record Record
	id     ID
	gaveUp bool
	// An uncertain write of the claim was made to this segment at this
	// version; it may take effect while the segment has the version.
	maybeSeq     int
	maybeVersion int64 // 0: no such write
}

type change struct {
	Change
	op Op
	id ID
}

type look struct {
	op    Op
	id    ID
	fresh bool         // to be answered by the platform unless the record is done
	needs map[int]bool // segments to be read for it; nil: not yet found out
}

// flight is the write that is under way.
type flight struct {
	next    *Segment
	claims  []*claim
	changes []*change
}

// NewShard returns a shard of which nothing is read yet.
func NewShard(cfg Config) *Shard {
	if cfg.SealBytes == 0 {
		cfg.SealBytes = sealBytes
	}
	s := &Shard{cfg: cfg}
	s.reset()
	return s
}

// Configure replaces spacing and retention.
func (s *Shard) Configure(cfg Config) {
	s.cfg.WriteInterval = cfg.WriteInterval
	s.cfg.Retention = cfg.Retention
}

// Claim asks for a claim to be committed. Verdicts: Won, Held,
// Overtaken, Expired.
func (s *Shard) Claim(r Record) Op {
	r.State = Claimed
	s.nextOp++
	s.claims = append(s.claims, &claim{op: s.nextOp, record: r, id: r.ID()})
	return s.nextOp
}

// GiveUp withdraws a claim that has no verdict yet: its claimant will never
// dispatch it. If it is committed all the same, it is recorded as not run.
// It reports false if there is no such claim: then its verdict has been given.
func (s *Shard) Withdraw(op Op) bool {
	c := s.inFlight(op)
	if c != nil {
		c.gaveUp = true
		return true
	}
	i := slices.IndexFunc(s.claims, func(c *claim) bool { return c.op == op })
	if i < 0 {
		return false
	}
	s.claims[i].gaveUp = true
	if s.claims[i].maybeVersion == 0 {
		s.claims = slices.Delete(s.claims, i, i+1)
	}
	return true
}

// Change asks for a change of a record. Verdicts: Recorded, Refused, Missing.
func (s *Shard) Change(c Change) Op {
	s.nextOp++
	s.changes = append(s.changes, &change{Change: c, op: s.nextOp, id: NewID(c.Account, c.Key)})
	return s.nextOp
}

// Look asks for a record. If fresh is set, the platform is read again unless
// the record known here is final. Verdicts: Found, Missing.
func (s *Shard) ReadRecord(account, key string, fresh bool) Op {
	s.nextOp++
	s.looks = append(s.looks, &look{op: s.nextOp, id: NewID(account, key), fresh: fresh})
	return s.nextOp
}

// Refresh has the last segment and all segments with claimed or unknown
// records read again, or everything if nothing is read yet.
func (s *Shard) Refresh() {
	if s.tail == nil {
		s.loadWanted = true
		return
	}
	s.reread[s.tail.Seq] = true
	for seq, o := range s.outlines {
		if o.open > 0 {
			s.reread[seq] = true
		}
	}
}

// Open returns the claimed and unknown records that are known here.
func (s *Shard) OpenRecords() []Record {
	var open []Record
	for _, seg := range s.segments() {
		for _, e := range seg.entries {
			if isOpen(e.record) == 1 {
				open = append(open, e.record)
			}
		}
	}
	return open
}

// Verdicts returns the verdicts since the last call.
func (s *Shard) OpResults() []OpResult {
	v := s.verdicts
	s.verdicts = nil
	return v
}

// Loaded reports whether the whole chain has been read.
func (s *Shard) Loaded() bool { return s.tail != nil && !s.verify && len(s.reread) == 0 }

// Pending reports whether claims, changes or look-ups wait for the platform.
func (s *Shard) Pending() bool {
	return len(s.claims)+len(s.changes)+len(s.looks) > 0 || s.flight != nil
}

// Busy reports whether there is any work.
func (s *Shard) Busy() bool {
	if s.loadWanted && s.tail != nil && !s.verify {
		s.loadWanted = false
	}
	return s.loadWanted || len(s.reread) > 0 || s.Pending()
}

// reset forgets everything that was read.
func (s *Shard) reset() {
	s.headRead = false
	s.tail = nil
	s.sealed = map[int]*stored{}
	s.index = map[ID]int{}
	s.outlines = map[int]outline{}
	s.create = false
	s.verify = false
	s.doomed = 0
	s.reread = map[int]bool{}
}

func (s *Shard) inFlight(op Op) *claim {
	if s.flight == nil {
		return nil
	}
	for _, c := range s.flight.claims {
		if c.op == op {
			return c
		}
	}
	return nil
}

// segments returns the decoded segments in order.
func (s *Shard) segments() []*stored {
	all := make([]*stored, 0, len(s.sealed)+1)
	for _, seg := range s.sealed {
		all = append(all, seg)
	}
	slices.SortFunc(all, func(a, b *stored) int { return a.Seq - b.Seq })
	if s.tail != nil {
		all = append(all, s.tail)
	}
	return all
}

// segment returns a decoded segment, or nil.
func (s *Shard) segment(seq int) *stored {
	if s.tail != nil && s.tail.Seq == seq {
		return s.tail
	}
	return s.sealed[seq]
}

func (s *Shard) verdict(op Op, kind OpResultKind, r Record) {
	s.verdicts = append(s.verdicts, OpResult{Op: op, Kind: kind, Record: r})
}

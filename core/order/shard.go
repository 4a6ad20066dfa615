package order

import (
	"slices"
	"time"
)

// Config configures a Shard.
type Config struct {
	Number        int           // number of the shard
	WriteInterval time.Duration // minimum time between the starts of two writes of this shard
	Retention     time.Duration // how long a record is kept after Record.AcceptedAt; 0: forever
	SealBytes     int           // size at which a segment is sealed; 0: the default
	// Era is the era of the platform that the router knows when it creates the
	// shard; 0: none. RestoreHold is how long claims wait after a restoration of
	// the platform, so that routers can write lost records again.
	Era         int64
	RestoreHold time.Duration
}

const (
	// defaultSealBytes is the default of Config.SealBytes.
	defaultSealBytes = 256 << 10
	// maxSegmentBytes bounds the size of a segment including the space that
	// is reserved for the outcomes of its open claims.
	maxSegmentBytes = 900 << 10
	// outcomeReserveBytes is the space that the outcome of an open claim may
	// need: the response body in base64, plus the other fields.
	outcomeReserveBytes = MaxResponseBytes*4/3 + 512
	// maxCachedSegments is how many sealed segments without open records stay
	// decoded in memory.
	maxCachedSegments = 8
)

// Op identifies a pending claim, change or read until its result is returned.
type Op uint64

// OpResultKind is a kind of operation result.
type OpResultKind uint8

// The kinds of operation result.
const (
	ClaimWon        OpResultKind = iota + 1 // the claim is committed: its claimant, and no one else, may dispatch it
	ClaimConflict                           // another claim holds the key; Record is that claim's record
	ChangeCommitted                         // the change is committed
	ChangeRejected                          // the record's token or state rules out the change; Record is the current record
	ClaimPreempted                          // the claim is committed, but another router has settled it since; Record is the current record
	ClaimExpired                            // the claim waited too long, or the platform was restored while its write was uncertain; it will never be dispatched, so the order is not executed
	RecordFound                             // read: Record is the current record
	RecordMissing                           // change or read: there is no record with the key
)

// OpResult is the result of a claim, change or read.
type OpResult struct {
	Op     Op
	Kind   OpResultKind
	Record Record // unless Kind is RecordMissing
}

// Shard is one router's copy of a shard of the ledger, with the operations that
// wait for the platform. Its driver calls NextCall, makes the platform call
// that it returns, and passes the result to HandleResult. A Shard is not safe
// for concurrent use.
type Shard struct {
	cfg Config

	head        head
	headVersion int64
	headRead    bool

	tail          *storedSegment         // last segment, which accepts claims; nil: not read yet
	sealed        map[int]*storedSegment // sealed segments that are decoded in memory
	index         map[ID]int             // newest segment that has a record with the ID
	summaries     map[int]segmentSummary // of all sealed segments that were read
	loadSeq       int                    // while tail is nil: next segment to read
	createTail    bool                   // while tail is nil: segment loadSeq does not exist and is to be created
	verifyHead    bool                   // the head must be read before a claim may be written to tail
	loadRequested bool                   // set by Refresh while tail is nil; cleared by Busy once the shard is loaded
	reread        map[int]bool           // segments that must be read again before any write
	deleteVersion int64                  // version of segment head.Deleted, which is to be deleted; 0: not read yet

	claims  []*pendingClaim
	changes []*pendingChange
	reads   []*pendingRead
	nextOp  Op

	call        *Call
	inFlight    *segmentWrite
	nextWriteAt time.Time // earliest start of the next write

	now         time.Time         // as of the last call of NextCall
	era         int64             // era of the platform; 0: unknown
	lost        map[string]Record // records known before a restoration that may have to be written again, by token
	abandoned   map[string]bool   // tokens of claims whose write was uncertain at a restoration
	holdUntil   time.Time         // claims wait until then
	holdPending bool              // a restoration was found; NextCall sets holdUntil

	// lastCallWasRead is set while a write may go before the segment reads of
	// pending reads, because such a read went first last time. The two alternate,
	// so that neither starves the other.
	lastCallWasRead bool
	results         []OpResult
}

// storedSegment is a segment with the version of its platform object.
type storedSegment struct {
	*Segment
	version int64
}

// segmentSummary is kept in memory for every sealed segment, even when its
// decoded form is evicted.
type segmentSummary struct {
	newestAccepted time.Time // latest AcceptedAt of its records
	openRecords    int       // claimed or unknown records when last read
}

// pendingClaim is a claim that is not known to be committed.
type pendingClaim struct {
	op        Op
	record    Record
	id        ID
	withdrawn bool
	// uncertainSeq and uncertainVersion are the segment and the required
	// version of a write of this claim with an uncertain result. The write may
	// take effect as long as the segment has that version.
	uncertainSeq     int
	uncertainVersion int64 // 0: there is no such write
}

type pendingChange struct {
	Change
	op Op
	id ID
}

type pendingRead struct {
	op     Op
	id     ID
	fresh  bool         // read the platform again unless the known record is done
	toRead map[int]bool // segments still to be read for it; nil: not determined yet
}

// segmentWrite is a write of a segment, with the operations that it commits.
type segmentWrite struct {
	segment *Segment
	claims  []*pendingClaim
	changes []*pendingChange
	lost    []Record // lost records that it writes again
}

// NewShard returns a shard that has not read anything yet.
func NewShard(cfg Config) *Shard {
	if cfg.SealBytes == 0 {
		cfg.SealBytes = defaultSealBytes
	}
	s := &Shard{cfg: cfg, era: cfg.Era, lost: map[string]Record{}, abandoned: map[string]bool{}}
	s.reset()
	return s
}

// Configure replaces WriteInterval and Retention. It ignores the other fields
// of cfg.
func (s *Shard) Configure(cfg Config) {
	s.cfg.WriteInterval = cfg.WriteInterval
	s.cfg.Retention = cfg.Retention
}

// Claim queues a claim. Its result is ClaimWon, ClaimConflict, ClaimPreempted
// or ClaimExpired.
func (s *Shard) Claim(r Record) Op {
	r.State = Claimed
	s.nextOp++
	s.claims = append(s.claims, &pendingClaim{op: s.nextOp, record: r, id: r.ID()})
	return s.nextOp
}

// Withdraw withdraws a claim that has no result yet: its claimant will never
// dispatch it. If the claim is committed nevertheless, it is recorded as NotRun.
// Withdraw returns false if there is no such claim, since its result has
// been returned already.
func (s *Shard) Withdraw(op Op) bool {
	c := s.inFlightClaim(op)
	if c != nil {
		c.withdrawn = true
		return true
	}
	i := slices.IndexFunc(s.claims, func(c *pendingClaim) bool { return c.op == op })
	if i < 0 {
		return false
	}
	s.claims[i].withdrawn = true
	if s.claims[i].uncertainVersion == 0 {
		s.claims = slices.Delete(s.claims, i, i+1)
	}
	return true
}

// Change queues a change of a record. Its result is ChangeCommitted,
// ChangeRejected or RecordMissing.
func (s *Shard) Change(c Change) Op {
	s.nextOp++
	s.changes = append(s.changes, &pendingChange{Change: c, op: s.nextOp, id: NewID(c.Account, c.Key)})
	return s.nextOp
}

// ReadRecord queues a read of a record. If fresh is set, the platform is read
// again unless the record in memory is done. The result is RecordFound or
// RecordMissing.
func (s *Shard) ReadRecord(account, key string, fresh bool) Op {
	s.nextOp++
	s.reads = append(s.reads, &pendingRead{op: s.nextOp, id: NewID(account, key), fresh: fresh})
	return s.nextOp
}

// Refresh schedules a new read of the last segment and of all segments with
// claimed or unknown records. If the last segment is not read yet, it schedules
// loading the chain.
func (s *Shard) Refresh() {
	if s.tail == nil {
		s.loadRequested = true
		return
	}
	s.reread[s.tail.Seq] = true
	for seq, o := range s.summaries {
		if o.openRecords > 0 {
			s.reread[seq] = true
		}
	}
}

// OpenRecords returns the claimed and unknown records in memory.
func (s *Shard) OpenRecords() []Record {
	var open []Record
	for _, seg := range s.segments() {
		for _, e := range seg.entries {
			if openCount(e.record) == 1 {
				open = append(open, e.record)
			}
		}
	}
	return open
}

// OpResults returns the results of the operations that were completed since the
// last call of OpResults.
func (s *Shard) OpResults() []OpResult {
	results := s.results
	s.results = nil
	return results
}

// Loaded reports whether the whole chain was read and no segment has to be read
// again.
func (s *Shard) Loaded() bool { return s.tail != nil && !s.verifyHead && len(s.reread) == 0 }

// Pending reports whether claims, changes, reads or lost records wait for the
// platform.
func (s *Shard) Pending() bool {
	return len(s.claims)+len(s.changes)+len(s.reads)+len(s.lost) > 0 || s.inFlight != nil
}

// Busy reports whether the shard has work that needs platform calls: pending
// operations, or reads that Refresh scheduled. It clears loadRequested once the
// shard is loaded.
func (s *Shard) Busy() bool {
	if s.loadRequested && s.tail != nil && !s.verifyHead {
		s.loadRequested = false
	}
	return s.loadRequested || len(s.reread) > 0 || s.Pending()
}

// reset discards the segments in memory, so that the shard is loaded again.
// Pending operations stay queued.
func (s *Shard) reset() {
	s.headRead = false
	s.tail = nil
	s.sealed = map[int]*storedSegment{}
	s.index = map[ID]int{}
	s.summaries = map[int]segmentSummary{}
	s.createTail = false
	s.verifyHead = false
	s.deleteVersion = 0
	s.reread = map[int]bool{}
}

func (s *Shard) inFlightClaim(op Op) *pendingClaim {
	if s.inFlight == nil {
		return nil
	}
	for _, c := range s.inFlight.claims {
		if c.op == op {
			return c
		}
	}
	return nil
}

// segments returns the decoded segments in ascending order.
func (s *Shard) segments() []*storedSegment {
	all := make([]*storedSegment, 0, len(s.sealed)+1)
	for _, seg := range s.sealed {
		all = append(all, seg)
	}
	slices.SortFunc(all, func(a, b *storedSegment) int { return a.Seq - b.Seq })
	if s.tail != nil {
		all = append(all, s.tail)
	}
	return all
}

// segment returns a decoded segment, or nil if it is not in memory.
func (s *Shard) segment(seq int) *storedSegment {
	if s.tail != nil && s.tail.Seq == seq {
		return s.tail
	}
	return s.sealed[seq]
}

func (s *Shard) complete(op Op, kind OpResultKind, r Record) {
	if r.Fence < s.lowestFence() {
		r.FenceRaised = false // a fence of an earlier era rules out only what the restored record tells of
	}
	s.results = append(s.results, OpResult{Op: op, Kind: kind, Record: r})
}

package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PartSuspectCrashes is the number of crashes after which requests with a prompt
	// part are held back but for trials. Requests that ran beside the cause of a
	// crash seldom have the same part in that many.
	PartSuspectCrashes = 3
	// PartQuarantineCrashes is the number of crashes after which no request with the
	// part is sent.
	PartQuarantineCrashes = 5
	// ResourceQuarantineCrashes is the number of crashes after which a request without a
	// body is refused, without the trials before that.
	ResourceQuarantineCrashes = 3
	// soundPartRetry is how long after its last crash a part that was sound before is
	// tried again at each router though it is quarantined. Each crash that follows after
	// such a time makes it soundPartRetryGrowth times as long.
	soundPartRetry       = time.Minute
	soundPartRetryGrowth = 4
	// PartTrialInterval is the time between two trials of a suspect part at one
	// router. A sound part is cleared by its first trial that gets a response.
	PartTrialInterval = 2 * time.Second
	// soundPartGrace is how much longer crashes have to go on for a part that was
	// sound before. Several endpoints may crash at once under a popular part, which
	// the next response clears.
	soundPartGrace = time.Second
	// soundPartSpacing is the time within which crashes count once against a part that
	// was sound before: one cause outside the requests may crash many endpoints.
	soundPartSpacing = 100 * time.Millisecond
	// maxPartCrashes limits the crashes kept for one part, the newest ones.
	maxPartCrashes = 2 * PartQuarantineCrashes
	// maxParts limits the parts tracked, of each kind.
	maxParts = 16384
)

// afterBeginMask tells the two IDs of a part apart.
const afterBeginMask = 0x9e3779b97f4a7c15

// AfterBegin returns the ID by which crashes count against a part that followed the
// begin of a response. A response that has begun speaks against crashes before it
// begins; against these only a complete one does, which is a SoundPart with this ID.
func AfterBegin(part uint64) uint64 { return part ^ afterBeginMask }

// PartCrash records that an endpoint crashed while it ran a request with a prompt part,
// before it had begun the response or, with the ID of AfterBegin, later.
type PartCrash struct {
	Part     uint64
	Endpoint uint64        // identifies the incarnation of the endpoint
	Age      time.Duration // time since the crash, when it is passed on
}

// SoundPart records that a response to a request with a prompt part began or, with the
// ID of AfterBegin, that it is complete.
type SoundPart struct {
	Part uint64
	Age  time.Duration // time since then, when it is passed on
}

// PartQuarantine finds the prompt parts that crash endpoints: those that several
// crashes have in common and that no response had since the first of these. Earlier
// responses prove nothing, since other weights may be in use. It is not safe for
// concurrent use.
type PartQuarantine struct {
	begun         map[uint64]begun
	suspects      map[uint64]*suspectPart
	interruptions interruptionShare
}

// begun is the last time that a response with a part began.
type begun struct {
	here  time.Time // at this router
	heard time.Time // at another one, as reported
}

func (b begun) last() time.Time { return later(b.here, b.heard) }

// suspectPart is a part with crashes since the last response.
type suspectPart struct {
	crashes   []partCrash // oldest first, at most maxPartCrashes
	lastTrial time.Time
	wasSound  bool // a response with the part is on record
}

type partCrash struct {
	endpoint uint64
	at       time.Time
}

// NewPartQuarantine returns an empty quarantine.
func NewPartQuarantine() *PartQuarantine {
	return &PartQuarantine{begun: map[uint64]begun{}, suspects: map[uint64]*suspectPart{}}
}

// RecordBegun records that a response to a request with the part began at this
// router. It reports whether the part was a suspect until then.
func (q *PartQuarantine) RecordBegun(now time.Time, part uint64) (cleared bool) {
	b := q.begun[part]
	b.here = later(b.here, now)
	return q.setBegun(part, b)
}

// RecordSound applies what another router reports.
func (q *PartQuarantine) RecordSound(now time.Time, p SoundPart) {
	b := q.begun[p.Part]
	b.heard = later(b.heard, now.Add(-p.Age))
	q.setBegun(p.Part, b)
}

func (q *PartQuarantine) setBegun(part uint64, b begun) (cleared bool) {
	q.begun[part] = b
	if len(q.begun) > maxParts {
		q.evictBegun()
	}
	s, ok := q.suspects[part]
	if !ok {
		return false
	}
	s.wasSound = true
	s.crashes = slices.DeleteFunc(s.crashes, func(c partCrash) bool { return !c.at.After(b.last()) })
	if len(s.crashes) > 0 {
		return false
	}
	delete(q.suspects, part)
	return true
}

// Refutes reports whether a response with the part began at this router after a
// crash, and how long ago the last one did.
func (q *PartQuarantine) Refutes(now time.Time, c PartCrash) (age time.Duration, ok bool) {
	b, known := q.begun[c.Part]
	if !known || b.here.Before(now.Add(-c.Age)) {
		return 0, false
	}
	return now.Sub(b.here), true
}

// evictBegun removes the older half of the responses.
func (q *PartQuarantine) evictBegun() {
	times := make([]time.Time, 0, len(q.begun))
	for _, b := range q.begun {
		times = append(times, b.last())
	}
	slices.SortFunc(times, time.Time.Compare)
	for p, b := range q.begun {
		if b.last().Before(times[len(times)/2]) {
			delete(q.begun, p)
		}
	}
}

// RecordCrash adds a crash and reports whether it counts. A known one does not, nor one
// before the last response with the part.
func (q *PartQuarantine) RecordCrash(now time.Time, c PartCrash) bool {
	at := now.Add(-c.Age)
	b, sound := q.begun[c.Part]
	if sound && !at.After(b.last()) || c.Age >= QuarantineDuration {
		return false
	}
	s, ok := q.suspects[c.Part]
	if !ok {
		q.evictSuspects(now)
		s = &suspectPart{wasSound: sound}
		q.suspects[c.Part] = s
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(old partCrash) bool { return now.Sub(old.at) >= QuarantineDuration })
	return s.add(partCrash{c.Endpoint, at})
}

// add adds a crash and reports whether it counts. A known crash keeps its time:
// reports come late, so a later time would be further off.
func (s *suspectPart) add(c partCrash) bool {
	if slices.ContainsFunc(s.crashes, func(known partCrash) bool { return known.endpoint == c.endpoint }) {
		return false
	}
	sameCause := func(known partCrash) bool { return c.at.Sub(known.at).Abs() < soundPartSpacing }
	if s.wasSound && slices.ContainsFunc(s.crashes, sameCause) {
		return false
	}
	if len(s.crashes) >= maxPartCrashes {
		if !c.at.After(s.crashes[0].at) {
			return false
		}
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(s.crashes, c, func(a, b partCrash) int { return a.at.Compare(b.at) })
	s.crashes = slices.Insert(s.crashes, i, c)
	return true
}

func (s *suspectPart) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].at }

// atLeast reports whether n crashes count against the part.
func (s *suspectPart) atLeast(n int, now time.Time) bool {
	if now.Sub(s.lastCrash()) >= QuarantineDuration || len(s.crashes) < n {
		return false
	}
	return !s.wasSound || now.Sub(s.crashes[0].at) >= soundPartGrace
}

// Crashes returns the crashes on record that others may not know: those of the parts
// that are held back, and other recent ones, at most limit.
func (q *PartQuarantine) Crashes(now time.Time, recent time.Duration, limit int) []PartCrash {
	var parts []uint64
	for p, s := range q.suspects {
		if now.Sub(s.lastCrash()) < recent || s.atLeast(PartSuspectCrashes, now) {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b uint64) int {
		x, y := q.suspects[a], q.suspects[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), y.lastCrash().Compare(x.lastCrash()), cmp.Compare(a, b))
	})
	var out []PartCrash
	for _, p := range parts {
		for _, c := range q.suspects[p].crashes {
			if len(out) == limit {
				return out
			}
			out = append(out, PartCrash{Part: p, Endpoint: c.endpoint, Age: max(0, now.Sub(c.at))})
		}
	}
	return out
}

// evictSuspects makes room for one more suspect: expired ones are removed first,
// then those with the fewest crashes, the oldest first.
func (q *PartQuarantine) evictSuspects(now time.Time) {
	if len(q.suspects) < maxParts {
		return
	}
	var parts []uint64
	for p, s := range q.suspects {
		if now.Sub(s.lastCrash()) >= QuarantineDuration {
			delete(q.suspects, p)
			continue
		}
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b uint64) int {
		x, y := q.suspects[a], q.suspects[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.lastCrash().Compare(y.lastCrash()))
	})
	for _, p := range parts[:max(0, len(parts)-maxParts*7/8)] {
		delete(q.suspects, p)
	}
}

// CountResponse counts a response that has begun and that is complete or was
// interrupted by a crash.
func (q *PartQuarantine) CountResponse(now time.Time, interrupted bool) {
	q.interruptions.count(now, interrupted)
}

// stage is what counts against a part before or after the begin of a response.
type stage struct {
	part  uint64
	id    uint64
	extra int // crashes needed beyond the usual number
}

func (q *PartQuarantine) stages(now time.Time, part uint64) [2]stage {
	return [2]stage{{part, part, 0}, {part, AfterBegin(part), q.interruptions.extraCrashes(now)}}
}

// Blocked returns a part because of which a request with these parts may not be
// sent now. A suspect may be tried, at most once in PartTrialInterval or, once it is
// quarantined, if it was sound before, after soundPartRetry or longer.
func (q *PartQuarantine) Blocked(now time.Time, parts []uint64) (part uint64, blocked bool) {
	if len(q.suspects) == 0 {
		return 0, false
	}
	var trials []*suspectPart
	for _, p := range parts {
		for _, st := range q.stages(now, p) {
			s, ok := q.suspects[st.id]
			if !ok || !s.reached(PartSuspectCrashes, st, now) {
				continue
			}
			pause := PartTrialInterval
			if s.reached(PartQuarantineCrashes, st, now) {
				pause = s.quarantinePause()
			}
			if s.pausedFor(pause, now) {
				return p, true
			}
			trials = append(trials, s)
		}
	}
	for _, s := range trials {
		s.lastTrial = now
	}
	return 0, false
}

// pausedFor reports whether the last crash or trial was less than a pause ago.
func (s *suspectPart) pausedFor(pause time.Duration, now time.Time) bool {
	return now.Sub(later(s.lastCrash(), s.lastTrial)) < pause
}

// quarantinePause returns the time from the last crash or trial to the next trial of a
// part in quarantine.
func (s *suspectPart) quarantinePause() time.Duration {
	if !s.wasSound {
		return QuarantineDuration
	}
	pause := soundPartRetry
	for i, c := range s.crashes[1:] {
		if c.at.Sub(s.crashes[i].at) >= soundPartRetry {
			pause *= soundPartRetryGrowth
		}
	}
	return min(pause, QuarantineDuration)
}

// Quarantined reports whether no request with the part is sent.
func (q *PartQuarantine) Quarantined(now time.Time, part uint64) bool {
	for _, st := range q.stages(now, part) {
		s, ok := q.suspects[st.id]
		if ok && s.reached(PartQuarantineCrashes, st, now) && s.inQuarantine(now) {
			return true
		}
	}
	return false
}

// reached reports whether a number of crashes, and those that its stage needs beyond,
// count against the part.
func (s *suspectPart) reached(crashes int, st stage, now time.Time) bool {
	extra := st.extra
	if !s.wasSound {
		extra = min(extra, maxExtraCrashes)
	}
	return s.atLeast(crashes+extra, now)
}

// inQuarantine reports whether the last crash was so recent that not even a trial of a
// part in quarantine is sent.
func (s *suspectPart) inQuarantine(now time.Time) bool {
	return now.Sub(s.lastCrash()) < s.quarantinePause()
}

// ResourceBlocked reports whether requests without a body that ask for the same
// resource may not be sent now. They are tracked as a part that they have in common.
func (q *PartQuarantine) ResourceBlocked(now time.Time, resource uint64) bool {
	s, ok := q.suspects[resource]
	if !ok || !s.atLeast(ResourceQuarantineCrashes, now) {
		return false
	}
	if s.pausedFor(s.quarantinePause(), now) {
		return true
	}
	s.lastTrial = now
	return false
}

// ResourceQuarantined reports whether no request without a body that asks for the
// resource is sent.
func (q *PartQuarantine) ResourceQuarantined(now time.Time, resource uint64) bool {
	s, ok := q.suspects[resource]
	return ok && s.atLeast(ResourceQuarantineCrashes, now) && s.inQuarantine(now)
}

// HasCrashes reports whether crashes that nothing has cleared are on record for a part.
func (q *PartQuarantine) HasCrashes(part uint64) bool { return q.suspects[part] != nil }

// StoppedSince reports whether a request with these parts that was allowed at a
// time must not be sent any more.
func (q *PartQuarantine) StoppedSince(now, allowed time.Time, parts []uint64) bool {
	for _, p := range parts {
		if q.Quarantined(now, p) {
			return true
		}
		for _, st := range q.stages(now, p) {
			s, ok := q.suspects[st.id]
			if ok && s.reached(PartSuspectCrashes, st, now) && s.lastCrash().After(allowed) {
				return true
			}
		}
	}
	return false
}

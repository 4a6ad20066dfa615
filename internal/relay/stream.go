package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

// streamBufferSize is the most that one read of a stream returns, in bytes. Events
// are a few hundred bytes long.
const streamBufferSize = 4 << 10

const (
	// maxEventBytes limits an incomplete event that is held in memory.
	maxEventBytes = 1 << 20
	// maxStreamBytes limits one response that is a stream, including events that
	// are not forwarded. A thousand events of the usual size have under 1 MB.
	maxStreamBytes = 64 << 20
)

// stream forwards the events of a response as they arrive. Only complete events
// are forwarded, so that the stream can be resumed after any of them.
func (x *exchange) stream(ctx context.Context, conn *upstream.Conn, resp *http.Response, t *dispatch.Ticket) attemptResult {
	s := eventSplitter{resumeAfter: x.lastEventID, continues: x.streamStarted}
	held := x.reserveResponse(t)
	buf := make([]byte, streamBufferSize)
	received := 0
	progress := time.Now() // head or newest complete event
	rate := tokenRateMeter{eventTokens: x.eventTokens()}
	for {
		conn.SetReadDeadline(x.nextReadDeadline(t, s.hasEvent, progress))
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if received == 0 {
				x.recordFirstEvent(t)
			}
			received += n
			complete, ok := s.add(buf[:n])
			if s.foreign {
				return notResumed(conn)
			}
			if !ok || received > maxStreamBytes || !held.Resize(s.memory()) {
				conn.Close()
				return x.oversized(ctx, "an event or the stream exceeds its size limit or the memory for responses")
			}
			if s.hasEvent && !x.begun {
				x.recordBegun(t)
			}
			if len(complete) > 0 {
				if !x.forwardEvents(resp, complete, s.lastID) {
					conn.Close()
					return failedAttempt(dispatch.Canceled, true, code.CallerLeft, "the client closed its connection")
				}
				progress = time.Now()
				x.stopSeeking()
				x.awaitMoreEvents(ctx, err)
			}
			if tokens, took := rate.observe(x.eventCount, time.Now()); tokens > 0 && x.h.timesEndpoints() {
				x.h.opts.Dispatcher.RecordTokens(t, tokens, took)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && s.continues && !s.hasID:
			return notResumed(conn)
		case err == io.EOF && len(s.partial) == 0:
			return x.finishStream(conn, resp, t)
		case isTimeout(err):
			conn.Close()
			return x.silent(ctx, t, "the stream delivered nothing for too long")
		default:
			conn.Close()
			return x.interrupted(ctx, code.Truncated, "the connection failed before the end of the stream")
		}
	}
}

// eventBatchDelay is how long an overloaded router lets events of a stream gather
// before it reads on. It is a small part of the delay within which an event has to
// be delivered, and about twice the time between two events.
const eventBatchDelay = 60 * time.Millisecond

// awaitMoreEvents lets events gather while this process is short of CPU time: each
// read and write costs it the same for several events as for one.
func (x *exchange) awaitMoreEvents(ctx context.Context, readErr error) {
	if readErr != nil || x.h.timesEndpoints() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(eventBatchDelay):
	}
}

// notResumed returns the result of an attempt whose endpoint responded with
// something else than the rest of the stream.
func notResumed(conn *upstream.Conn) attemptResult {
	conn.Close()
	return failedAttempt(dispatch.Failed, true, code.EndpointError, "the endpoint did not resume the stream")
}

// finishStream ends a stream that arrived completely.
func (x *exchange) finishStream(conn *upstream.Conn, resp *http.Response, t *dispatch.Ticket) attemptResult {
	if !x.streamStarted {
		x.writeStreamHead(resp)
	}
	x.h.opts.Dispatcher.RecordCompleted(t)
	x.putConn(conn, resp)
	return attemptResult{outcome: dispatch.Completed, delivered: true, mayHaveRun: true}
}

// writeStreamHead writes the head of the response. When another endpoint resumes
// the stream, the head is not written again.
func (x *exchange) writeStreamHead(resp *http.Response) {
	header := endToEndHeader(resp.Header)
	header.Del("Content-Length")
	copyHeader(x.w.Header(), header)
	x.h.announceClose(x.w.Header())
	x.w.WriteHeader(resp.StatusCode)
	x.streamStarted, x.lastEventAt = true, time.Now()
}

// forwardEvents writes complete events to the client. last is the ID of the
// newest of them. It reports whether the write succeeded.
func (x *exchange) forwardEvents(resp *http.Response, events []byte, last string) bool {
	if !x.streamStarted {
		x.writeStreamHead(resp)
	}
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	x.lastEventAt = time.Now()
	if last != "" {
		x.lastEventID = last
	}
	x.eventCount += bytes.Count(events, eventEnd)
	return true
}

// nextReadDeadline returns the time until which to wait for the next complete
// event of a stream before a standby is sought. The newest event, or the head before
// any event, arrived at progress. The time is the request's deadline if no other
// endpoint may resume the stream.
func (x *exchange) nextReadDeadline(t *dispatch.Ticket, hasEvent bool, progress time.Time) time.Time {
	end := x.deadline.Add(deadlineGrace)
	if !x.mayRetrySilent() {
		return end
	}
	wait := streamSilence
	if !hasEvent {
		wait += t.PredictedFirstEvent
	}
	if deadline := progress.Add(wait); deadline.Before(end) {
		return deadline
	}
	return end
}

// eventTokens returns the number of tokens in each event of the service, or 0 if
// it is not configured.
func (x *exchange) eventTokens() int {
	if s := x.table.Service(x.service); s != nil && s.Engine != nil {
		return s.Engine.EventTokens
	}
	return 0
}

// eventsPerSample is the number of events in one sample of a stream's token rate.
const eventsPerSample = 8

// tokenRateMeter samples the token rate of a stream.
type tokenRateMeter struct {
	eventTokens int
	events      int // at the last sample
	sampledAt   time.Time
}

// observe takes the number of events forwarded so far. It returns the tokens of a
// sample and the time they took, or 0 tokens if no sample is due.
func (m *tokenRateMeter) observe(events int, now time.Time) (int, time.Duration) {
	if m.sampledAt.IsZero() {
		m.events, m.sampledAt = events, now
		return 0, 0
	}
	n := events - m.events
	if n < eventsPerSample {
		return 0, 0
	}
	took := now.Sub(m.sampledAt)
	m.events, m.sampledAt = events, now
	return n * m.eventTokens, took
}

// eventSplitter splits a stream into complete events.
type eventSplitter struct {
	resumeAfter string // events up to this ID were forwarded before
	continues   bool   // a stream that another endpoint began
	lastID      string // ID of the newest complete event
	partial     []byte // start of an incomplete event
	hasEvent    bool   // a complete event has been received
	hasID       bool   // a complete event had an ID
	foreign     bool   // it continues with text that is no event with an ID
}

// memory returns how many bytes the splitter holds: the buffer of the incomplete
// event, and a copy of it while an event is completed.
func (s *eventSplitter) memory() int64 { return 2 * int64(cap(s.partial)) }

var eventEnd = []byte("\n\n")

// add appends bytes of the stream and returns the events that are complete now
// and were not forwarded before. It reports false if an event exceeds
// maxEventBytes.
func (s *eventSplitter) add(p []byte) ([]byte, bool) {
	searched := max(0, len(s.partial)-len(eventEnd)+1)
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial[searched:], eventEnd)
	if end < 0 {
		return nil, len(s.partial) <= maxEventBytes
	}
	end += searched + len(eventEnd)
	s.hasEvent = true
	complete := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return s.dropDuplicates(complete), true
}

// dropDuplicates records the newest event ID and drops events that were forwarded
// before.
func (s *eventSplitter) dropDuplicates(complete []byte) []byte {
	out := complete[:0]
	for len(complete) > 0 {
		n := bytes.Index(complete, eventEnd) + len(eventEnd)
		event := complete[:n]
		complete = complete[n:]
		id := eventID(event)
		s.hasID = s.hasID || id != ""
		if s.continues && !s.hasID && !isFiller(event) {
			s.foreign = true
		}
		if id != "" && s.resumeAfter != "" && !isNewer(id, s.resumeAfter) {
			continue
		}
		if id != "" {
			s.lastID = id
		}
		out = append(out, event...)
	}
	return out
}

// isFiller reports whether an event has only comments and empty lines.
func isFiller(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNewer reports whether id comes after than. IDs are numbers that increase
// within a stream; other IDs are newer if they differ.
func isNewer(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return id != than
	}
	return a > b
}

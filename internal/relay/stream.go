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

// streamBuffer is the size of one read of a stream; events are some hundred
// bytes long.
const streamBuffer = 4 << 10

// mostEventBytes bounds an event that is held until it is whole.
const mostEventBytes = 1 << 20

// stream passes the events of an answer on as they come. Only whole events
// are passed on, so that a stream can be resumed between two of them.
func (x *exchange) stream(ctx context.Context, conn *upstream.Conn, answer *http.Response, t *dispatch.Ticket) result {
	s := events{after: x.lastEvent}
	buf := make([]byte, streamBuffer)
	first := true
	pace := paceMeter{eventTokens: x.eventTokens()}
	for {
		conn.SetReadDeadline(x.silentUntil(t, first))
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if first {
				first = false
				x.firstEvent(t)
			}
			whole, ok := s.add(buf[:n])
			if !ok {
				conn.Close()
				return x.broken(ctx, code.Truncated, "the stream has a gap or an event without end")
			}
			if len(whole) > 0 && !x.forward(answer, whole, s.last) {
				conn.Close()
				return failed(dispatch.Canceled, true, code.CallerLeft, "the client closed its connection")
			}
			if tokens, took := pace.add(x.events, time.Now()); tokens > 0 {
				x.h.opts.Dispatcher.Generated(t, tokens, took)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && len(s.rest) == 0:
			return x.streamEnded(conn, answer)
		case isTimeout(err):
			conn.Close()
			return x.broken(ctx, code.Silent, "the stream went silent")
		default:
			conn.Close()
			return x.broken(ctx, code.Truncated, "the stream broke off")
		}
	}
}

// streamEnded ends a stream that came whole.
func (x *exchange) streamEnded(conn *upstream.Conn, answer *http.Response) result {
	if !x.started {
		x.begin(answer)
	}
	x.h.opts.Pool.Put(conn, answer)
	return result{outcome: dispatch.Served, done: true, mayHaveRun: true}
}

// begin writes the head of the stream's first run.
func (x *exchange) begin(answer *http.Response) {
	header := endToEnd(answer.Header)
	header.Del("Content-Length")
	copyHeader(x.w.Header(), header)
	x.w.WriteHeader(answer.StatusCode)
	x.started = true
}

// forward passes whole events on. It reports whether the client took them.
func (x *exchange) forward(answer *http.Response, events []byte, last string) bool {
	if !x.started {
		x.begin(answer)
	}
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	if last != "" {
		x.lastEvent = last
	}
	x.events += bytes.Count(events, eventEnd)
	return true
}

// silentUntil is the instant until which the next bytes of a stream are
// waited for.
func (x *exchange) silentUntil(t *dispatch.Ticket, first bool) time.Time {
	end := x.deadline.Add(deadlineGrace)
	if !x.route.Repeatable() || x.sends >= x.route.MaxAttempts {
		return end
	}
	patience := silentStream
	if first {
		patience += t.PredictedFirstEvent
	}
	if by := time.Now().Add(patience); by.Before(end) {
		return by
	}
	return end
}

// eventTokens returns how many tokens an event of the service holds.
func (x *exchange) eventTokens() int {
	if s := x.table.Service(x.service); s != nil && s.Engine != nil {
		return s.Engine.EventTokens
	}
	return 0
}

// paceEvents is how many events make one observation of a stream's pace.
const paceEvents = 8

// paceMeter observes how fast a stream's tokens come.
type paceMeter struct {
	eventTokens int
	events      int // at the last observation
	at          time.Time
}

// add takes the number of events passed on so far. It returns the tokens and
// the time of an observation, or 0 tokens if there is none yet.
func (m *paceMeter) add(events int, now time.Time) (int, time.Duration) {
	if m.at.IsZero() {
		m.events, m.at = events, now
		return 0, 0
	}
	n := events - m.events
	if n < paceEvents {
		return 0, 0
	}
	took := now.Sub(m.at)
	m.events, m.at = events, now
	return n * m.eventTokens, took
}

// events cuts a stream into whole events.
type events struct {
	after string // events up to this ID were passed on before
	last  string // ID of the newest whole event
	rest  []byte // begin of an event that is not whole
}

var eventEnd = []byte("\n\n")

// add takes further bytes and returns the whole events among them that were
// not passed on before. It reports false if the stream can't be right.
func (s *events) add(p []byte) ([]byte, bool) {
	s.rest = append(s.rest, p...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil, len(s.rest) <= mostEventBytes
	}
	end += len(eventEnd)
	whole := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	return s.fresh(whole), true
}

// fresh notes the newest ID and drops events that were passed on before.
func (s *events) fresh(whole []byte) []byte {
	out := whole[:0]
	for len(whole) > 0 {
		n := bytes.Index(whole, eventEnd) + len(eventEnd)
		event := whole[:n]
		whole = whole[n:]
		id := eventID(event)
		if id != "" && s.after != "" && !newer(id, s.after) {
			continue
		}
		if id != "" {
			s.last = id
		}
		out = append(out, event...)
	}
	return out
}

// eventID returns the ID of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// newer compares two IDs, which increase within a stream.
func newer(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return id != than
	}
	return a > b
}

// Package oplog writes the router's structured log: one JSON object a line on
// standard output, for each decision that touches a request or changes what
// the router believes.
//
// Writing never blocks the caller and its volume is bounded: lines go through
// a bounded queue to one writer, and each class of line has a rate. Lines
// that are left out are counted, and the count is logged.
package oplog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Class orders lines by what they are worth when there are too many.
type Class int

// The classes of lines.
const (
	Routine     Class = iota // decisions on requests that go well
	Failure                  // requests that are refused, retried or fail
	StateChange              // changes of what the router believes, starts, stops, dependencies
	classes
)

var classNames = [classes]string{"routine", "failure", "belief"}

// Lines a second and burst of each class. Together they stay under about
// 100 KB a second, a hundredth of an instance's link.
var classRates = [classes]struct {
	perSecond rate.Limit
	burst     int
}{
	Routine:     {40, 80},
	Failure:     {150, 400},
	StateChange: {60, 600},
}

const (
	queueLines  = 1024                   // lines that wait for the writer
	flushEvery  = 100 * time.Millisecond // so that lines are written together
	flushBytes  = 16 << 10
	reportEvery = 5 * time.Second // between two counts of lines left out
)

// Logger writes lines. It is safe for concurrent use.
type Logger struct {
	queue    chan []byte
	limiters [classes]*rate.Limiter
	dropped  [classes]*metrics.Counter
	base     []slog.Attr
	out      io.Writer
	done     chan struct{}
}

// New returns a logger and starts its writer; attrs go into every line.
// Close ends it.
func New(out io.Writer, attrs ...slog.Attr) *Logger {
	l := &Logger{queue: make(chan []byte, queueLines), base: attrs, out: out, done: make(chan struct{})}
	for c := range classes {
		l.limiters[c] = rate.NewLimiter(classRates[c].perSecond, classRates[c].burst)
		l.dropped[c] = metrics.GetOrCreateCounter(`cyclamenwinch_log_lines_dropped_total{class="` + classNames[c] + `"}`)
	}
	go l.write()
	return l
}

// Log writes one line if the rate of its class allows it.
func (l *Logger) Log(class Class, event string, attrs ...slog.Attr) {
	if !l.limiters[class].Allow() {
		l.dropped[class].Inc()
		return
	}
	l.enqueue(class, l.line(class, event, attrs))
}

func (l *Logger) line(class Class, event string, attrs []slog.Attr) []byte {
	var b bytes.Buffer
	level := slog.LevelInfo
	if class == Failure {
		level = slog.LevelWarn
	}
	r := slog.NewRecord(time.Now(), level, event, 0)
	r.AddAttrs(l.base...)
	r.AddAttrs(attrs...)
	// A bytes.Buffer takes every write, so Handle has no error to report.
	_ = slog.NewJSONHandler(&b, &slog.HandlerOptions{ReplaceAttr: rename}).Handle(context.Background(), r)
	return b.Bytes()
}

// rename gives the message the key that says what it is here.
func rename(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

func (l *Logger) enqueue(class Class, line []byte) {
	select {
	case l.queue <- line:
	default:
		l.dropped[class].Inc()
	}
}

// write writes lines in batches until the queue is closed. A line of the
// queue that can't be written is lost: there is nowhere else to say so.
func (l *Logger) write() {
	defer close(l.done)
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	var batch []byte
	reported, last := time.Now(), uint64(0)
	for {
		select {
		case line, ok := <-l.queue:
			if !ok {
				l.out.Write(batch)
				return
			}
			batch = append(batch, line...)
			if len(batch) < flushBytes {
				continue
			}
		case now := <-flush.C:
			if now.Sub(reported) >= reportEvery {
				if total := l.droppedLines(); total != last {
					batch = append(batch, l.line(StateChange, "log.lines_dropped", []slog.Attr{slog.Uint64("total", total)})...)
					last = total
				}
				reported = now
			}
			if len(batch) == 0 {
				continue
			}
		}
		l.out.Write(batch)
		batch = batch[:0]
	}
}

func (l *Logger) droppedLines() uint64 {
	total := uint64(0)
	for _, c := range l.dropped {
		total += c.Get()
	}
	return total
}

// Close writes what waits, but not for longer than the context lasts.
func (l *Logger) Close(ctx context.Context) {
	close(l.queue)
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

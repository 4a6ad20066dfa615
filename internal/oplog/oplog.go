// Package oplog writes the router's structured log: one JSON object per line
// on standard output, for each decision on a request and each change of the
// router's view of the fleet.
//
// Logging never blocks the caller, and its volume is limited: lines pass through
// a bounded queue to one writer goroutine, and each class of lines has a rate
// limit. Dropped lines are counted, and the count is logged.
package oplog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

// Class groups lines by importance; each class has a rate limit of its own.
type Class int

// The classes of lines.
const (
	Routine     Class = iota // decisions on requests that succeed
	Failure                  // requests that are refused, retried or fail
	StateChange              // changes of the router's view of the fleet, starts, stops, dependencies
	numClasses
)

// classNames are label values of the metric that counts dropped lines.
var classNames = [numClasses]string{"routine", "failure", "belief"}

// Lines per second and burst of each class. Together they stay under about
// 100 KB/s, a hundredth of the bandwidth of an instance's network link.
var classRates = [numClasses]struct {
	perSecond rate.Limit
	burst     int
}{
	Routine:     {40, 80},
	Failure:     {150, 400},
	StateChange: {60, 600},
}

const (
	queueCapacity      = 1024                   // lines waiting for the writer
	flushInterval      = 100 * time.Millisecond // between two writes, to batch lines
	flushBytes         = 16 << 10               // size of a batch that is written at once
	dropReportInterval = 5 * time.Second        // between two reports of dropped lines
	maxValueBytes      = 512                    // of a text in a line, before it is encoded
	maxListLength      = 16                     // of a list in a line
	cutMark            = "..."                  // at the end of a text that was cut
)

// Logger writes lines. It is safe for concurrent use.
type Logger struct {
	queue    chan []byte
	limiters [numClasses]*rate.Limiter
	dropped  [numClasses]*metrics.Counter
	base     []slog.Attr
	out      io.Writer
	stop     chan struct{} // closed by Close
	done     chan struct{}
}

// New returns a logger and starts its writer goroutine, which Close stops. Every
// line carries attrs.
func New(out io.Writer, attrs ...slog.Attr) *Logger {
	l := &Logger{queue: make(chan []byte, queueCapacity), base: attrs, out: out, stop: make(chan struct{}), done: make(chan struct{})}
	for c := range numClasses {
		l.limiters[c] = rate.NewLimiter(classRates[c].perSecond, classRates[c].burst)
		l.dropped[c] = metrics.GetOrCreateCounter(`cyclamenwinch_log_lines_dropped_total{class="` + classNames[c] + `"}`)
	}
	go l.write()
	return l
}

// Log queues one line. It drops the line if its class is over its rate limit or
// the queue is full.
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
	// Writes to a bytes.Buffer don't fail, so Handle returns no error.
	_ = slog.NewJSONHandler(&b, &slog.HandlerOptions{ReplaceAttr: replaceAttr}).Handle(context.Background(), r)
	return b.Bytes()
}

// replaceAttr changes the key of the message to "event", and cuts long values: clients
// choose some of them.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	if a.Value.Kind() == slog.KindString {
		if text := a.Value.String(); len(text) > maxValueBytes {
			a.Value = slog.StringValue(cut(text))
		}
		return a
	}
	switch list := a.Value.Any().(type) {
	case []uint64:
		a.Value = slog.AnyValue(list[:min(len(list), maxListLength)])
	case []string:
		short := make([]string, 0, min(len(list), maxListLength))
		for _, text := range list[:cap(short)] {
			short = append(short, cut(text))
		}
		a.Value = slog.AnyValue(short)
	}
	return a
}

func cut(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return text[:maxValueBytes] + cutMark
}

func (l *Logger) enqueue(class Class, line []byte) {
	select {
	case l.queue <- line:
	default:
		l.dropped[class].Inc()
	}
}

// write writes queued lines in batches until the queue is closed. Write errors
// are ignored and the lines lost, since there is nowhere else to report them.
func (l *Logger) write() {
	defer close(l.done)
	flush, report := wake.NewTicker(flushInterval), wake.NewTicker(dropReportInterval)
	defer flush.Stop()
	defer report.Stop()
	var batch []byte
	var due <-chan time.Time // nil: no lines wait
	reportDue, last := report.Next(), uint64(0)
	for {
		select {
		case <-l.stop:
			l.writeRest(batch)
			return
		case line := <-l.queue:
			batch = append(batch, line...)
			if len(batch) < flushBytes {
				if due == nil {
					due = flush.Next()
				}
				continue
			}
		case <-reportDue:
			reportDue = report.Next()
			total := l.droppedLines()
			if total == last {
				continue
			}
			batch = append(batch, l.line(StateChange, "log.lines_dropped", []slog.Attr{slog.Uint64("total", total)})...)
			last = total
		case <-due:
		}
		l.out.Write(batch)
		batch, due = batch[:0], nil
	}
}

// writeRest writes a batch and the lines that are queued.
func (l *Logger) writeRest(batch []byte) {
	for {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			l.out.Write(batch)
			return
		}
	}
}

func (l *Logger) droppedLines() uint64 {
	total := uint64(0)
	for _, c := range l.dropped {
		total += c.Get()
	}
	return total
}

// Close writes the queued lines and stops the writer. It returns when the context
// ends, even if lines are left. Later lines are lost. It must be called only once.
func (l *Logger) Close(ctx context.Context) {
	close(l.stop)
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

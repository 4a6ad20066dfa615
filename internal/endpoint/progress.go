package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

var errSilent = errors.New("the endpoint sent nothing of use for too long")

// uselessFactor is for how many progress timeouts an endpoint may send bytes that
// complete neither a response nor an event. Keepalive comments of a stream are
// such bytes.
const uselessFactor = 10

// progressWatch cancels a call if the endpoint sends nothing for limit, or nothing
// of use for uselessFactor times as long.
type progressWatch struct {
	silent  *time.Timer
	useless *time.Timer
	limit   time.Duration
	cancel  context.CancelCauseFunc
}

func watchProgress(ctx context.Context, limit time.Duration) (context.Context, *progressWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &progressWatch{limit: limit, cancel: cancel}
	expire := func() { cancel(errSilent) }
	w.silent, w.useless = time.AfterFunc(limit, expire), time.AfterFunc(uselessFactor*limit, expire)
	return ctx, w
}

func (w *progressWatch) stop() {
	w.silent.Stop()
	w.useless.Stop()
	w.cancel(nil)
}

// eventReceived restarts the time in which the next event must be complete.
func (w *progressWatch) eventReceived() { w.useless.Reset(uselessFactor * w.limit) }

// reader wraps r so that each read that returns data restarts the silence timer.
func (w *progressWatch) reader(r io.Reader) io.Reader {
	return &progressReader{watch: w, r: r}
}

type progressReader struct {
	watch *progressWatch
	r     io.Reader
}

// Read implements io.Reader. Data shows that the endpoint is not silent.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.watch.silent.Reset(p.watch.limit)
	}
	return n, err
}

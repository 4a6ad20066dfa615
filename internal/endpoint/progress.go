package endpoint

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

var errSilent = errors.New("the endpoint sent nothing for too long")

// progressWatch cancels a call if the endpoint sends nothing for limit.
type progressWatch struct {
	timer  *time.Timer
	limit  time.Duration
	cancel context.CancelCauseFunc
}

func watchProgress(ctx context.Context, limit time.Duration) (context.Context, *progressWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &progressWatch{limit: limit, cancel: cancel}
	w.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	return ctx, w
}

func (w *progressWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// reader wraps r so that each read that returns data counts as progress.
func (w *progressWatch) reader(r io.Reader) io.Reader {
	return &progressReader{watch: w, r: r}
}

type progressReader struct {
	watch *progressWatch
	r     io.Reader
}

// Read implements io.Reader. Data restarts the timer of the watch.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.watch.timer.Reset(p.watch.limit)
	}
	return n, err
}

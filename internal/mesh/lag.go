package mesh

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// logLagAfter is how long a copy may be older than a peer's before it is logged.
const logLagAfter = time.Second

// copyLag tells since when this router's copy of a collection is older than that of
// some peer.
type copyLag struct {
	newest replica.Position // newest one that a peer has reported
	since  time.Time        // zero: the copy is not older
	logged bool
}

// trackLag compares this router's positions with those of a peer. It logs a copy
// that stays older for logLagAfter, and again when it has caught up.
func (m *Mesh) trackLag(now time.Time, ours, theirs map[replica.Kind]replica.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kind := range m.opts.Replica.Kinds() {
		l := m.lags[kind]
		if l.newest.Before(theirs[kind]) {
			l.newest = theirs[kind]
		}
		switch {
		case !ours[kind].Before(l.newest):
			m.logCaughtUp(now, kind, l)
			l.since, l.logged = time.Time{}, false
		case l.since.IsZero():
			l.since = now
		case !l.logged && now.Sub(l.since) >= logLagAfter:
			l.logged = true
			m.opts.Log.Log(oplog.StateChange, "records.behind", l.attrs(now, kind, ours[kind])...)
		}
	}
}

func (m *Mesh) logCaughtUp(now time.Time, kind replica.Kind, l *copyLag) {
	if l.since.IsZero() {
		return
	}
	metrics.GetOrCreateHistogram(`cyclamenwinch_records_behind_seconds{collection="` + string(kind) + `"}`).Update(now.Sub(l.since).Seconds())
	if l.logged {
		m.opts.Log.Log(oplog.StateChange, "records.caught_up", l.attrs(now, kind, l.newest)...)
	}
}

func (l *copyLag) attrs(now time.Time, kind replica.Kind, at replica.Position) []slog.Attr {
	return []slog.Attr{slog.String("collection", string(kind)), slog.Int64("era", at.Era), slog.Int64("revision", at.Revision),
		slog.Int64("newest_era", l.newest.Era), slog.Int64("newest", l.newest.Revision), slog.Duration("age", now.Sub(l.since))}
}

func newLags() map[replica.Kind]*copyLag {
	lags := map[replica.Kind]*copyLag{}
	for _, kind := range replica.AllKinds {
		lags[kind] = &copyLag{}
	}
	return lags
}

package edge

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// profileLogInterval is the time between two rounds of log lines on endpoints.
	profileLogInterval = time.Second
	// maxLoggedProfiles limits the profiles in one round. It is a twelfth of the lines
	// a second of their class.
	maxLoggedProfiles = 5
)

// Observations that this router has learned from, by who made them. Those ignored are of
// another incarnation, of an unknown endpoint, or figures that can't be measured.
var (
	profilesOwn     = metrics.NewCounter(`cyclamenwinch_profile_observations_total{from="own"}`)
	profilesPeers   = metrics.NewCounter(`cyclamenwinch_profile_observations_total{from="peers"}`)
	profilesIgnored = metrics.NewCounter(`cyclamenwinch_profile_observations_total{from="ignored"}`)
)

// logProfiles logs what this router believes of the endpoints whose speed has changed
// most, and counts what it has learned from, until the context ends.
func (e *Edge) logProfiles(ctx context.Context) error {
	ticks := wake.NewTicker(profileLogInterval)
	defer ticks.Stop()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		var changed []dispatch.ProfileView
		var tally dispatch.ProfileTally
		e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
			changed, tally = d.ProfileChanges(now, maxLoggedProfiles), d.TakeProfileTally()
		})
		profilesOwn.Add(tally.Own)
		profilesPeers.Add(tally.Peers)
		profilesIgnored.Add(tally.Ignored)
		for _, p := range changed {
			e.log.Log(oplog.StateChange, "endpoint.profile", slog.String("endpoint", p.Endpoint), slog.String("service", p.Service), slog.String("zone", p.Zone),
				slog.Float64("factor", p.Factor), slog.Float64("token_factor", p.TokenFactor), slog.Duration("base", p.BaseFirstEvent), slog.Float64("tokens_per_ms", p.TokensPerMs),
				slog.Duration("per_token", p.TokenTime), slog.Float64("evidence", p.Evidence), slog.Duration("age", p.Age))
		}
	}
}

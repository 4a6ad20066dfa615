package relay

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// accountLogInterval is the time between two reports of the accounts.
	accountLogInterval = time.Second
	// maxLoggedAccounts limits the accounts in one report, those with the most
	// requests.
	maxLoggedAccounts = 3
	// minLoggedRequests is the least number of requests of an account that is
	// reported.
	minLoggedRequests = 10
)

// accountTally counts the requests of one account by their outcome.
type accountTally struct {
	ended    int
	outcomes map[string]int // by outcome, as in the metric of requests
}

// accountTallies counts the requests of the accounts since the last report. It is
// safe for concurrent use.
type accountTallies struct {
	mu  sync.Mutex
	all map[string]*accountTally // by account
}

// countOutcome counts the end of a request.
func (a *accountTallies) countOutcome(account, outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all == nil {
		a.all = map[string]*accountTally{}
	}
	t, ok := a.all[account]
	if !ok {
		t = &accountTally{outcomes: map[string]int{}}
		a.all[account] = t
	}
	t.ended++
	t.outcomes[outcome]++
}

// take returns the tallies since the last call.
func (a *accountTallies) take() map[string]*accountTally {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.all
	a.all = nil
	return all
}

// LogAccounts logs once a second how the requests of the busiest accounts ended at
// this router, until the context ends.
func (h *Relay) LogAccounts(ctx context.Context) error {
	ticks := wake.NewTicker(accountLogInterval)
	defer ticks.Stop()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		h.logAccounts(h.tallies.take())
	}
}

func (h *Relay) logAccounts(all map[string]*accountTally) {
	names := make([]string, 0, len(all))
	for name, t := range all {
		if t.ended >= minLoggedRequests {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(all[b].ended, all[a].ended) })
	for _, name := range names[:min(len(names), maxLoggedAccounts)] {
		usage := h.opts.Dispatcher.ReportAccount(name)
		h.opts.Log.Log(oplog.StateChange, "account.requests", slog.String("account", name), slog.Int("ended", all[name].ended), slog.Any("outcomes", all[name].outcomes),
			slog.Duration("cpu_wait", h.lag()), slog.Int64("open", h.openRequests.Load()),
			slog.Float64("demand", usage.Demand), slog.Float64("granted", usage.Granted), slog.Float64("fleet_demand", usage.FleetDemand), slog.Float64("fleet_granted", usage.FleetGranted),
			slog.Float64("share", usage.Share), slog.Bool("overloaded", usage.Overloaded),
			slog.Float64("queued", usage.Queued), blockedAttr(usage.Blocked),
			slog.Float64("latency_factor", usage.Endpoints.LatencyFactor), loadAttr("own_load", usage.Endpoints.Own), loadAttr("peer_load", usage.Endpoints.Peers))
	}
}

// blockedAttr returns the endpoints that requests could not be sent to, by reason,
// as a log group.
func blockedAttr(b dispatch.BlockedEndpoints) slog.Attr {
	return slog.Group("blocked", slog.Int("unavailable", b.Unavailable), slog.Int("too_late", b.TooLate), slog.Int("slots", b.Slots),
		slog.Int("memory", b.Memory), slog.Int("prefill", b.Prefill), slog.Int("cold", b.Cold))
}

func loadAttr(name string, l dispatch.Load) slog.Attr {
	return slog.Group(name, slog.Int("active", l.Active), slog.Int("pending", l.Pending), slog.Int("resident", l.Resident))
}

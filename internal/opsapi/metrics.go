package opsapi

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// metrics writes the gauges of the router's state and all registered metrics in
// the Prometheus text format.
func (a *API) metrics(w http.ResponseWriter, r *http.Request) {
	a.writeGauges(w)
	metrics.WritePrometheus(w, true)
}

func (a *API) writeGauges(w io.Writer) {
	fleet := a.opts.Fleet
	generation := int64(0)
	if m := fleet.Manifest(); m != nil {
		generation = m.Generation
	}
	ready := uint64(0)
	if a.readiness() == nil {
		ready = 1
	}
	metrics.WriteGaugeUint64(w, "cyclamenwinch_generation", uint64(generation))
	metrics.WriteGaugeUint64(w, "cyclamenwinch_members", uint64(len(fleet.View().Routers)))
	metrics.WriteGaugeUint64(w, "cyclamenwinch_open_requests", uint64(a.opts.OpenRequests()))
	metrics.WriteGaugeUint64(w, "cyclamenwinch_ready", ready)
	if a.opts.Pools != nil {
		writePools(w, a.opts.Pools())
	}
}

// writePools writes the gauges of the pools that this router owns.
func writePools(w io.Writer, pools []PoolState) {
	for _, p := range pools {
		for _, e := range p.Endpoints {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("cyclamenwinch_slots_busy{scope=%q,endpoint=%q}", p.Scope, e.Endpoint), uint64(e.Busy))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("cyclamenwinch_slots_limit{scope=%q,endpoint=%q}", p.Scope, e.Endpoint), uint64(e.Limit))
		}
		for _, q := range p.Accounts {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("cyclamenwinch_waiting_requests{scope=%q,account=%q}", p.Scope, q.Account), uint64(q.Waiting))
		}
	}
}

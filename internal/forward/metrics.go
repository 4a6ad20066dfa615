package forward

import "github.com/VictoriaMetrics/metrics"

var (
	forwarded      = metrics.NewCounter("cyclamenwinch_forwarded_connections_total")
	rejected       = metrics.NewCounter("cyclamenwinch_client_connections_rejected_total")
	refusedTakes   = [...]*metrics.Counter{noTarget: refusedTake("target"), noRoom: refusedTake("connections"), noCPU: refusedTake("cpu"), notRunning: refusedTake("stopping")}
	connectErrors  = failure("connect")
	targetErrors   = failure("target")
	noResponses    = failure("no_response")
	silentTargets  = failure("silent")
	stalledClients = failure("client_stalled")
	noMemory       = failure("memory")
	clientsLeft    = metrics.NewCounter("cyclamenwinch_forwarded_clients_left_total")
	openGauge      = metrics.NewGauge("cyclamenwinch_forwarded_connections_open", nil)
	roundsTotal    = metrics.NewCounter("cyclamenwinch_forward_rounds_total")
	cpuSeconds     = metrics.NewFloatCounter("cyclamenwinch_forward_cpu_seconds_total")
)

// Reasons for which a connection is not taken.
const (
	noTarget = iota
	noRoom
	noCPU
	notRunning
)

func refusedTake(limit string) *metrics.Counter {
	return metrics.NewCounter(`cyclamenwinch_forward_limited_total{limit="` + limit + `"}`)
}

func failure(reason string) *metrics.Counter {
	return metrics.NewCounter(`cyclamenwinch_forward_failures_total{reason="` + reason + `"}`)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a sound stand-in of a runner, as PROTOCOL.md describes it: it runs what is
// meant for it and answers a stream of one event.
type runner struct {
	id, service, zone, address string
	born                       int64

	mu   sync.Mutex
	runs int
}

const (
	// runTime is how long a run takes.
	runTime = 15 * time.Millisecond
	// modelRunnersPerZone is how many runners the model service has in each zone.
	modelRunnersPerZone = 6
)

// startModelRunners starts the runners of the model service.
func startModelRunners(w *world) (map[string]entry, error) {
	entries := map[string]entry{}
	for i := range modelRunnersPerZone * len(zones) {
		n, err := newRunner(fmt.Sprintf("i-%08x", 0x5eed00+i), modelService, zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		w.runners = append(w.runners, n)
		entries[n.id] = n.entry
	}
	return entries, nil
}

func newRunner(id, service, zone string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &runner{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli()}
	go http.Serve(l, n)
	return n, nil
}

// ServeHTTP implements http.Handler.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", n.id)
	if r.URL.Path == healthPath {
		return
	}
	id := r.Header.Get(wire.AttemptHeader)
	h.Set(wire.AttemptHeader, id)
	if expected := r.Header.Get(wire.ExpectedInstanceHeader); expected != "" && expected != n.id || id == "" {
		h.Set(wire.NotExecutedHeader, "1")
		status := http.StatusMisdirectedRequest
		if id == "" {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	n.mu.Lock()
	n.runs++
	n.mu.Unlock()
	time.Sleep(runTime)
	h.Set(wire.SealHeader, "seal."+id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id)
}

func (n *runner) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs
}

// entry is what the runner writes into the store.
func (n *runner) entry(sequence int64) map[string]any {
	return map[string]any{"service": n.service, "address": n.address, "zone": n.zone, "version": "v1", "slots": 64, "state": "ready",
		wire.ColdRemaining: 0, "sequence": sequence, "born": n.born, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}}
}

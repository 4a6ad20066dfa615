package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateShare is the part of the runners that send extra answers, lateAnswers the part of
	// their answers that they send a second time, and lateTime how long they do: the dose of
	// `garble` with `extra late` on the sheet of the site.
	lateShare   = 0.6
	lateAnswers = 0.03
	lateTime    = 5 * time.Second
)

// lateRunner is a stand-in of a runner of the model service. While it is faulty, it sends
// some answers a second time, late: where the next answer on the connection is expected.
type lateRunner struct {
	id, zone, address string
	born              int64
	faulty            atomic.Bool

	mu                       sync.Mutex
	runs, rejected, repeated int
}

// startLateRunners starts the runners of the model service.
func startLateRunners(w *world) (map[string]entry, error) {
	entries := map[string]entry{}
	for i := range modelRunnersPerZone * len(zones) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n := &lateRunner{id: fmt.Sprintf("i-%08x", 0x0dd000+i), zone: zones[i%len(zones)], address: l.Addr().String(), born: time.Now().UnixMilli()}
		go n.serve(l)
		w.late = append(w.late, n)
		entries[n.id] = n.entry
	}
	return entries, nil
}

// garble makes a part of the runners send extra answers for lateTime.
func (w *world) garble() {
	faulty := w.late[:int(lateShare*float64(len(w.late)))]
	for _, n := range faulty {
		n.faulty.Store(true)
	}
	w.record.printf("%d of %d runners send %v of their answers a second time for %v", len(faulty), len(w.late), lateAnswers, lateTime)
	time.Sleep(lateTime)
	for _, n := range faulty {
		n.faulty.Store(false)
	}
	w.record.printf("they don't any more")
}

func (n *lateRunner) entry(sequence int64) map[string]any {
	return map[string]any{"service": modelService, "address": n.address, "zone": n.zone, "version": "v1", "slots": 64, "state": "ready",
		wire.ColdRemaining: 0, "sequence": sequence, "born": n.born, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}}
}

func (n *lateRunner) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.serveConn(c)
	}
}

// serveConn answers the requests of a connection, one after the other.
func (n *lateRunner) serveConn(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	extra := "" // a second copy of the last answer
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response, ran := n.respond(r)
		if !n.faulty.Load() {
			extra = ""
		}
		if extra != "" {
			n.count(&n.repeated)
		}
		if _, err := io.WriteString(c, extra+response); err != nil {
			return
		}
		extra = ""
		if ran && rand.Float64() < lateAnswers {
			extra = response
		}
	}
}

// respond runs a request or rejects it, and reports whether it ran.
func (n *lateRunner) respond(r *http.Request) (response string, ran bool) {
	id := r.Header.Get(wire.AttemptHeader)
	expected := r.Header.Get(wire.ExpectedInstanceHeader)
	switch {
	case r.URL.Path == healthPath:
		return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + n.id + "\r\nContent-Length: 0\r\n\r\n", false
	case expected != "" && expected != n.id:
		n.count(&n.rejected)
		return "HTTP/1.1 421 Misdirected Request\r\n" + wire.AttemptHeader + ": " + id + "\r\nX-Instance-Id: " + n.id + "\r\n" + wire.NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n", false
	case id == "":
		n.count(&n.rejected)
		return "HTTP/1.1 400 Bad Request\r\nX-Instance-Id: " + n.id + "\r\n" + wire.NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n", false
	}
	time.Sleep(runTime)
	n.count(&n.runs)
	event := "id: 1\ndata: written for " + r.Header.Get(wire.AccountHeader) + "\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+wire.AttemptHeader+": %s\r\nX-Instance-Id: %s\r\n"+wire.SealHeader+": seal.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, n.id, id, len(event), event), true
}

func (n *lateRunner) count(what *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*what++
}

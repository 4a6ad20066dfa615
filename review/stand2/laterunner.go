package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// orderRunTime is the mean work of a request of the order service.
	orderRunTime = 30 * time.Millisecond
	// lateShare is the part of the runners that send extra answers, and lateAnswers the part
	// of their answers that they send a second time: the largest dose of `garble` with `extra
	// late` on the sheet of the site.
	lateShare   = 0.6
	lateAnswers = 0.03
)

// lateRunner is a stand-in of a runner of the order service. If it is faulty, it sends some
// answers a second time, late: where the next answer on the connection is expected.
type lateRunner struct {
	id, zone, address string
	born              int64
	faulty            bool

	mu                       sync.Mutex
	runs, rejected, repeated int
}

// startOrderRunners starts the runners of the order service: one in each zone.
func startOrderRunners(w *world) (map[string]entry, error) {
	entries := map[string]entry{}
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n := &lateRunner{id: fmt.Sprintf("i-%08x", 0x0dd000+i), zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(),
			faulty: w.trouble && float64(i+1) <= lateShare*float64(len(zones))}
		go n.serve(l)
		w.late = append(w.late, n)
		entries[n.id] = n.entry
	}
	return entries, nil
}

func (n *lateRunner) entry(sequence int64) map[string]any {
	return map[string]any{"service": orderService, "address": n.address, "zone": n.zone, "version": "v1", "slots": 6, "state": "ready",
		wire.ColdRemaining: 0, "sequence": sequence, "born": n.born, "models": []any{}}
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
		response := n.respond(r)
		if _, err := io.WriteString(c, extra+response); err != nil {
			return
		}
		extra = ""
		if n.faulty && rand.Float64() < lateAnswers {
			extra = response
			n.count(&n.repeated)
		}
	}
}

// respond runs a request or rejects it.
func (n *lateRunner) respond(r *http.Request) string {
	id := r.Header.Get(wire.AttemptHeader)
	expected := r.Header.Get(wire.ExpectedInstanceHeader)
	switch {
	case r.URL.Path == healthPath:
		return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + n.id + "\r\nContent-Length: 0\r\n\r\n"
	case expected != "" && expected != n.id:
		n.count(&n.rejected)
		return "HTTP/1.1 421 Misdirected Request\r\n" + wire.AttemptHeader + ": " + id + "\r\nX-Instance-Id: " + n.id + "\r\n" + wire.NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	case id == "":
		n.count(&n.rejected)
		return "HTTP/1.1 400 Bad Request\r\nX-Instance-Id: " + n.id + "\r\n" + wire.NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(orderRunTime)))
	n.count(&n.runs)
	body := "status of the orders of " + r.Header.Get(wire.AccountHeader)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+wire.AttemptHeader+": %s\r\nX-Instance-Id: %s\r\n"+wire.SealHeader+": seal.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, n.id, id, len(body), body)
}

func (n *lateRunner) count(what *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*what++
}

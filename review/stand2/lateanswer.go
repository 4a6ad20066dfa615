package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// statusClients are the clients of each kind, and statusPerSecond the requests of one.
	statusClients   = 4
	statusPerSecond = 20
	// statusTime is how long they send.
	statusTime = 40 * time.Second
)

// lateAnswer has ordinary clients and clients that name no attempt ask for the status of
// orders, while runners send some answers a second time. It checks whose answer each
// client gets.
func lateAnswer(w *world) (broken bool, err error) {
	w.record.printf("trouble %v: %d ordinary clients and %d that name no attempt, %d requests a second each, at %s",
		w.trouble, statusClients, statusClients, statusPerSecond, w.routers[0].name)
	var ordinary, uncontrolled answers
	until := time.Now().Add(statusTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	foreign := 0
	for i := range 2 * statusClients {
		c := statusClient{router: w.routers[0], key: ordinaryKey, tenant: ordinaryTenant, named: true}
		a := &ordinary
		if i%2 == 1 {
			c.key, c.tenant, c.named, a = apiKey, uncontrolledTenant, false, &uncontrolled
		}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / statusPerSecond / (2 * statusClients))
			for time.Now().Before(until) {
				outcome, isForeign := c.ask(w.record)
				a.add(outcome)
				if isForeign {
					mu.Lock()
					foreign++
					mu.Unlock()
				}
				time.Sleep(time.Second / statusPerSecond)
			}
		})
	}
	clients.Wait()
	for _, n := range w.late {
		n.mu.Lock()
		w.record.printf("%s at %s, faulty %v: ran %d, rejected %d, sent %d answers a second time", n.id, n.address, n.faulty, n.runs, n.rejected, n.repeated)
		n.mu.Unlock()
	}
	w.record.printf("ordinary clients: %v; clients that name no attempt: %v; answers to other requests: %d", &ordinary, &uncontrolled, foreign)
	if ordinary.byStatus["200"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return foreign > 0, nil
}

// statusClient asks for the status of orders on a connection that it keeps.
type statusClient struct {
	router      *router
	key, tenant string
	named       bool // it names its attempts
	conn        net.Conn
	reader      *bufio.Reader
}

// ask sends a request. It returns how that ended, and whether the answer is that to a
// request of somebody else.
func (c *statusClient) ask(log *record) (outcome string, foreign bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router.front, time.Second)
		if err != nil {
			return "no connection", false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	keep := false
	defer func() {
		if !keep {
			c.conn.Close()
			c.conn = nil
		}
	}()
	number := lastID.Add(1)
	id, name := "", ""
	if c.named {
		id = fmt.Sprintf("%016x", number)
		name = wire.AttemptHeader + ": " + id + "\r\n"
	}
	c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	path := fmt.Sprintf("/cuti104/%d", number)
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Deadline-Ms: 1000\r\nAuthorization: Token %s\r\n\r\n", path, host, name, c.key); err != nil {
		return "no answer", false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "no answer", false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut in the answer", false
	}
	keep = !resp.Close
	if answered := resp.Header.Get(wire.AttemptHeader); answered != "" && answered != id {
		log.printf("FOREIGN: the request for %s of %s, attempt %q, gets %d with the attempt %s, the signature %q and the body %q",
			path, c.tenant, id, resp.StatusCode, answered, resp.Header.Get(wire.SealHeader), body)
		return "answer to another request", true
	}
	return fmt.Sprint(resp.StatusCode), false
}

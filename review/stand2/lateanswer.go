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
	// namedPerSecond and unnamedPerSecond are the rates of the ordinary clients and of those
	// that name no attempt, over all routers: together those of the sheet's streams.
	namedPerSecond   = 265
	unnamedPerSecond = 130
	// streamClients is the number of clients of each kind at a router.
	streamClients = 6
	// quietTime is how long clients send before and after the disruption.
	quietTime = 3 * time.Second
)

// lateAnswer has ordinary clients and clients that name no attempt ask for short streams,
// while runners send some answers a second time. It checks whose answer each client gets.
func lateAnswer(w *world) (broken bool, err error) {
	w.record.printf("trouble %v: %d requests a second of ordinary clients and %d of clients that name no attempt, at %d routers with %d runners",
		w.trouble, namedPerSecond, unnamedPerSecond, len(w.routers), len(w.late))
	var ordinary, uncontrolled answers
	until := time.Now().Add(2*quietTime + lateTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	foreign := 0
	start := func(c streamClient, perSecond int, a *answers, offset time.Duration) {
		every := time.Duration(streamClients*len(w.routers)) * time.Second / time.Duration(perSecond)
		clients.Go(func() {
			time.Sleep(offset)
			for next := time.Now(); time.Now().Before(until); {
				outcome, isForeign := c.ask(w.record)
				a.add(outcome)
				if isForeign {
					mu.Lock()
					foreign++
					mu.Unlock()
				}
				next = next.Add(every)
				if late := time.Since(next); late > 0 {
					next = next.Add(late) // what was missed is not made up for
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	for _, r := range w.routers {
		for i := range streamClients {
			offset := time.Duration(i) * 20 * time.Millisecond
			start(streamClient{router: r, key: ordinaryKey, tenant: ordinaryTenant, named: true}, namedPerSecond, &ordinary, offset)
			start(streamClient{router: r, key: apiKey, tenant: uncontrolledTenant}, unnamedPerSecond, &uncontrolled, offset)
		}
	}
	time.Sleep(quietTime)
	if w.trouble {
		w.garble()
	}
	clients.Wait()
	runs, rejected, repeated := 0, 0, 0
	for _, n := range w.late {
		n.mu.Lock()
		runs, rejected, repeated = runs+n.runs, rejected+n.rejected, repeated+n.repeated
		n.mu.Unlock()
	}
	w.record.printf("runners: ran %d, rejected %d, sent %d answers a second time", runs, rejected, repeated)
	w.record.printf("ordinary clients: %v; clients that name no attempt: %v; answers to other requests: %d", &ordinary, &uncontrolled, foreign)
	if ordinary.byStatus["200"] == 0 || w.trouble && repeated == 0 {
		return false, fmt.Errorf("no request was served, or no answer was repeated")
	}
	return foreign > 0, nil
}

// streamClient asks for streams on a connection that it keeps.
type streamClient struct {
	router      *router
	key, tenant string
	named       bool // it names its attempts
	conn        net.Conn
	reader      *bufio.Reader
}

// ask sends a request. It returns how that ended, and whether the answer is that to a
// request of somebody else.
func (c *streamClient) ask(log *record) (outcome string, foreign bool) {
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
	hash, tokens := ordinaryPrompt(700)(number)
	path := fmt.Sprintf("/pufi791/%d", number)
	c.conn.SetDeadline(time.Now().Add(clientDeadline + time.Second))
	if _, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sX-Model: m\r\n%s: %d,8\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 6\r\n\r\nprompt",
		path, host, name, wire.TokensHeader, tokens, wire.PrefixHeader, hash, clientDeadline.Milliseconds(), c.key); err != nil {
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

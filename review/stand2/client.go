package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answers counts how the requests of a group of clients ended.
type answers struct {
	mu       sync.Mutex
	sent     int
	byStatus map[string]int
}

func (a *answers) add(outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byStatus == nil {
		a.byStatus = map[string]int{}
	}
	a.sent++
	a.byStatus[outcome]++
}

func (a *answers) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("sent %d, ended %v", a.sent, a.byStatus)
}

var lastID atomic.Int64

// clientDeadline is the deadline of a request.
const clientDeadline = 10 * time.Second

// client keeps one connection to a router and sends one request after the other.
type client struct {
	to     *router
	key    string
	prompt func(id int64) (hash string, tokens int)
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and returns how it ended.
func (c *client) send() (outcome string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to.front, time.Second)
		if err != nil {
			return "no connection"
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
	id := fmt.Sprintf("%016x", number)
	hash, tokens := c.prompt(number)
	head := fmt.Sprintf("POST /pufi791/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Model: m\r\n%s: %d,8\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 6\r\n\r\n",
		id, host, wire.AttemptHeader, id, wire.TokensHeader, tokens, wire.PrefixHeader, hash, clientDeadline.Milliseconds(), c.key)
	if len(head) > maxHeaderBytes {
		return "not sent: the head exceeds max-header-bytes"
	}
	c.conn.SetDeadline(time.Now().Add(clientDeadline + time.Second))
	if _, err := io.WriteString(c.conn, head+"prompt"); err != nil {
		return "no answer"
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut in the answer"
	}
	keep = !resp.Close
	if resp.StatusCode == http.StatusOK && (resp.Header.Get(wire.SealHeader) != "seal."+id || string(body) != "id: 1\ndata: "+id+"\n\n") {
		return "wrong answer"
	}
	return fmt.Sprint(resp.StatusCode)
}

// repeat sends requests at a rate until a time or until stop is set.
func (c *client) repeat(every time.Duration, until time.Time, stop *atomic.Bool, a *answers) {
	for next := time.Now(); time.Now().Before(until) && !stop.Load(); {
		a.add(c.send())
		next = next.Add(every)
		if late := time.Since(next); late > 0 {
			next = next.Add(late) // what was missed is not made up for
		}
		time.Sleep(time.Until(next))
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// ordinaryPrompt is a prompt of three parts: two that others share, and its own.
func ordinaryPrompt(tokens int) func(int64) (string, int) {
	return func(id int64) (string, int) {
		return fmt.Sprintf("5c1e07a2:%d,%08x:%d,%08x:%d", tokens/4, 0x91bd3f00+id%200, tokens/4, 0xe0000000+id, tokens-2*(tokens/4)), tokens
	}
}

// finePrompt is a prompt of very many parts, which no other prompt has. Only the last one
// has tokens.
func finePrompt(parts, tokens int) func(int64) (string, int) {
	return func(id int64) (string, int) {
		var b strings.Builder
		first := 0x1000000 + id*int64(parts)
		for i := range parts - 1 {
			fmt.Fprintf(&b, "%x:0,", first+int64(i))
		}
		fmt.Fprintf(&b, "%x:%d", first+int64(parts)-1, tokens)
		return b.String(), tokens
	}
}

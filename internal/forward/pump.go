package forward

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// Sides of a connection in epoll's data.
const (
	clientSide = iota
	targetSide
)

// socketEvents are edge-triggered, so that each socket is registered once and never again.
const (
	socketEvents = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET
	peerEnded    = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

func (c *Copier) register(fd, slot int, side int32) error {
	event := unix.EpollEvent{Events: socketEvents, Fd: int32(slot), Pad: side}
	return unix.EpollCtl(c.epoll, unix.EPOLL_CTL_ADD, fd, &event)
}

// connect begins to connect to the target.
func (c *Copier) connect(now time.Time, cn *conn) {
	cn.connecting, cn.connectBy = true, now.Add(connectTimeout)
	fd, err := dial(&unix.SockaddrInet4{Addr: cn.to.As4(), Port: int(c.opts.Port)})
	cn.target = fd
	if err == nil {
		err = c.register(fd, cn.slot, targetSide)
	}
	if err != nil {
		c.connectFailed(now, cn)
		return
	}
	c.connecting.push(cn)
}

// dial returns a socket that is being connected, or -1.
func dial(to unix.Sockaddr) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	// A connection with the kernel's own limits is better than none.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	if err := unix.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
		return fd, err
	}
	return fd, nil
}

// connectFailed tries another target once. Nothing of the request was sent, so it may
// also be rejected.
func (c *Copier) connectFailed(now time.Time, cn *conn) {
	connectErrors.Inc()
	closeSocket(cn.target, false)
	cn.target, cn.connecting = -1, false
	if !cn.retried {
		cn.retried = true
		c.mu.Lock()
		c.chooser.Fail(now, cn.to)
		to, ok := c.chooser.Choose(now, rand.Float64(), cn.to)
		if ok {
			c.chooser.End(cn.to)
			c.chooser.Begin(to.Address)
			cn.to = to.Address
		}
		c.mu.Unlock()
		if ok {
			c.connect(now, cn)
			return
		}
	}
	if reject(cn.client, c.buf) {
		c.countRejected()
		c.countFailed()
		c.close(cn, false)
		return
	}
	c.fail(cn, nil)
}

// connected passes on what the client has sent.
func (c *Copier) connected(cn *conn) {
	cn.connecting = false
	forwarded.Inc()
	c.mu.Lock()
	c.sums.Targets[c.chooser.Name(cn.to)]++
	c.mu.Unlock()
	cn.clientMore = true
	c.pumpRequest(cn)
	if cn.client >= 0 && c.register(cn.client, cn.slot, clientSide) != nil {
		c.fail(cn, targetErrors)
	}
}

// handleEvents handles what has happened to the sockets.
func (c *Copier) handleEvents(now time.Time) error {
	for {
		n, err := unix.EpollWait(c.epoll, c.events, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return err
		}
		for _, event := range c.events[:n] {
			if cn := c.slots[event.Fd]; cn == nil {
				continue // closed in this round
			} else if event.Pad == clientSide {
				c.handleClient(now, cn, event.Events)
			} else {
				c.handleTarget(now, cn, event.Events)
			}
		}
		if n < len(c.events) {
			return nil
		}
	}
}

func (c *Copier) handleClient(now time.Time, cn *conn, events uint32) {
	if events&peerEnded != 0 {
		c.clientLeft(cn)
		return
	}
	if events&unix.EPOLLIN != 0 {
		cn.clientMore = true
		c.pumpRequest(cn)
	}
	if events&unix.EPOLLOUT != 0 && cn.client >= 0 && len(cn.toClient.rest) > 0 {
		c.flushResponse(now, cn)
	}
}

func (c *Copier) handleTarget(now time.Time, cn *conn, events uint32) {
	if cn.connecting {
		if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
			c.connectFailed(now, cn)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.connected(cn)
	} else if events&unix.EPOLLOUT != 0 && len(cn.toTarget.rest) > 0 {
		c.flushRequest(cn)
	}
	if cn.target < 0 || events&(unix.EPOLLIN|peerEnded) == 0 {
		return
	}
	cn.targetMore = true
	cn.targetEnded = cn.targetEnded || events&peerEnded != 0
	cn.targetBroken = cn.targetBroken || events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
	if !cn.responded || cn.targetEnded || !now.Before(cn.readAt) {
		c.pumpResponse(now, cn)
	} else {
		c.pace(cn)
	}
}

// pace reads the response at readAt, which is the same time from now for all connections.
func (c *Copier) pace(cn *conn) {
	if !cn.paced {
		cn.paced = true
		c.paced.push(cn)
	}
}

// handleDue handles what is due without an event.
func (c *Copier) handleDue(now time.Time) {
	for cn := c.connecting.first(); cn != nil && (!cn.connecting || !now.Before(cn.connectBy)); cn = c.connecting.first() {
		c.connecting.pop()
		if cn.connecting && !now.Before(cn.connectBy) {
			c.connectFailed(now, cn)
		}
	}
	for cn := c.paced.first(); cn != nil && (cn.target < 0 || !now.Before(cn.readAt)); cn = c.paced.first() {
		c.paced.pop()
		cn.paced = false
		if cn.target >= 0 && cn.targetMore {
			c.pumpResponse(now, cn)
		}
	}
	more := c.more
	c.more = nil
	for _, cn := range more {
		if cn.client >= 0 {
			c.pumpRequest(cn)
		}
	}
}

// pumpRequest passes on bytes of the client. The first ones follow the header.
func (c *Copier) pumpRequest(cn *conn) {
	for range maxReads {
		if cn.connecting || len(cn.toTarget.rest) > 0 || !cn.clientMore {
			return
		}
		buf, first := c.buf, 0
		if !cn.headerSent {
			first = headerBytes
		}
		n, more, err := read(cn.client, buf[first:])
		switch {
		case err != nil || more && n == 0:
			c.clientLeft(cn)
			return
		case !more:
			cn.clientMore = false
			return
		}
		cn.clientMore = n == len(buf)-first
		if !cn.headerSent {
			putHeader(buf, cn.from, c.opts.Via)
			cn.headerSent = true
		}
		if !c.send(cn, cn.target, buf[:first+n], &cn.toTarget) {
			return
		}
	}
	if cn.clientMore {
		c.more = append(c.more, cn)
	}
}

// send writes to a socket and holds what it does not accept. It returns false if the
// connection has failed.
func (c *Copier) send(cn *conn, fd int, p []byte, rest *held) bool {
	n, err := write(fd, p)
	if err != nil {
		if fd == cn.client {
			c.clientLeft(cn)
		} else {
			c.fail(cn, targetErrors)
		}
		return false
	}
	if n < len(p) && !rest.keep(c.opts.Memory, p[n:]) {
		c.fail(cn, noMemory)
		return false
	}
	return true
}

func (c *Copier) flushRequest(cn *conn) {
	done, err := cn.toTarget.flush(cn.target)
	if err != nil {
		c.fail(cn, targetErrors)
	} else if done {
		c.pumpRequest(cn)
	}
}

// pumpResponse passes on bytes of the target.
func (c *Copier) pumpResponse(now time.Time, cn *conn) {
	for range maxReads {
		if len(cn.toClient.rest) > 0 || !cn.targetMore {
			return // read on when the client has taken what is held
		}
		n, more, err := read(cn.target, c.buf)
		switch {
		case err != nil:
			c.fail(cn, targetErrors)
			return
		case !more:
			cn.targetMore = false
			return
		case n == 0:
			c.finish(cn)
			return
		}
		// What is written after this is kept: a short read has emptied the socket.
		emptied := n < len(c.buf)
		cn.targetMore = !emptied || cn.targetEnded
		if !c.send(cn, cn.client, c.buf[:n], &cn.toClient) {
			return
		}
		cn.responded, cn.readAt, cn.stalledSince = true, now.Add(responseInterval), now
		if emptied && cn.targetEnded && !cn.targetBroken && len(cn.toClient.rest) == 0 {
			c.finish(cn) // the next read would return the end
			return
		}
	}
	if cn.targetMore {
		c.pace(cn)
	}
}

func (c *Copier) flushResponse(now time.Time, cn *conn) {
	before := len(cn.toClient.rest)
	done, err := cn.toClient.flush(cn.client)
	if err != nil {
		c.clientLeft(cn)
		return
	}
	if len(cn.toClient.rest) < before {
		cn.stalledSince = now
	}
	if done {
		c.pumpResponse(now, cn)
	}
}

// finish closes a connection whose target has closed its side.
func (c *Copier) finish(cn *conn) {
	if !cn.responded {
		noResponses.Inc()
		c.countFailed()
	}
	if cn.clientMore {
		// Closing with unread bytes would reset the connection and may destroy the response.
		// An error shows when it is closed.
		_, _, _ = read(cn.client, c.buf)
	}
	c.close(cn, false)
}

// clientLeft resets the connection to the target, so that the target cancels the request.
func (c *Copier) clientLeft(cn *conn) {
	clientsLeft.Inc()
	c.close(cn, true)
}

// fail resets both connections: the client must not take what it got for all.
func (c *Copier) fail(cn *conn, reason *metrics.Counter) {
	if reason != nil {
		reason.Inc()
	}
	c.countFailed()
	c.close(cn, true)
}

func (c *Copier) countFailed() {
	c.mu.Lock()
	c.sums.Failed++
	c.mu.Unlock()
}

// close closes a connection.
func (c *Copier) close(cn *conn, reset bool) {
	closeSocket(cn.client, reset)
	closeSocket(cn.target, reset)
	cn.client, cn.target, cn.connecting = -1, -1, false
	cn.toClient.drop()
	cn.toTarget.drop()
	c.slots[cn.slot] = nil
	c.closed = append(c.closed, cn.slot)
	c.ended = append(c.ended, cn.to)
}

// sweep ends the connections that make no progress.
func (c *Copier) sweep(now time.Time) {
	c.mu.Lock()
	c.refreshTargets(now)
	var silent []*conn
	for _, cn := range c.slots {
		if cn != nil && c.chooser.Silent(now, cn.to, userTimeout) {
			silent = append(silent, cn)
		}
	}
	c.mu.Unlock()
	for _, cn := range silent {
		c.fail(cn, silentTargets)
	}
	for _, cn := range c.slots {
		if cn != nil && len(cn.toClient.rest) > 0 && now.Sub(cn.stalledSince) >= maxStall {
			c.fail(cn, stalledClients)
		}
	}
}

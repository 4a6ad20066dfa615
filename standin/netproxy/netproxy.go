// Package netproxy passes TCP connections on to one address on loopback and
// fails as networks do. It is for tests only.
package netproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes connections on. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string
	delay    atomic.Int64 // ns, before each piece is passed on

	mu      sync.Mutex
	refuse  bool
	deaf    bool          // what comes from the dialling side is swallowed
	stalled chan struct{} // connections of this generation are silent once it is closed
	conns   map[net.Conn]bool
}

// New starts a proxy to an address, on a free port.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, stalled: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Disconnect()
}

// Disconnect breaks all connections and lets no new one through.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = true
	p.breakAll()
}

// CloseConns breaks all connections; new ones work.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
}

func (p *Proxy) breakAll() {
	for conn := range p.conns {
		conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// Restore ends Cut, Deafen and Delay.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse, p.deaf = false, false
	p.delay.Store(0)
}

// Stall makes the open connections go silent for good; new ones work.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

// DropClientData cuts one way: what the dialling side sends arrives nowhere, on open
// connections and on new ones, until Heal; connections that were deaf stay so.
func (p *Proxy) DropClientData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = true
}

// SetDelay holds each piece of data up.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(in)
	}
}

func (p *Proxy) pass(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		in.Close()
		return
	}
	stalled, ok := p.keep(in, out)
	if !ok {
		return
	}
	go p.copyUntil(stalled, out, in, true)
	p.copyUntil(stalled, in, out, false)
}

func (p *Proxy) keep(in, out net.Conn) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse {
		in.Close()
		out.Close()
		return nil, false
	}
	p.conns[in], p.conns[out] = true, true
	return p.stalled, true
}

// copyUntil copies until an end closes; once stalled or deaf it swallows
// everything and closes nothing.
func (p *Proxy) copyUntil(stalled <-chan struct{}, to, from net.Conn, dialling bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if p.swallows(stalled, dialling) {
			io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

func (p *Proxy) swallows(stalled <-chan struct{}, dialling bool) bool {
	select {
	case <-stalled:
		return true
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return dialling && p.deaf
}

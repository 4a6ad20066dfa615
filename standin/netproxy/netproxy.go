// Package netproxy is a TCP proxy that forwards connections to one address and
// injects network faults. It listens on loopback and is for tests only.
package netproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds before each chunk of data is forwarded

	mu             sync.Mutex
	disconnected   bool          // new connections are closed at once
	dropClientData bool          // data from clients is discarded
	stalled        chan struct{} // closed to stall the connections opened since the last Stall
	paused         chan struct{} // nil: not paused; closed by Resume
	conns          map[net.Conn]bool
}

// New starts a proxy to the target address, on a free port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, stalled: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.acceptConns()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Disconnect()
	p.Resume()
}

// Disconnect closes all connections, and new ones at once, until Restore.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
	p.closeAll()
}

// CloseConns closes all open connections. New connections work.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Proxy) closeAll() {
	for conn := range p.conns {
		conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// Restore ends the effect of Disconnect, DropClientData and SetDelay.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected, p.dropClientData = false, false
	p.delay.Store(0)
}

// Stall makes the open connections forward nothing from now on, but leaves them
// open. New connections work.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

// Pause holds back all data, on open and new connections, until Resume. Nothing is
// lost.
func (p *Proxy) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

// Resume ends the effect of Pause.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// awaitResume returns at once unless the proxy is paused.
func (p *Proxy) awaitResume() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// DropClientData discards what clients send, on open and new connections, until
// Restore; responses still pass. A connection on which data was discarded never
// forwards client data again.
func (p *Proxy) DropClientData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropClientData = true
}

// SetDelay delays each chunk of data, in both directions.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

func (p *Proxy) acceptConns() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	stalled, ok := p.track(client, server)
	if !ok {
		return
	}
	go p.copyData(stalled, server, client, true)
	p.copyData(stalled, client, server, false)
}

// track registers the connections of a client, and returns the channel that
// stalls them. It closes them and returns false while the proxy is disconnected.
func (p *Proxy) track(client, server net.Conn) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnected {
		client.Close()
		server.Close()
		return nil, false
	}
	p.conns[client], p.conns[server] = true, true
	return p.stalled, true
}

// copyData copies until one of the connections closes. Once the connection
// stalls or client data is dropped, it discards all further data and leaves
// both connections open.
func (p *Proxy) copyData(stalled <-chan struct{}, to, from net.Conn, fromClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		p.awaitResume()
		if p.discards(stalled, fromClient) {
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

func (p *Proxy) discards(stalled <-chan struct{}, fromClient bool) bool {
	select {
	case <-stalled:
		return true
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return fromClient && p.dropClientData
}

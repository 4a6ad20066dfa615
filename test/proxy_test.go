package test_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// proxy passes TCP connections on to one address and can fail as networks
// do.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	refuse  bool
	stalled chan struct{} // connections of this generation are silent once it is closed
	conns   map[net.Conn]bool
}

func newProxy(to string) *proxy {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, to: to, stalled: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	DeferCleanup(func() {
		l.Close()
		p.cut()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut breaks all connections and lets no new one through.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = true
	for conn := range p.conns {
		conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// heal lets new connections through.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = false
}

// silence makes the open connections go silent for good; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(in)
	}
}

func (p *proxy) pass(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		in.Close()
		return
	}
	stalled, ok := p.keep(in, out)
	if !ok {
		return
	}
	go copyUntil(stalled, out, in)
	copyUntil(stalled, in, out)
}

func (p *proxy) keep(in, out net.Conn) (<-chan struct{}, bool) {
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

// copyUntil copies until an end closes; once stalled it swallows everything
// and closes nothing.
func copyUntil(stalled <-chan struct{}, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if closed(stalled) {
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

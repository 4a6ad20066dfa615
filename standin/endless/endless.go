// Package endless is a stand-in for a faulty server whose responses never end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server responds to each request with a fixed start and then repeats the same
// bytes until the caller closes the connection.
type Server struct {
	Disconnected chan struct{} // receives one value for each connection that a caller closed

	listener net.Listener
	start    string
	repeat   string
	sent     atomic.Int64
}

// Listen starts a server on a free port of the loopback interface.
func Listen(start, repeat string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Disconnected: make(chan struct{}, 64), listener: l, start: start, repeat: repeat}
	go s.serve()
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns how many bytes the server has written, over all connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops accepting connections.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.respond(c)
	}
}

func (s *Server) respond(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for next := s.start; ; next = s.repeat {
		n, err := io.WriteString(c, next)
		s.sent.Add(int64(n))
		if err != nil {
			s.Disconnected <- struct{}{}
			return
		}
	}
}

package mesh

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// socket is a UDP socket that is read without waiting. The runtime's network poller
// does not know it, so that a datagram that arrives does not wake the process:
// heartbeats are read together, on a timer. It is safe for concurrent use.
type socket struct {
	mu   sync.RWMutex // held for writing by close only
	fd   int          // -1: closed
	port uint16       // of the peers
}

// listen opens the socket at an IPv4 address and port.
func listen(address netip.AddrPort) (*socket, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	if err := unix.Bind(fd, sockaddr(address.Addr(), address.Port())); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "bind to %s", address), unix.Close(fd))
	}
	return &socket{fd: fd, port: address.Port()}, nil
}

func sockaddr(address netip.Addr, port uint16) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Addr: address.As4(), Port: int(port)}
}

// send sends a datagram to a peer.
func (s *socket) send(datagram []byte, to netip.Addr) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.fd < 0 {
		return net.ErrClosed
	}
	for {
		err := unix.Sendto(s.fd, datagram, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, sockaddr(to, s.port))
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// receive reads one datagram without waiting; unix.EAGAIN: none has arrived.
func (s *socket) receive(buf []byte) (n int, from netip.Addr, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.fd < 0 {
		return 0, netip.Addr{}, net.ErrClosed
	}
	var sender unix.Sockaddr
	for {
		if n, sender, err = unix.Recvfrom(s.fd, buf, unix.MSG_DONTWAIT); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if v4, ok := sender.(*unix.SockaddrInet4); ok && err == nil {
		from = netip.AddrFrom4(v4.Addr)
	}
	return n, from, err
}

// close closes the socket.
func (s *socket) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fd := s.fd
	s.fd = -1
	if fd < 0 {
		return nil
	}
	return unix.Close(fd)
}

package forward

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/pires/go-proxyproto"
	"golang.org/x/sys/unix"
)

const (
	// fixedHeaderBytes is the part of a header that tells the length of the rest.
	fixedHeaderBytes = 16
	// maxHeaderBytes limits a header. What routers send has headerBytes.
	maxHeaderBytes = 536
	// firstReadBytes is the size of the first read: the header and most requests' heads.
	firstReadBytes = 2048
)

var (
	received   = metrics.NewCounter("cyclamenwinch_forwarded_connections_received_total")
	badHeaders = metrics.NewCounter("cyclamenwinch_forwarded_headers_invalid_total")
)

// errHeader means that a connection does not begin with a complete PROXY protocol header.
var errHeader = errors.New("no PROXY protocol header")

// Listener accepts connections that other routers forward. Its connections are read from
// the end of their PROXY protocol header on.
type Listener struct {
	*net.TCPListener
	// HeaderTimeout is how long a connection may take until its header is complete, unless
	// the server sets an earlier deadline.
	HeaderTimeout time.Duration
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	received.Inc()
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	return &Conn{TCPConn: c}, nil
}

// Conn is a connection that another router forwards. RemoteAddr is the address of that
// router, since the client's is not known before the header has been read.
type Conn struct {
	*net.TCPConn
	once   sync.Once
	err    error  // of the header
	rest   []byte // read with the header
	origin atomic.Pointer[Origin]
}

// Origin says where a forwarded connection comes from.
type Origin struct {
	Client netip.AddrPort
	Via    netip.AddrPort // where the client has connected to: the forwarding router
}

// Origin returns where the connection comes from, or false before its header was read.
func (c *Conn) Origin() (Origin, bool) {
	o := c.origin.Load()
	if o == nil {
		return Origin{}, false
	}
	return *o, true
}

// Read reads what the client has sent.
func (c *Conn) Read(p []byte) (int, error) {
	c.once.Do(func() {
		if c.err = c.readHeader(); c.err != nil {
			badHeaders.Inc()
		}
	})
	if c.err != nil {
		return 0, c.err
	}
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	c.rest = nil
	return c.TCPConn.Read(p)
}

// readHeader reads the header and perhaps bytes after it.
func (c *Conn) readHeader() error {
	buf, n := make([]byte, firstReadBytes), 0
	for {
		got, err := c.readArrived(buf[n:])
		if err != nil {
			return errors.CombineErrors(errHeader, err)
		}
		n += got
		size, err := headerSize(buf[:n])
		if err != nil {
			return err
		}
		if size > 0 && n >= size {
			c.rest = buf[size:n]
			return c.parse(buf[:size])
		}
	}
}

// readArrived reads bytes, also those that arrived before the read deadline passed: this
// process was late then, not the sender.
func (c *Conn) readArrived(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if got, rawErr := c.readArrivedNow(p, false); got > 0 || rawErr != nil {
		return got, rawErr
	}
	return n, err
}

// readArrivedNow reads bytes that have arrived, whatever the deadline. With peek they are
// left there.
func (c *Conn) readArrivedNow(p []byte, peek bool) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	flags := unix.MSG_DONTWAIT
	if peek {
		flags |= unix.MSG_PEEK
	}
	err = raw.Control(func(fd uintptr) {
		if got, _, recvErr := unix.Recvfrom(int(fd), p, flags); recvErr == nil {
			n = got
		}
	})
	return n, err
}

// headerSize returns the size of the header that b begins with, or 0 if too little of it
// has arrived.
func headerSize(b []byte) (int, error) {
	if len(b) < fixedHeaderBytes {
		return 0, nil
	}
	size := fixedHeaderBytes + int(b[14])<<8 + int(b[15])
	if !bytes.Equal(b[:len(proxyproto.SIGV2)], proxyproto.SIGV2) || size > maxHeaderBytes {
		return 0, errHeader
	}
	return size, nil
}

func (c *Conn) parse(b []byte) error {
	header, err := proxyproto.Read(bufio.NewReaderSize(bytes.NewReader(b), maxHeaderBytes))
	if err != nil {
		return errors.CombineErrors(errHeader, err)
	}
	from, to, ok := header.TCPAddrs()
	if !ok || header.Command.IsLocal() {
		return errors.Wrap(errHeader, "no TCP addresses")
	}
	c.origin.Store(&Origin{Client: unmapped(from), Via: unmapped(to)})
	return nil
}

func unmapped(a *net.TCPAddr) netip.AddrPort {
	p := a.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

package limitio

import (
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

var receiveBufferErrors = metrics.NewCounter("cyclamenwinch_receive_buffer_errors_total")

// ReceiveBuffer returns a Control function for a net.Dialer or net.ListenConfig. It
// limits how many bytes the kernel holds unread for each connection; without it the
// kernel lets that grow to megabytes. The kernel reserves twice the given size, for its
// own overhead.
func ReceiveBuffer(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		if failed != nil { // a connection with the kernel's own limit is better than none
			receiveBufferErrors.Inc()
		}
		return err
	}
}

// SmallBuffer is the size of the kernel buffers, in bytes, with which client connections
// begin. Heads and most bodies and responses fit. One that is 5 ms away sends and
// receives 2 MB/s.
const SmallBuffer = 8 << 10

// SmallBuffers is a Control function for a net.ListenConfig whose connections begin with
// SmallBuffer in both directions. Buffers may be enlarged later, but not made smaller: the
// peer may send what was announced to it.
func SmallBuffers(network, address string, c syscall.RawConn) error {
	err := ReceiveBuffer(SmallBuffer)(network, address, c)
	if err != nil {
		return err
	}
	return setBuffer(c, unix.SO_SNDBUF, SmallBuffer)
}

// EnlargeReceive enlarges the receive buffer of a connection. An error means that the
// connection is closed.
func EnlargeReceive(c syscall.RawConn, bytes int) error {
	if err := setBuffer(c, unix.SO_RCVBUF, bytes); err != nil {
		return err
	}
	// The window was limited by the listener's buffer.
	return c.Control(func(fd uintptr) {
		if unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes) != nil {
			receiveBufferErrors.Inc() // slower, but sound
		}
	})
}

// EnlargeSend enlarges the send buffer of a connection. An error means that the connection
// is closed.
func EnlargeSend(c syscall.RawConn, bytes int) error { return setBuffer(c, unix.SO_SNDBUF, bytes) }

func setBuffer(c syscall.RawConn, option, bytes int) error {
	return c.Control(func(fd uintptr) {
		if unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes) != nil {
			receiveBufferErrors.Inc()
		}
	})
}

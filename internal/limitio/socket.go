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

package upstream

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var incompleteResponses = metrics.NewCounter("cyclamenwinch_endpoint_responses_cut_total")

// ErrIncomplete means that a response without a length ended in a way that doesn't show
// that it is complete.
var ErrIncomplete = errors.New("the connection of a response without a length ended before the request was sent, or by a reset")

// endsWithConn reports whether the end of the connection is the end of a response.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// connBody is the body of a response that ends with its connection.
type connBody struct {
	io.ReadCloser
	conn *Conn
}

// Read returns ErrIncomplete instead of the end if the connection was reset. The kernel
// reports a reset only once, perhaps to the writer of the request; a later read finds the
// end of the connection.
func (b connBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.endedInOrder() {
		incompleteResponses.Inc()
		err = ErrIncomplete
	}
	return n, err
}

// endedInOrder reports whether the endpoint has closed the connection after it had
// received the whole request. An endpoint that closes it earlier is in trouble, and the
// kernel resets the connection as soon as the rest of the request arrives there.
func (c *Conn) endedInOrder() bool {
	if c.bodyResult != nil {
		// Ends a write that waits, and none that is done but has not been reported. An
		// error means that the connection is closed.
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		err := <-c.bodyResult
		c.bodyResult <- err
		if err != nil {
			return false // still being sent, or failed
		}
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State != unix.BPF_TCP_CLOSE && info.Unacked == 0 && info.Notsent_bytes == 0
	})
	return err == nil && inOrder
}

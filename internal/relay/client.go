package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// ConnContext stores the client's connection in the context of its requests. It
// is meant for http.Server.ConnContext.
func (h *Relay) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientDisconnected reports whether the client has closed its connection. It
// peeks at the socket because the HTTP server of an overloaded router detects
// the close only after it has served other requests, and no request may be sent
// for a client that has disconnected.
func (x *exchange) clientDisconnected() bool {
	if x.r.Context().Err() != nil {
		return true
	}
	c, ok := x.r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return err != nil || closed
}

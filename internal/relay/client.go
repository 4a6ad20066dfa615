package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// ConnContext remembers the client's connection; it is the hook of an
// http.Server.
func (h *Relay) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientLeft reports whether the client has closed its connection. The server
// notices that by itself, but on a router that is behind only after others'
// requests: nothing may be sent for a client that has left.
func (x *exchange) clientLeft() bool {
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
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return err != nil || left
}

package forward

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// conn is a forwarded connection: a client's and the one to its target. The copier reads
// with edge-triggered events, so it keeps in mind which sockets may have more bytes.
type conn struct {
	slot   int            // in Copier.slots
	client int            // socket; -1: closed
	target int            // socket; -1: none
	from   netip.AddrPort // client
	to     netip.Addr     // target

	connecting   bool
	retried      bool // another target failed before
	connectBy    time.Time
	headerSent   bool // and so bytes of the client
	responded    bool // bytes of a response were forwarded
	clientMore   bool // the client's socket may have unread bytes
	targetMore   bool // the target's socket may have unread bytes or an error
	targetEnded  bool // the target has closed its side
	targetBroken bool // the connection to the target has failed
	paced        bool // waits in Copier.paced until readAt
	readAt       time.Time

	toTarget, toClient held
	stalledSince       time.Time // when bytes for the client began to wait
}

// held is what a socket has not accepted yet.
type held struct {
	rest     []byte
	reserved *memory.Reservation
}

// keep holds bytes. It returns false if the memory budget does not have them.
func (h *held) keep(b *memory.Budget, rest []byte) bool {
	h.reserved = b.Reserve(memory.Responses, memoryHolder, 0)
	if !h.reserved.Resize(int64(len(rest))) {
		h.reserved = nil
		return false
	}
	h.rest = append([]byte(nil), rest...)
	return true
}

// drop forgets the bytes.
func (h *held) drop() {
	h.rest = nil
	h.reserved.Release()
	h.reserved = nil
}

// flush writes what is held to a socket. It returns whether nothing is left.
func (h *held) flush(fd int) (bool, error) {
	n, err := write(fd, h.rest)
	if h.rest = h.rest[n:]; len(h.rest) > 0 || err != nil {
		return false, err
	}
	h.drop()
	return true, nil
}

// read reads from a non-blocking socket; more is false if nothing has arrived.
func read(fd int, p []byte) (n int, more bool, err error) {
	for {
		n, err = unix.Read(fd, p)
		switch err {
		case nil:
			return n, true, nil
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, false, nil
		default:
			return 0, true, err
		}
	}
}

// write writes to a non-blocking socket what it accepts.
func write(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Write(fd, p)
		switch err {
		case nil:
			return n, nil
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		default:
			return 0, err
		}
	}
}

// closeSocket closes a socket. With reset, the peer can't take what it got for all.
func closeSocket(fd int, reset bool) {
	if fd < 0 {
		return
	}
	if reset {
		// An error means that the connection has been reset already.
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	// The socket is gone also if the close reports an error of the connection.
	_ = unix.Close(fd)
}

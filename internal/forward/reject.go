package forward

import (
	"bytes"
	"strconv"

	"golang.org/x/sys/unix"
)

// rejection is the response to a request that this router can neither serve nor forward.
// The overload lasts for seconds, and others retry meanwhile.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.500\r\nContent-Length: 0\r\n\r\n"

// reject responds to the request on a connection if it has arrived completely: closing a
// connection with bytes that are unread or on their way resets it, which may destroy the
// response. It returns false if nothing was written; the caller closes the socket, which
// resets the connection if bytes had arrived.
func reject(fd int, buf []byte) bool {
	n, _, err := read(fd, buf)
	if err != nil || n == 0 {
		return false
	}
	if n < len(buf) && isComplete(buf[:n]) {
		if sent, err := write(fd, []byte(rejection)); err == nil && sent == len(rejection) {
			return true
		}
	}
	// An error means that the connection has been reset already.
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	return false
}

// isComplete reports whether bytes hold a complete HTTP/1.1 request. It is false if that
// is not certain.
func isComplete(b []byte) bool {
	head, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return false
	}
	lines := bytes.Split(head, []byte("\r\n"))
	length, chunked := 0, false
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(value))
			if err != nil || n < 0 {
				return false
			}
			length = n
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = true
		}
	}
	if chunked {
		return bytes.Equal(body, []byte("0\r\n\r\n")) || bytes.HasSuffix(body, []byte("\r\n0\r\n\r\n"))
	}
	return len(body) >= length
}

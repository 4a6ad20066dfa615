// Package limitio limits how many bytes are read from a peer. Unlike
// io.LimitReader, its reader returns an error beyond the limit, so that a response
// that is too large can't pass for a complete one.
package limitio

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that more bytes arrived than the limit allows.
var ErrTooLarge = errors.New("the response exceeds its size limit")

// Reader reads at most Remaining bytes from R and then returns ErrTooLarge, or the
// error of R if R ends there. Remaining may be set anew between two reads.
type Reader struct {
	R         io.Reader
	Remaining int // bytes
}

// Read implements io.Reader.
func (l *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if l.Remaining <= 0 {
		var next [1]byte
		n, err := l.R.Read(next[:])
		if n > 0 {
			return 0, ErrTooLarge
		}
		return 0, err
	}
	n, err := l.R.Read(p[:min(len(p), l.Remaining)])
	l.Remaining -= n
	return n, err
}

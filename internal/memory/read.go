package memory

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

const (
	// RequestBytes is what each request in progress reserves: the buffers of the
	// connection to the endpoint, stacks, and FreeBodyBytes each for its body and the
	// response. The client's connection has reserved ConnectionBytes.
	RequestBytes = 80 << 10
	// FreeBodyBytes is how much of a body is part of RequestBytes.
	FreeBodyBytes = 32 << 10
	// initialBodyBytes is the size of the first buffer of a body whose length is not
	// known. Most bodies are smaller.
	initialBodyBytes = 4 << 10
)

// ErrNoMemory means that the budget has no memory for a body. It is marked with
// limitio.ErrTooLarge.
var ErrNoMemory = errors.Mark(errors.New("no memory is left for a large body"), limitio.ErrTooLarge)

// ReadBody reads a body of at most limit bytes into memory that it reserves; length is
// negative if it is not known. The error is limitio.ErrTooLarge if the limit is
// exceeded, and ErrNoMemory, which is one, if there is no memory.
func ReadBody(body io.Reader, length, limit int64, held *Reservation) ([]byte, error) {
	buf, err := readReserved(&limitio.Reader{R: body, Remaining: int(limit)}, length, limit, held)
	if err != nil {
		held.Release()
		return nil, err
	}
	return buf, nil
}

func readReserved(r io.Reader, length, limit int64, held *Reservation) ([]byte, error) {
	if length >= 0 && length <= limit {
		if !held.Resize(length) {
			return nil, ErrNoMemory
		}
		buf := make([]byte, length)
		n, err := io.ReadFull(r, buf)
		if n == 0 && err == io.EOF {
			return nil, nil // a response to HEAD has a length and no body
		}
		return buf, err
	}
	buf := make([]byte, 0, initialBodyBytes)
	for {
		if len(buf) == cap(buf) {
			// While the bytes are copied, the old and the new buffer are in memory.
			if !held.Resize(3 * int64(cap(buf))) {
				return nil, ErrNoMemory
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
			held.Resize(int64(cap(buf)))
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

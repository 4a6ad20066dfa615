package relay

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

// freeBodyBytes is how much of a response each request may hold without a
// reservation. It is part of the memory that Options.MaxOpen allows for a request.
const freeBodyBytes = 32 << 10

var errNoMemory = errors.Mark(errors.New("no memory is left for large responses"), limitio.ErrTooLarge)

// byteBudget limits the memory that all requests together hold beyond
// freeBodyBytes each. It is safe for concurrent use.
type byteBudget struct {
	limit int64 // 0: no limit
	used  atomic.Int64
}

// reservation is what one request holds of a budget. Its holder must call release.
type reservation struct {
	budget *byteBudget
	held   int64
}

// resize reserves memory for n bytes in all, or gives back what exceeds them. It
// returns false, without a change, if the budget does not have them.
func (r *reservation) resize(n int) bool {
	want := max(0, int64(n)-freeBodyBytes)
	more := want - r.held
	if used := r.budget.used.Add(more); more > 0 && r.budget.limit > 0 && used > r.budget.limit {
		r.budget.used.Add(-more)
		return false
	}
	r.held = want
	return true
}

func (r *reservation) release() { r.resize(0) }

// readBody reads a body of at most maxBufferedBytes into memory that it reserves.
// The error is limitio.ErrTooLarge if the body or the budget is exceeded.
func readBody(body io.Reader, held *reservation) ([]byte, error) {
	r := &limitio.Reader{R: body, Remaining: maxBufferedBytes}
	buf := make([]byte, 0, initialBodyBytes)
	for {
		if len(buf) == cap(buf) {
			// While the bytes are copied, the old and the new buffer are in memory.
			if !held.resize(3 * cap(buf)) {
				return nil, errNoMemory
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
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

// initialBodyBytes is the size of a body's first buffer. Most bodies are smaller.
const initialBodyBytes = 4 << 10

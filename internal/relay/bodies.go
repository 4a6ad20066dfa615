package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errBodyStopped means that the rest of a request body is not read because the process
// is about to exit.
var errBodyStopped = errors.New("the router stops before the request has arrived")

// bodyReads are the request bodies that are being read. It is safe for concurrent use.
type bodyReads struct {
	mu      sync.Mutex
	stopped bool
	all     map[*http.ResponseController]struct{}
}

// read calls f, which reads the body of the request that w responds to. It returns
// errBodyStopped if stop has ended that.
func (b *bodyReads) read(w http.ResponseWriter, f func() ([]byte, error)) ([]byte, error) {
	control := http.NewResponseController(w)
	if !b.add(control) {
		return nil, errBodyStopped
	}
	defer b.remove(control)
	body, err := f()
	if err != nil && isTimeout(err) && b.isStopped() {
		return nil, errBodyStopped
	}
	return body, err
}

// stop ends all reads, and those to come, that have to wait for bytes.
func (b *bodyReads) stop() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	var err error
	for control := range b.all {
		err = errors.CombineErrors(err, control.SetReadDeadline(time.Now()))
	}
	return err
}

func (b *bodyReads) add(control *http.ResponseController) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.all[control] = struct{}{}
	return true
}

func (b *bodyReads) remove(control *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.all, control)
}

func (b *bodyReads) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

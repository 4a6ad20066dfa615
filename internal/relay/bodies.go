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
// errBodyStopped if stop was called before f returned: net/http reads on once the body
// has ended, and cancels the request if the deadline that stop sets ends that read.
func (b *bodyReads) read(w http.ResponseWriter, f func() ([]byte, error)) ([]byte, error) {
	control := http.NewResponseController(w)
	if !b.add(control) {
		return nil, errBodyStopped
	}
	body, err := f()
	if stopped := b.remove(control); stopped && (err == nil || isTimeout(err)) {
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

// remove returns whether stop was called since add.
func (b *bodyReads) remove(control *http.ResponseController) (stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.all, control)
	return b.stopped
}

package pool

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// coalescingQueue merges messages that are added faster than they are taken
// into one message. So a slow peer occupies the memory of one message and
// blocks no sender. It is safe for concurrent use.
type coalescingQueue[M proto.Message] struct {
	mu         sync.Mutex
	pending    M
	hasPending bool
	closed     bool
	signal     chan struct{} // buffered
}

func newCoalescingQueue[M proto.Message]() *coalescingQueue[M] {
	return &coalescingQueue[M]{signal: make(chan struct{}, 1)}
}

// put adds a message. Repeated fields of merged messages are concatenated in
// order.
func (q *coalescingQueue[M]) put(m M) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	if q.hasPending {
		proto.Merge(q.pending, m)
	} else {
		q.pending, q.hasPending = m, true
	}
	q.notify()
}

// get waits for a message. It returns false once the queue is closed.
func (q *coalescingQueue[M]) get() (M, bool) {
	for range q.signal {
		q.mu.Lock()
		m, ok, closed := q.pending, q.hasPending, q.closed
		q.hasPending = false
		if ok && closed {
			q.notify() // for the next call
		}
		q.mu.Unlock()
		if ok {
			return m, true
		}
		if closed {
			return m, false
		}
	}
	var none M
	return none, false
}

// close discards what was not taken.
func (q *coalescingQueue[M]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.hasPending = true, false
	q.notify()
}

// closeWith closes the queue with a last message, in place of what was not taken.
func (q *coalescingQueue[M]) closeWith(last M) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.pending, q.hasPending, q.closed = last, true, true
	q.notify()
}

func (q *coalescingQueue[M]) notify() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// outbox queues a router's messages to an owner.
type outbox struct {
	*coalescingQueue[*peerpb.AdmitRequest]
	encoder *nameEncoder // guarded by the scopeClient's mutex
}

func newOutbox() *outbox {
	return &outbox{coalescingQueue: newCoalescingQueue[*peerpb.AdmitRequest](), encoder: newNameEncoder()}
}

// sendAll sends queued messages until the outbox is closed or sending fails; it
// passes the error to onError.
func (o *outbox) sendAll(l link, onError func(error)) {
	for {
		req, ok := o.get()
		if !ok {
			return
		}
		if err := l.Send(req); err != nil {
			onError(err)
			return
		}
	}
}

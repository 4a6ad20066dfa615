package pool

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// mailbox joins messages that are put faster than they are taken, so that a
// slow peer costs one message and no waiting. It is safe for concurrent use.
type mailbox[M proto.Message] struct {
	mu     sync.Mutex
	next   M
	full   bool
	closed bool
	signal chan struct{} // buffered
}

func newMailbox[M proto.Message]() *mailbox[M] {
	return &mailbox[M]{signal: make(chan struct{}, 1)}
}

// put adds a message; lists are joined in order.
func (b *mailbox[M]) put(m M) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if b.full {
		proto.Merge(b.next, m)
	} else {
		b.next, b.full = m, true
	}
	b.wake()
}

// get waits for a message; false means that the box is closed.
func (b *mailbox[M]) get() (M, bool) {
	for range b.signal {
		b.mu.Lock()
		m, full, closed := b.next, b.full, b.closed
		b.full = false
		b.mu.Unlock()
		if closed {
			return m, false
		}
		if full {
			return m, true
		}
	}
	var none M
	return none, false
}

func (b *mailbox[M]) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.wake()
}

func (b *mailbox[M]) wake() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// outbox holds what a router has to tell an owner.
type outbox struct {
	*mailbox[*peerpb.AdmitRequest]
	numbers *numbering // guarded by the broker's mutex
}

func newOutbox() *outbox {
	return &outbox{mailbox: newMailbox[*peerpb.AdmitRequest](), numbers: newNumbering()}
}

// drain sends what is put until the outbox is closed or the link fails.
func (o *outbox) drain(l link, failed func(error)) {
	for {
		req, ok := o.get()
		if !ok {
			return
		}
		if err := l.Send(req); err != nil {
			failed(err)
			return
		}
	}
}

// Package memory limits what requests and responses in progress hold together, so that
// the process stays within its memory limit whatever clients and endpoints send.
//
// Memory is reserved before it is allocated. Each reservation belongs to a class and to
// a holder, such as a client account or an endpoint. A holder gets no more if it would
// hold more than a multiple of what it leaves free, so that some memory is always left
// for others, however many of them ask for as much as they can get.
package memory

import (
	"runtime"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Class is a kind of use.
type Class int

// The classes.
const (
	Requests      Class = iota // what each request holds at least; the holder is its client account
	RequestBodies              // large bodies of requests; the holder is the client account
	Responses                  // large responses; the holder is the endpoint
	Connections                // what each client connection holds at least, in the kernel too
	Buffers                    // enlarged kernel buffers of client connections
	Heads                      // large heads of requests, whose account is not known yet
	Control                    // connections that carry no client requests, and their heads; the holder is the server
	State                      // what is remembered of requests after their end; the holder is the kind of state
	classes
)

// shares say which part of the limit a class may use, up to which part of it the use of
// all classes together may grow by this one, and how much a holder may hold for each
// byte that it leaves free.
var shares = [classes]struct{ own, all, perFreeByte float64 }{
	// A sixteenth is left for responses: what has run should not fail for memory.
	Requests: {1, 0.9375, 16},
	// A few uploads may need most of the memory, but leave an eighth.
	RequestBodies: {0.875, 0.9375, 16},
	// Few responses are large. One endpoint gets a quarter of this, two get three
	// eighths.
	Responses: {0.5, 0.985, 0.3},
	// Connections may not take the memory of requests. A few can be accepted while
	// requests get no memory any more, so that these are refused with a response.
	Connections: {0.5, 0.97, 1e9},
	// A connection without enlarged buffers is slower, but served.
	Buffers: {0.125, 0.9375, 1e9},
	// Heads of the usual size reserve nothing.
	Heads: {0.25, 0.9375, 1e9},
	// Whoever asks whether the router is ready gets an answer when all else is in use. One
	// server, such as the directory, leaves as much as it takes.
	Control: {0.125, 1, 1},
	// It is reserved at the start.
	State: {0.125, 1, 1e9},
}

// garbageFraction is the part of the limit up to which released memory may add to
// what is reserved before it is collected.
const garbageFraction = 1.0 / 32

var (
	refusals    = metrics.NewCounter("cyclamenwinch_memory_refusals_total")
	collections = metrics.NewCounter("cyclamenwinch_memory_collections_total")
)

// Budget is the memory of all reservations together. It is safe for concurrent use.
type Budget struct {
	limit   int64 // bytes; 0: none
	collect func()

	collecting sync.Mutex // held while garbage is collected

	mu      sync.Mutex
	used    int64
	classes [classes]class
	garbage int64 // released and perhaps not collected since
	kernel  kernelShare
}

// class is the use of one class.
type class struct {
	used    int64
	holders map[string]int64
}

// NewBudget returns a budget of a number of bytes; 0: no limit.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit, collect: runtime.GC}
	for i := range b.classes {
		b.classes[i].holders = map[string]int64{}
	}
	return b
}

// Reservation is what one request or response holds. Its holder must call Release. It
// is not safe for concurrent use. A nil one reserves nothing.
type Reservation struct {
	budget *Budget
	class  Class
	holder string
	free   int64
	held   int64
}

// Reserve returns a reservation that holds nothing yet. The first bytes of it, as many
// as free, are part of another reservation.
func (b *Budget) Reserve(c Class, holder string, free int64) *Reservation {
	return &Reservation{budget: b, class: c, holder: holder, free: free}
}

// Resize reserves memory for n bytes in all, or gives back what exceeds them. It
// returns false, without a change, if the budget does not have them.
func (r *Reservation) Resize(n int64) bool {
	if r == nil {
		return true
	}
	want := max(0, n-r.free)
	if !r.budget.add(r.class, r.holder, want-r.held) {
		refusals.Inc()
		return false
	}
	r.held = want
	return true
}

// Holds reports whether anything is held.
func (r *Reservation) Holds() bool { return r != nil && r.held > 0 }

// Release gives back all that is held. The caller must have dropped the memory.
func (r *Reservation) Release() { r.Resize(0) }

// add changes what a holder holds. It returns false if that exceeds a limit.
func (b *Budget) add(c Class, holder string, n int64) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && !b.fits(c, holder, n) {
		return false
	}
	b.used += n
	use := &b.classes[c]
	use.used += n
	if use.holders[holder] += n; use.holders[holder] == 0 {
		delete(use.holders, holder)
	}
	b.kernel.add(c, n)
	if n < 0 {
		if c == RequestBodies || c == Responses || c == Heads { // others are used again
			b.garbage -= n
		}
	} else if b.mustCollect() {
		b.mu.Unlock()
		b.collectGarbage()
		b.mu.Lock()
	}
	return true
}

// fits reports whether a holder may hold n bytes more. The caller must hold b.mu.
func (b *Budget) fits(c Class, holder string, n int64) bool {
	if b.limit == 0 {
		return true
	}
	share, use, limit := shares[c], &b.classes[c], float64(b.limit)
	free := min(share.own*limit-float64(use.used), share.all*limit-float64(b.used)) - float64(n)
	return free >= 0 && float64(use.holders[holder]+n) <= share.perFreeByte*free
}

// mustCollect reports whether the garbage has to be collected before more memory is
// allocated. The caller must hold b.mu.
func (b *Budget) mustCollect() bool {
	return b.limit > 0 && float64(b.used+b.garbage) > (1+garbageFraction)*float64(b.limit)
}

// collectGarbage frees what was released, unless another caller has just done so.
func (b *Budget) collectGarbage() {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	b.mu.Lock()
	due, garbage := b.mustCollect(), b.garbage
	b.mu.Unlock()
	if !due {
		return
	}
	b.collect()
	collections.Inc()
	b.mu.Lock()
	b.garbage -= garbage
	b.mu.Unlock()
}

// Package forward passes clients' connections on to other routers at byte level while
// this router is overloaded, and receives those that others pass on.
//
// The copier is one goroutine with raw non-blocking sockets and its own epoll instance. It
// wakes once for all connections and reads responses in batches, since the CPU time per
// connection decides whether forwarding is better than resetting. Nothing is parsed.
package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/core/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

const (
	// roundInterval is the time between two wake-ups. A stream's event may take 200 ms.
	roundInterval = 10 * time.Millisecond
	// flushedInterval is the same after a round in Flush: as long as the listener calls it,
	// every 10 ms, the timer of Serve need not wake the process.
	flushedInterval = 15 * time.Millisecond
	// responseInterval is the time between two reads of a response after its first bytes, so
	// that the events of a stream are copied together.
	responseInterval = 60 * time.Millisecond
	// connectTimeout is how long a target may take to accept a connection. It is a round
	// trip for a live router; clients wait for the first event meanwhile.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, or the target absent from
	// the live routers, until the target counts as cut off.
	userTimeout = 3 * time.Second
	// maxStall is how long a client may leave the rest of a response unread. Endpoints give
	// up such responses after some seconds.
	maxStall = 5 * time.Second
	// bufferBytes is the size of the shared buffer, and so the most that is held for one
	// direction of a connection.
	bufferBytes = 64 << 10
	// receiveBufferBytes limits what the kernel holds unread of a response.
	receiveBufferBytes = 64 << 10
	// maxReads limits the reads from a socket in one round, so that a large body leaves time
	// for the other connections.
	maxReads = 4
	// maxEvents is the number of events that are fetched by one call.
	maxEvents = 512
	// targetsInterval is the least time between two looks at the live routers, whose reports
	// are 40 to 160 ms old.
	targetsInterval = 50 * time.Millisecond
	// sumsInterval is the time between two reports, and between two looks for connections
	// that make no progress.
	sumsInterval = time.Second
	// memoryHolder is the holder of held bytes in the memory budget.
	memoryHolder = "forwarded connections"
)

// Options configure a Copier.
type Options struct {
	Via      netip.AddrPort // IPv4 address and port at which clients connect to this router
	Port     uint16         // for forwarded connections, the same at all routers
	MaxOpen  func() int     // limit of forwarded connections in progress; each takes two descriptors
	CPUShare float64        // of a core that the process may use
	Memory   *memory.Budget
	// Targets returns the live routers, and whether connections are forwarded at all.
	Targets func() ([]forward.Target, bool)
	// Report receives sums once a second while there is something to report.
	Report func(Sums)
}

// Sums sums up the work since the last report.
type Sums struct {
	Targets  map[string]int // connections that were opened, by the target's name
	Failed   int            // connections that failed, whatever the reason
	Rejected int            // connections answered by Reject
	Limited  int            // connections not taken because of a limit
	Open     int            // connections in progress
	CPU      time.Duration  // of the copier, as far as it could be measured
}

// Copier forwards connections. Take, Reject and Flush are for one goroutine, Serve for
// another; the other methods are safe for concurrent use.
type Copier struct {
	opts  Options
	now   func() time.Time
	epoll int
	timer *time.Timer // of the next round in Serve
	errs  chan error  // of a round in Flush

	rejectBuf []byte // used by Reject only

	mu        sync.Mutex
	running   bool // Serve runs
	stopping  bool
	inForce   bool // of the last look at the targets
	chooser   *forward.Chooser
	targetsAt time.Time
	budget    cpuBudget
	open      int
	taken     []*conn // not seen by a round yet
	sums      Sums

	rounds     sync.Mutex // held during a round; guards the rest; locked before mu
	slots      []*conn
	free       []int
	closed     []int // slots of connections closed in this round, whose events may still name them
	ended      []netip.Addr
	connecting queue
	paced      queue
	more       []*conn // may have more bytes of the client than maxReads
	buf        []byte
	events     []unix.EpollEvent
	sumsAt     time.Time
}

// New returns a copier. It opens its epoll instance.
func New(opts Options) (*Copier, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "create epoll instance")
	}
	return &Copier{opts: opts, now: time.Now, epoll: epoll, timer: time.NewTimer(roundInterval), errs: make(chan error, 1), rejectBuf: make([]byte, bufferBytes),
		chooser: forward.NewChooser(), budget: cpuBudget{share: cpuFraction * opts.CPUShare}, sums: Sums{Targets: map[string]int{}},
		buf: make([]byte, bufferBytes), events: make([]unix.EpollEvent, maxEvents)}, nil
}

// Take forwards the connection of a client with an IPv4 address. It returns false if a
// limit is reached; the caller keeps the socket then.
func (c *Copier) Take(fd int, client netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.refreshTargets(now)
	if !c.inForce {
		return false
	}
	to, reason := c.limits(now)
	if reason >= 0 {
		refusedTakes[reason].Inc()
		c.sums.Limited++
		return false
	}
	c.chooser.Begin(to.Address)
	c.open++
	c.taken = append(c.taken, &conn{client: fd, target: -1, from: client, to: to.Address})
	return true
}

// limits returns a target for a new connection, or the reason why there is none. The
// caller holds the lock.
func (c *Copier) limits(now time.Time) (forward.Target, int) {
	switch {
	case !c.running || c.stopping:
		return forward.Target{}, notRunning
	case c.open >= c.opts.MaxOpen():
		return forward.Target{}, noRoom
	}
	to, ok := c.chooser.Choose(now, rand.Float64(), netip.Addr{})
	if !ok {
		return to, noTarget
	}
	c.budget.earn(now)
	if !c.budget.take() {
		return to, noCPU
	}
	return to, -1
}

// refreshTargets looks at the live routers if the last look is old. The caller holds the
// lock.
func (c *Copier) refreshTargets(now time.Time) {
	if now.Sub(c.targetsAt) < targetsInterval {
		return
	}
	targets, inForce := c.opts.Targets()
	c.targetsAt, c.inForce = now, inForce
	c.chooser.SetTargets(now, targets)
}

// Flush handles all connections, first those that were taken since. It is called after a
// batch: a round in the caller's goroutine costs no further wake-up.
func (c *Copier) Flush() {
	if err := c.round(); err != nil {
		select {
		case c.errs <- err:
		default: // Serve ends with an earlier one
		}
	}
	c.timer.Reset(flushedInterval)
}

// Reject responds to the request on a connection that was not taken, if it has arrived
// completely, with a 503 that says when to return. It returns false if it did not. The
// caller closes the socket.
func (c *Copier) Reject(fd int) bool {
	c.mu.Lock()
	inForce := c.inForce
	c.mu.Unlock()
	if !inForce || !reject(fd, c.rejectBuf) {
		return false
	}
	c.countRejected()
	return true
}

func (c *Copier) countRejected() {
	rejected.Inc()
	c.mu.Lock()
	c.sums.Rejected++
	c.mu.Unlock()
}

// Stop makes Take refuse new connections. Those in progress go on.
func (c *Copier) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Open returns the number of connections in progress.
func (c *Copier) Open() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.open)
}

// Serve forwards until the context ends and then resets what is left.
func (c *Copier) Serve(ctx context.Context) error {
	c.setRunning(true)
	defer c.closeAll()
	defer c.setRunning(false)
	c.timer.Reset(roundInterval)
	defer c.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-c.errs:
			return err
		case <-c.timer.C:
		}
		if err := c.round(); err != nil {
			return err
		}
		switch {
		case c.Open() > 0:
			c.timer.Reset(roundInterval)
		case c.unreported():
			c.timer.Reset(sumsInterval)
		}
	}
}

func (c *Copier) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
}

// unreported reports whether sums wait for their report.
func (c *Copier) unreported() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sums.Targets) > 0 || c.sums.Failed+c.sums.Limited+c.sums.Rejected > 0
}

// round handles all connections once.
func (c *Copier) round() error {
	c.rounds.Lock()
	defer c.rounds.Unlock()
	roundsTotal.Inc()
	clock, now := startClock(), c.now()
	c.mu.Lock()
	taken := c.taken
	c.taken = nil
	c.mu.Unlock()
	for _, cn := range taken {
		c.add(cn)
		c.connect(now, cn)
	}
	if err := c.handleEvents(now); err != nil {
		return err
	}
	c.handleDue(now)
	if now.Sub(c.sumsAt) >= sumsInterval {
		c.sumsAt = now
		c.sweep(now)
		c.report()
	}
	c.settle(now, clock, len(taken))
	return nil
}

// settle applies the ends of connections and the CPU time of a round.
func (c *Copier) settle(now time.Time, clock cpuClock, taken int) {
	used, known := clock.used()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.ended {
		c.chooser.End(address)
	}
	c.open -= len(c.closed)
	c.ended, c.free, c.closed = c.ended[:0], append(c.free, c.closed...), c.closed[:0]
	if known {
		c.budget.earn(now)
		c.budget.settle(taken, used)
		c.sums.CPU += used
		cpuSeconds.Add(used.Seconds())
	}
	openGauge.Set(float64(c.open))
}

// report passes on the sums if there is something to report.
func (c *Copier) report() {
	if !c.unreported() {
		return
	}
	c.mu.Lock()
	sums := c.sums
	sums.Open = c.open
	c.sums = Sums{Targets: map[string]int{}}
	c.mu.Unlock()
	c.opts.Report(sums)
}

// add gives a connection a slot.
func (c *Copier) add(cn *conn) {
	if n := len(c.free); n > 0 {
		cn.slot, c.free = c.free[n-1], c.free[:n-1]
	} else {
		cn.slot = len(c.slots)
		c.slots = append(c.slots, nil)
	}
	c.slots[cn.slot] = cn
}

// closeAll resets all connections.
func (c *Copier) closeAll() {
	c.rounds.Lock()
	defer c.rounds.Unlock()
	c.mu.Lock()
	taken := c.taken
	c.taken = nil
	c.mu.Unlock()
	for _, cn := range taken {
		c.add(cn)
	}
	for _, cn := range c.slots {
		if cn != nil {
			c.close(cn, true)
		}
	}
	c.settle(c.now(), startClock(), len(taken))
}

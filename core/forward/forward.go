// Package forward chooses the router to which an overloaded router forwards a
// connection of a client. It does no IO; the caller passes the time and the random
// numbers.
package forward

import (
	"math"
	"net/netip"
	"time"
)

const (
	// connectionCharge is what a new connection takes from the spare CPU time of its
	// target, in thousandths of a core, until the target's own reports show it. A relayed
	// stream takes some 4 ms of CPU time; a charge of 8 that decays with chargeDecay
	// amounts to that.
	connectionCharge = 8
	// chargeDecay is the time constant with which a charge is forgotten. Reports are up to
	// 160 ms old, and the reported use is averaged over some 300 ms.
	chargeDecay = 500 * time.Millisecond
	// openPerThousandth limits the open connections to one target by its spare CPU time: a
	// relayed stream of 2 s that takes 4 ms uses two thousandths of a core.
	openPerThousandth = 0.5
	// failurePause is how long a target to which no connection could be opened gets none.
	// By its end the heartbeats show whether the router is gone.
	failurePause = time.Second
	// maxSpare limits what a router can report, in thousandths of a core: only routers with
	// less than a core forward connections and report.
	maxSpare = 1000
)

// Target is a live router that may get forwarded connections.
type Target struct {
	Name    string
	Address netip.Addr
	Near    bool // in the same availability zone as the forwarding router
	Spare   int  // CPU time that it offers, in thousandths of a core; 0: it gets no connection
}

// target is what is known about one router.
type target struct {
	Target
	listedAt    time.Time
	failedUntil time.Time
	charge      float64 // of own connections that the reported spare time may not show yet
	open        int     // own connections to it
}

// room returns the weight with which the target is chosen; 0: it gets no connection.
func (t *target) room(now time.Time) float64 {
	if now.Before(t.failedUntil) || float64(t.open) >= openPerThousandth*float64(t.Spare) {
		return 0
	}
	if left := float64(t.Spare) - t.charge; left >= connectionCharge {
		return left
	}
	return 0
}

// Chooser chooses targets. It is not safe for concurrent use.
type Chooser struct {
	byAddress map[netip.Addr]*target
	listed    []*target // as last set
	decayedAt time.Time
	weights   []float64 // scratch of Choose
}

// NewChooser returns a Chooser without targets.
func NewChooser() *Chooser { return &Chooser{byAddress: map[netip.Addr]*target{}} }

// SetTargets replaces the targets. Own connections to routers that are not among them
// are still counted.
func (c *Chooser) SetTargets(now time.Time, targets []Target) {
	factor := math.Exp(-max(0, now.Sub(c.decayedAt).Seconds()) / chargeDecay.Seconds())
	c.decayedAt = now
	c.listed = c.listed[:0]
	for _, t := range targets {
		known := c.byAddress[t.Address]
		if known == nil {
			known = &target{}
			c.byAddress[t.Address] = known
		}
		t.Spare = min(t.Spare, maxSpare)
		known.Target, known.listedAt = t, now
		c.listed = append(c.listed, known)
	}
	for address, t := range c.byAddress {
		t.charge *= factor
		if t.open == 0 && !t.listedAt.Equal(now) && t.charge < 1 {
			delete(c.byAddress, address)
		}
	}
}

// Choose returns a target for a new connection, chosen at random in proportion to the
// spare CPU time that is left: one of the same availability zone if any has some. It
// returns false if there is none. random is in [0, 1). A target other than the one at
// the address not is chosen. Begin counts the connection.
func (c *Chooser) Choose(now time.Time, random float64, not netip.Addr) (Target, bool) {
	for _, near := range []bool{true, false} {
		c.weights = c.weights[:0]
		sum := 0.0
		for _, t := range c.listed {
			weight := 0.0
			if t.Near == near && t.Address != not {
				weight = t.room(now)
			}
			c.weights = append(c.weights, weight)
			sum += weight
		}
		if sum == 0 {
			continue
		}
		at, chosen := random*sum, -1
		for i, weight := range c.weights {
			if weight == 0 {
				continue
			}
			chosen = i // the last one if rounding exceeds the sum
			if at -= weight; at < 0 {
				break
			}
		}
		return c.listed[chosen].Target, true
	}
	return Target{}, false
}

// Begin counts a new connection to a target.
func (c *Chooser) Begin(address netip.Addr) {
	if t := c.byAddress[address]; t != nil {
		t.open++
		t.charge += connectionCharge
	}
}

// End counts the end of a connection to a target.
func (c *Chooser) End(address netip.Addr) {
	if t := c.byAddress[address]; t != nil {
		t.open--
	}
}

// Fail pauses a target to which no connection could be opened.
func (c *Chooser) Fail(now time.Time, address netip.Addr) {
	if t := c.byAddress[address]; t != nil {
		t.failedUntil = now.Add(failurePause)
	}
}

// Open returns the number of own connections to a target.
func (c *Chooser) Open(address netip.Addr) int {
	if t := c.byAddress[address]; t != nil {
		return t.open
	}
	return 0
}

// Silent reports whether a target has not been among the live routers for a time.
func (c *Chooser) Silent(now time.Time, address netip.Addr, limit time.Duration) bool {
	t := c.byAddress[address]
	return t != nil && now.Sub(t.listedAt) >= limit
}

// Name returns the name of a target, or its address if it is not known.
func (c *Chooser) Name(address netip.Addr) string {
	if t := c.byAddress[address]; t != nil && t.Name != "" {
		return t.Name
	}
	return address.String()
}

// Spare returns the CPU time that a router reports as unused, in thousandths of a core:
// its share of a core less its recent use, both in cores, and 0 while its work waits for
// the CPU (busy).
func Spare(share, use float64, busy bool) int {
	if busy {
		return 0
	}
	return int(max(0, 1000*(share-use)))
}

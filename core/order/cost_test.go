package order_test

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// event is something that happens at a virtual time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cost is a fault-free ledger under a steady load, in virtual time.
type cost struct {
	world   *world
	now     time.Duration
	queue   events
	shards  []*order.Shard
	waiting []map[order.Op]func()
	woken   []time.Duration

	calls, writes, bytes, largest int
	claimed, recorded             []time.Duration
}

// What the parts take, near to what the users' pages say.
const (
	platformTime = 5 * time.Millisecond
	runnerTime   = 20 * time.Millisecond
	fleetWrites  = 200 // a second, as internal/ledger allows
)

func newCost(shards int) *cost {
	c := &cost{world: newWorld(nil, sound, order.Capabilities{}, order.Config{}, 0)}
	for n := range shards {
		cfg := order.Config{Number: n, WriteInterval: time.Duration(shards) * time.Second / fleetWrites}
		c.shards = append(c.shards, order.NewShard(cfg))
		c.waiting = append(c.waiting, map[order.Op]func(){})
		c.woken = append(c.woken, -1)
	}
	return c
}

func (c *cost) after(d time.Duration, do func()) { heap.Push(&c.queue, event{c.now + d, do}) }

func (c *cost) clock() time.Time { return time.Unix(0, 0).Add(c.now) }

// place runs one order through its shard.
func (c *cost) place(i int) {
	n := i % len(c.shards)
	key := fmt.Sprintf("order-%d", i)
	begun := c.now
	op := c.shards[n].Claim(order.Record{Account: "hotels", Key: key, Token: key, Digest: key, Endpoint: "e", Fence: 1, AcceptedAt: c.clock()})
	c.waiting[n][op] = func() {
		c.claimed = append(c.claimed, c.now-begun)
		c.after(runnerTime, func() {
			ended := c.now
			op := c.shards[n].Change(order.Change{Account: "hotels", Key: key, Token: key, To: order.Done, Response: order.NewResponse(200, "application/json", make([]byte, 150))})
			c.waiting[n][op] = func() { c.recorded = append(c.recorded, c.now-ended) }
			c.turn(n)
		})
	}
	c.turn(n)
}

// turn lets a shard begin its next platform call.
func (c *cost) turn(n int) {
	call, ok := c.shards[n].NextCall(c.clock())
	c.deliver(n)
	if !ok {
		c.wake(n)
		return
	}
	c.calls++
	if call.Verb == order.Put {
		c.writes++
		c.bytes += len(call.Value)
		c.largest = max(c.largest, len(call.Value))
	}
	c.after(platformTime, func() {
		c.shards[n].HandleResult(c.world.serve(call))
		c.deliver(n)
		c.turn(n)
	})
}

func (c *cost) wake(n int) {
	at, ok := c.shards[n].WakeAt()
	if d := at.Sub(time.Unix(0, 0)); ok && d > c.now && c.woken[n] != d {
		c.woken[n] = d
		c.after(d-c.now, func() { c.turn(n) })
	}
}

func (c *cost) deliver(n int) {
	for _, v := range c.shards[n].OpResults() {
		do := c.waiting[n][v.Op]
		delete(c.waiting[n], v.Op)
		do()
	}
}

// run places orders at a steady rate and returns when all are recorded.
func (c *cost) run(rate, orders int) {
	for i := range orders {
		c.after(time.Duration(i)*time.Second/time.Duration(rate), func() { c.place(i) })
	}
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

func TestPlatformCallsForEachOrder(t *testing.T) {
	for _, shards := range []int{4, 16} {
		for _, rate := range []int{1, 10, 100, 1000} {
			c := newCost(shards)
			c.run(rate, rate*20)
			if len(c.recorded) != rate*20 {
				t.Fatalf("%d orders of %d were recorded", len(c.recorded), rate*20)
			}
			slices.Sort(c.claimed)
			slices.Sort(c.recorded)
			seconds := c.now.Seconds()
			each := float64(c.calls) / float64(len(c.recorded))
			t.Logf("%2d shards, %4d orders/s: %.3f calls an order, %.0f writes/s, %.1f MB/s written, largest %d KB; claim p50 %v p99 %v; record p50 %v p99 %v",
				shards, rate, each, float64(c.writes)/seconds, float64(c.bytes)/seconds/1e6, c.largest>>10,
				at(c.claimed, 0.5), at(c.claimed, 0.99), at(c.recorded, 0.5), at(c.recorded, 0.99))
			if c.largest > 1<<20 {
				t.Errorf("a segment of %d bytes was written", c.largest)
			}
			if rate == 1000 && (each >= 0.3 || float64(c.writes)/seconds > 300) {
				t.Errorf("%.3f calls an order, %.0f writes a second", each, float64(c.writes)/seconds)
			}
		}
	}
}

func at(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

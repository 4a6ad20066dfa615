package order_test

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// event is an action at a virtual time.
type event struct {
	at       time.Duration
	callback func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadSimulation runs a ledger without faults under a steady load, in virtual
// time.
type loadSimulation struct {
	platform  *simulation
	now       time.Duration
	events    eventQueue
	shards    []*order.Shard
	callbacks []map[order.Op]func()
	wakeups   []time.Duration

	calls, writes, bytes, largest int
	claimed, recorded             []time.Duration
}

// Latencies close to those in the user documentation, and the limit on writes.
const (
	platformTime = 5 * time.Millisecond  // platform call
	runnerTime   = 20 * time.Millisecond // execution at the endpoint
	fleetWrites  = 200                   // per second, as fleetWritesPerSecond in internal/ledger
)

func newLoadSimulation(shards int) *loadSimulation {
	sim := &loadSimulation{platform: newSimulation(nil, noMutation, order.Capabilities{}, order.Config{}, 0)}
	for n := range shards {
		cfg := order.Config{Number: n, WriteInterval: time.Duration(shards) * time.Second / fleetWrites}
		sim.shards = append(sim.shards, order.NewShard(cfg))
		sim.callbacks = append(sim.callbacks, map[order.Op]func(){})
		sim.wakeups = append(sim.wakeups, -1)
	}
	return sim
}

func (sim *loadSimulation) after(d time.Duration, callback func()) {
	heap.Push(&sim.events, event{sim.now + d, callback})
}

func (sim *loadSimulation) clock() time.Time { return time.Unix(0, 0).Add(sim.now) }

// placeOrder runs one order through its shard.
func (sim *loadSimulation) placeOrder(i int) {
	n := i % len(sim.shards)
	key := fmt.Sprintf("order-%d", i)
	placedAt := sim.now
	op := sim.shards[n].Claim(order.Record{Account: "hotels", Key: key, Token: key, Digest: key, Endpoint: "e", Fence: 1, AcceptedAt: sim.clock()})
	sim.callbacks[n][op] = func() {
		sim.claimed = append(sim.claimed, sim.now-placedAt)
		sim.after(runnerTime, func() {
			executedAt := sim.now
			op := sim.shards[n].Change(order.Change{Account: "hotels", Key: key, Token: key, To: order.Done, Response: order.NewResponse(200, "application/json", make([]byte, 150))})
			sim.callbacks[n][op] = func() { sim.recorded = append(sim.recorded, sim.now-executedAt) }
			sim.startCall(n)
		})
	}
	sim.startCall(n)
}

// startCall starts the next platform call of a shard, if there is one.
func (sim *loadSimulation) startCall(n int) {
	call, ok := sim.shards[n].NextCall(sim.clock())
	sim.deliverResults(n)
	if !ok {
		sim.scheduleWakeup(n)
		return
	}
	sim.calls++
	if call.Verb == order.Put {
		sim.writes++
		sim.bytes += len(call.Value)
		sim.largest = max(sim.largest, len(call.Value))
	}
	sim.after(platformTime, func() {
		sim.shards[n].HandleResult(sim.platform.serveCall(call))
		sim.deliverResults(n)
		sim.startCall(n)
	})
}

// scheduleWakeup schedules a call of startCall for when the shard may have one.
func (sim *loadSimulation) scheduleWakeup(n int) {
	at, ok := sim.shards[n].WakeAt()
	if d := at.Sub(time.Unix(0, 0)); ok && d > sim.now && sim.wakeups[n] != d {
		sim.wakeups[n] = d
		sim.after(d-sim.now, func() { sim.startCall(n) })
	}
}

func (sim *loadSimulation) deliverResults(n int) {
	for _, res := range sim.shards[n].OpResults() {
		callback := sim.callbacks[n][res.Op]
		delete(sim.callbacks[n], res.Op)
		callback()
	}
}

// run places orders at a steady rate and returns when no event is left.
func (sim *loadSimulation) run(rate, orders int) {
	for i := range orders {
		sim.after(time.Duration(i)*time.Second/time.Duration(rate), func() { sim.placeOrder(i) })
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.callback()
	}
}

// TestPlatformCallsForEachOrder guards against a loss of batching, which makes the
// platform calls grow with the number of orders, and against segments larger than
// the 1 MiB that a platform object may have. Without batching each order takes at
// least two writes, for its claim and its outcome. At 1000 orders per second the
// limit of fleetWrites allows for 0.2 writes per order; the test accepts up to 0.3
// calls per order and 300 writes per second.
func TestPlatformCallsForEachOrder(t *testing.T) {
	for _, shards := range []int{4, 16} {
		for _, rate := range []int{1, 10, 100, 1000} {
			sim := newLoadSimulation(shards)
			sim.run(rate, rate*20)
			if len(sim.recorded) != rate*20 {
				t.Fatalf("%d of %d orders were recorded", len(sim.recorded), rate*20)
			}
			slices.Sort(sim.claimed)
			slices.Sort(sim.recorded)
			seconds := sim.now.Seconds()
			callsPerOrder := float64(sim.calls) / float64(len(sim.recorded))
			t.Logf("%2d shards, %4d orders/s: %.3f calls per order, %.0f writes/s, %.1f MB/s written, largest %d KB; claim p50 %v p99 %v; record p50 %v p99 %v",
				shards, rate, callsPerOrder, float64(sim.writes)/seconds, float64(sim.bytes)/seconds/1e6, sim.largest>>10,
				quantile(sim.claimed, 0.5), quantile(sim.claimed, 0.99), quantile(sim.recorded, 0.5), quantile(sim.recorded, 0.99))
			if sim.largest > 1<<20 {
				t.Errorf("a segment of %d bytes was written", sim.largest)
			}
			if rate == 1000 && (callsPerOrder >= 0.3 || float64(sim.writes)/seconds > 300) {
				t.Errorf("%.3f calls per order, %.0f writes per second", callsPerOrder, float64(sim.writes)/seconds)
			}
		}
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

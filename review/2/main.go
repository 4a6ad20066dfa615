// Command 2 sends a request without a body that crashes each runner which begins to run
// it, again and again.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cyclamenwinch.review/stand"
)

const (
	contact      = 3 * time.Second // contact-ms
	backAfter    = 3 * time.Second // a crashed runner
	every        = 4 * time.Second // the request that crashes runners comes again
	lasts        = 40 * time.Second
	ordersPerS   = 41.2
	statusesPerS = 16.5
	poison       = "/status/band-4711"
)

func main() { os.Exit(stand.Main(run)) }

// config is the configuration that the operator stores.
//
//go:embed config.json
var config []byte

// crashes collects the crashes and has each crashed runner start again, with a new id.
type crashes struct {
	mu     sync.Mutex
	at     []time.Time
	starts sync.WaitGroup
}

func (c *crashes) decide(r *stand.Runner, a stand.Arrival, runs bool) bool {
	if !runs || a.Path != poison {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.starts.Add(1)
	time.AfterFunc(backAfter, func() {
		defer c.starts.Done()
		if err := r.StartAs(fmt.Sprintf("i-%08x", rand.Uint32()), false); err != nil {
			r.Log.Printf("runner %s does not start: %v", r.ID, err)
		}
	})
	return true
}

func run(log *stand.Record, dir string, trouble bool) (int, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return 0, err
	}
	store, address, err := stand.NewStore()
	if err != nil {
		return 0, err
	}
	store.Put("config", "main", json.RawMessage(config))
	zones := []string{"half-way-tree", "cross-roads", "downtown"}
	var crashed crashes
	var runners []*stand.Runner
	for i, zone := range zones {
		r := &stand.Runner{ID: fmt.Sprintf("i-%08x", 0x2b8c4400+i*6007), Service: "orders", Zone: zone, Slots: 6, Queue: 24,
			Work: 30 * time.Millisecond, Crashes: crashed.decide, Store: store, Log: log}
		if err := r.Start(false); err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	routers, err := stand.NewRouters(dir, address, zones)
	if err != nil {
		return 0, err
	}
	for _, r := range routers {
		defer r.Kill()
		if err := r.Start(root); err != nil {
			return 0, err
		}
	}
	if err := stand.AwaitReady(routers); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	orders, statuses := map[string]int{}, map[string]int{}
	var loaded sync.WaitGroup
	load := func(perSecond float64, next func(int) stand.Request, results map[string]int) {
		loaded.Add(1)
		go func() {
			defer loaded.Done()
			stand.Load(ctx, perSecond, routers, next, func(q stand.Request, a stand.Answer) {
				results[a.Outcome()]++
				if a.Err != nil || a.Status != 200 {
					log.Printf("%s as %s sent at %.3f: %s", q.Path, a.Attempt, log.At(a.Sent), a.Outcome())
				}
			})
		}()
	}
	load(ordersPerS, order, orders)
	load(statusesPerS, status, statuses)
	time.Sleep(3 * time.Second)
	sendAgain(log, routers, trouble)
	stop()
	loaded.Wait()
	crashed.starts.Wait()
	log.Printf("orders of others: %v; statuses of others: %v", orders, statuses)
	return judge(log, runners, crashed.at), nil
}

// sendAgain sends the same request again and again, each time at any of the machines.
func sendAgain(log *stand.Record, routers []*stand.Router, trouble bool) {
	path := poison
	if !trouble {
		path = "/status/band-4712" // crashes nothing
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(every) {
		addresses := stand.Resolve(routers[0])
		if len(addresses) == 0 {
			continue
		}
		at := addresses[rand.IntN(len(addresses))]
		a := stand.NewClient().Send(at, stand.Request{Method: http.MethodGet, Path: path, Key: "key-undertaker", Deadline: time.Second})
		log.Printf("GET %s as %s at %s: %s", path, a.Attempt, at, a.Outcome())
	}
}

func order(i int) stand.Request {
	return stand.Request{Path: "/orders/2f", Key: "key-parish", Body: fmt.Sprintf("band order %d", 10000+i), Deadline: time.Second}
}

func status(i int) stand.Request {
	return stand.Request{Method: http.MethodGet, Path: fmt.Sprintf("/status/band-%d", 10000+i), Key: "key-parish", Deadline: time.Second}
}

func judge(log *stand.Record, runners []*stand.Runner, crashedAt []time.Time) int {
	reached, late := 0, 0
	for _, r := range runners {
		for _, a := range r.Arrivals() {
			if a.Path != poison {
				continue
			}
			reached++
			log.Printf("%s reached a runner in %s at %.3f as %s", a.Path, r.Zone, log.At(a.At), a.Attempt)
			if len(crashedAt) >= 3 && a.At.Sub(crashedAt[2]) > contact {
				late++
			}
		}
	}
	log.Printf("BUDGET: a request that crashed runners %d times reached runners %d times, %d of them over %.0f s after the third crash; allowed are 3", len(crashedAt), reached, late, contact.Seconds())
	if late > 3 {
		return stand.Broken
	}
	return stand.Held
}

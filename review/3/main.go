// Command 3 sends prompts with one shared part that crashes each runner which has begun to
// write its answer.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cyclamenwinch.review/stand"
)

const (
	contact    = 3 * time.Second // contact-ms
	backAfter  = 3 * time.Second // a crashed runner
	lasts      = 20 * time.Second
	soundPerS  = 60.0
	deadlyPerS = 1.0
	deadly     = "dead0001:119"
)

func main() { os.Exit(stand.Main(run)) }

// config is the configuration that the operator stores.
//
//go:embed config.json
var config []byte

// crashes collects the crashes and has each crashed runner start again, cold and with a
// new id.
type crashes struct {
	mu     sync.Mutex
	at     []time.Time
	starts sync.WaitGroup
}

func (c *crashes) decide(r *stand.Runner, a stand.Arrival) bool {
	if !strings.HasPrefix(a.Parts, deadly) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.starts.Add(1)
	time.AfterFunc(backAfter, func() {
		defer c.starts.Done()
		if err := r.StartAs(fmt.Sprintf("i-%08x", rand.Uint32()), true); err != nil {
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
	for i := range 9 {
		r := &stand.Runner{ID: fmt.Sprintf("i-%08x", 0x3f5a1c00+i*7919), Service: "model", Zone: zones[i%3], Slots: 64, Queue: 192,
			Events: 18, EventGap: 35 * time.Millisecond, ColdFor: 3 * time.Second, Store: store, Log: log}
		if os.Getenv("AT_ONCE") == "1" { // control: without any event the part is found out
			r.Crashes = func(r *stand.Runner, a stand.Arrival, runs bool) bool { return runs && crashed.decide(r, a) }
		} else {
			r.CrashesInAnswer = crashed.decide
		}
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
	soundCtx, stopSound := context.WithTimeout(context.Background(), lasts+6*time.Second)
	defer stopSound()
	soundResults, deadlyResults := map[string]int{}, map[string]int{}
	var loaded sync.WaitGroup
	load := func(ctx context.Context, perSecond float64, next func(int) stand.Request, results map[string]int) {
		loaded.Add(1)
		go func() {
			defer loaded.Done()
			stand.Load(ctx, perSecond, routers, next, func(_ stand.Request, a stand.Answer) { results[a.Outcome()]++ })
		}()
	}
	load(soundCtx, soundPerS, sound, soundResults)
	time.Sleep(3 * time.Second)
	deadlyCtx, stopDeadly := context.WithTimeout(context.Background(), lasts)
	defer stopDeadly()
	load(deadlyCtx, deadlyPerS, func(i int) stand.Request {
		if !trouble {
			return prompt("c0de0001:119", i) // crashes nothing
		}
		return prompt(deadly, i)
	}, deadlyResults)
	loaded.Wait()
	crashed.starts.Wait()
	log.Printf("answers to sound prompts: %v; to those with the part: %v", soundResults, deadlyResults)
	return judge(log, runners, crashed.at), nil
}

func sound(i int) stand.Request { return prompt(fmt.Sprintf("%x:119", 0x5c1e0000+i%40), i) }

// prompt returns a prompt of three parts; no two of one template are alike.
func prompt(template string, i int) stand.Request {
	return stand.Request{Path: "/chat/2f", Key: "key-parish", Body: fmt.Sprintf("%s prompt %d", template, i), Deadline: 10 * time.Second, Tokens: 398, Output: 144,
		Parts: fmt.Sprintf("%s,%x:79,%x:200", template, 0x91bd0000+i%411, 0xe4400000+rand.IntN(1<<24))}
}

func judge(log *stand.Record, runners []*stand.Runner, crashedAt []time.Time) int {
	reached, late := 0, 0
	for _, r := range runners {
		for _, a := range r.Arrivals() {
			if !strings.HasPrefix(a.Parts, deadly) {
				continue
			}
			reached++
			log.Printf("%s with part %s reached a runner at %.3f", a.Attempt, deadly, log.At(a.At))
			if len(crashedAt) >= 5 && a.At.Sub(crashedAt[4]) > contact {
				late++
			}
		}
	}
	log.Printf("BUDGET: %d requests with the part that crashed runners %d times reached runners, %d of them over %.0f s after the fifth crash; allowed are 3", reached, len(crashedAt), late, contact.Seconds())
	if late > 3 {
		return stand.Broken
	}
	return stand.Held
}

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// finePerSecond is the rate of the clients that are not controlled, over all routers. The
	// sheet's clients send 450 requests a second.
	finePerSecond = 300
	// fineParts is how many parts each of their prompts has. They fit into max-header-bytes.
	fineParts = 750
	// fineTokens is how many tokens each of their prompts has.
	fineTokens = 100
	// ordinaryPerSecond is the rate of the other clients.
	ordinaryPerSecond = 30
	clientsPerRouter  = 6
	// A day has a fault if processes end by themselves endsOfFault times on a tenth of the
	// machines in use, machinesOfFault at least.
	endsOfFault     = 3
	machinesOfFault = 2
	// loadTime is how long clients send at most.
	loadTime = 100 * time.Second
)

// promptParts lets clients send prompts of very many parts, all within the limits, and
// watches the memory of the routers. Without the disruption, the same clients send as many
// prompts of as many tokens, in three parts.
func promptParts(w *world) (broken bool, err error) {
	prompt := ordinaryPrompt(fineTokens)
	if w.trouble {
		prompt = finePrompt(fineParts, fineTokens)
	}
	w.record.printf("trouble %v: %d requests a second with prompts of %d tokens, beside %d ordinary ones, at %d routers of %d MB with %d runners",
		w.trouble, finePerSecond, fineTokens, ordinaryPerSecond, len(w.routers), memoryMB, len(w.runners))
	for _, r := range w.routers {
		go r.keep(func(r *router, why string, memory int64) {
			w.record.printf("%s %s (%d MiB of %d)", r.name, why, memory>>20, memoryMB)
		})
	}
	var uncontrolled, ordinary answers
	var stop atomic.Bool
	until := time.Now().Add(loadTime)
	var clients sync.WaitGroup
	for _, r := range w.routers {
		for i := range clientsPerRouter {
			fine := client{to: r, key: apiKey, prompt: prompt}
			usual := client{to: r, key: ordinaryKey, prompt: ordinaryPrompt(700)}
			all := time.Duration(clientsPerRouter * len(w.routers))
			start := time.Duration(i) * time.Second / clientsPerRouter
			clients.Go(func() {
				time.Sleep(start)
				fine.repeat(all*time.Second/finePerSecond, until, &stop, &uncontrolled)
			})
			clients.Go(func() {
				time.Sleep(start)
				usual.repeat(all*time.Second/ordinaryPerSecond, until, &stop, &ordinary)
			})
		}
	}
	for tick := 1; time.Now().Before(until) && w.often() < len(w.routers); tick++ {
		time.Sleep(time.Second)
		if tick%5 != 0 {
			continue
		}
		w.record.printf("memory now, MiB: %s; %d runs; uncontrolled clients: %v; ordinary clients: %v", fmt.Sprint(w.memory()), w.runs(), &uncontrolled, &ordinary)
	}
	stop.Store(true)
	clients.Wait()
	ended := 0 // machines whose processes ended
	for _, r := range w.routers {
		r.mu.Lock()
		w.record.printf("%s: killed %d times for exceeding its memory, ended by itself %d times; at most %d MiB of %d", r.name, r.killed, r.exited, r.peak>>20, memoryMB)
		if r.killed+r.exited > 0 {
			ended++
		}
		r.mu.Unlock()
	}
	w.record.printf("%d runs; uncontrolled clients: %v; ordinary clients: %v", w.runs(), &uncontrolled, &ordinary)
	if uncontrolled.byStatus["200"] == 0 || ordinary.byStatus["200"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	often := w.often()
	w.record.printf("processes ended on %d machines, and %d times or more on %d", ended, endsOfFault, often)
	return often >= machinesOfFault, nil
}

// often returns the number of machines whose processes ended endsOfFault times or more.
func (w *world) often() (n int) {
	for _, r := range w.routers {
		r.mu.Lock()
		if r.killed+r.exited >= endsOfFault {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

// memory returns what each router's process uses.
func (w *world) memory() (out []int64) {
	for _, r := range w.routers {
		r.mu.Lock()
		pid := r.process.Pid
		r.mu.Unlock()
		out = append(out, anonymousMemory(pid)>>20)
	}
	return out
}

func (w *world) runs() (n int) {
	for _, r := range w.runners {
		n += r.count()
	}
	return n
}

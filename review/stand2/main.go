// Command stand2 plays the scripts of the review: the platform with its store and its
// runners, and the clients, round router processes of the project.
//
//	stand2 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is
// left out.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// What the sheet of the site jmbsa-router says.
const (
	memoryMB   = 134
	healthPath = "/healthz"
	host       = "ficu95.example"
	// The tenants and their keys: that of the clients that are not controlled, and that of
	// ordinary ones.
	uncontrolledTenant = "hule930"
	apiKey             = "asnmgkcuyj8pjbvk9m68"
	ordinaryTenant     = "dafi163"
	ordinaryKey        = "k7b2ex5wa5xwyhks8nbk"
	modelService       = "huvo11a"
	// maxHeaderBytes is max-header-bytes of the configuration.
	maxHeaderBytes = 16384
)

var zones = []string{"half-way-tree", "cross-roads", "downtown"}

// maxRouters is how many routers the site has.
const maxRouters = 7

// routerIP returns the address of a router.
func routerIP(i int) string { return fmt.Sprintf("127.0.0.%d", i+1) }

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(c, os.Args[2]))
}

// scenario is a case: its deployment and what is played on it.
type scenario struct {
	routersInZone []int
	// startRunners starts the runners and returns their entries by id.
	startRunners func(*world) (map[string]entry, error)
	play         func(*world) (broken bool, err error)
}

// entry returns what a runner writes into the store with a sequence number.
type entry func(sequence int64) map[string]any

var cases = map[string]scenario{
	"prompt-parts": {[]int{3, 2, 2}, startModelRunners, promptParts},
	"late-answer":  {[]int{3, 2, 2}, startLateRunners, lateAnswer},
}

func run(c scenario, folder string) int {
	w, err := newWorld(c, folder)
	if w != nil {
		defer w.close()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-interrupted
			w.close()
			os.Exit(exitNotRun)
		}()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	broken, err := c.play(w)
	switch {
	case err != nil:
		w.record.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.record.printf("the rule was BROKEN")
		return exitBroken
	}
	w.record.printf("the rule held")
	return exitHeld
}

// world is a small deployment: routers of the site and the runners of one service.
type world struct {
	dir     string
	trouble bool
	store   *store
	runners []*runner // of the model service
	late    []*lateRunner
	entries map[string]entry // of all runners, by id
	routers []*router
	record  *record
}

// maxSeeds is how many routers the settings name.
const maxSeeds = 3

func newWorld(c scenario, folder string) (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0"}
	binary, err := filepath.Abs("target/cyclamenwinchd")
	if err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	if w.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return w, err
	}
	if w.store, err = newStore(); err != nil {
		return w, err
	}
	if err := w.store.put("config", "main", json.RawMessage(configuration)); err != nil {
		return w, err
	}
	if w.entries, err = c.startRunners(w); err != nil {
		return w, err
	}
	if err := w.writeEntries(1); err != nil {
		return w, err
	}
	peerPort, err := freePortRange()
	if err != nil {
		return w, err
	}
	var seeds []string
	for i := range maxSeeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", routerIP(i), peerPort))
	}
	for i, zone := range zones {
		for number := range c.routersInZone[i] {
			r, err := newRouter(binary, w.dir, fmt.Sprintf("edge-%s-%d", zone, number+1), routerIP(len(w.routers)), zone, w.store.address, peerPort, seeds)
			if err != nil {
				return w, err
			}
			w.routers = append(w.routers, r)
			if err := r.start(); err != nil {
				return w, err
			}
		}
	}
	for _, r := range w.routers {
		if !r.awaitReady(10 * time.Second) {
			return w, fmt.Errorf("%s is not ready", r.name)
		}
	}
	go w.heartbeats()
	return w, nil
}

// freePortRange returns the first of 16 ports that are free at the routers' addresses.
func freePortRange() (int, error) {
	for try := 0; try < 50; try++ {
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return 0, err
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return 0, err
		}
		if first, err := strconv.Atoi(port); err == nil && first < 65000 && portsAreFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free range of ports")
}

func portsAreFree(first int) bool {
	for i := range maxRouters {
		for port := first; port < first+2; port++ {
			address := fmt.Sprintf("%s:%d", routerIP(i), port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			l.Close()
			datagrams, err := net.ListenPacket("udp", address)
			if err != nil {
				return false
			}
			datagrams.Close()
		}
	}
	return true
}

// heartbeats has the runners renew their entries.
func (w *world) heartbeats() {
	for sequence := int64(2); ; sequence++ {
		time.Sleep(1200 * time.Millisecond)
		if err := w.writeEntries(sequence); err != nil {
			fmt.Fprintln(os.Stderr, "heartbeat:", err)
		}
	}
}

func (w *world) writeEntries(sequence int64) error {
	for id, entry := range w.entries {
		if err := w.store.put("servers", id, entry(sequence)); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, r := range w.routers {
		r.close()
	}
	if w.record != nil {
		w.record.close()
	}
	if w.dir != "" {
		os.RemoveAll(w.dir)
	}
}

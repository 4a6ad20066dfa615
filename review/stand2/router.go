package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// router is a router process, kept running as the platform does it: one that exceeds its
// memory is killed, and one that has ended is started again.
type router struct {
	name, ip, front, ready string
	binary, metrics        string
	settings               string
	log                    *os.File

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{} // closed when the current process has ended
	closed  bool
	killed  int   // times that it exceeded its memory
	exited  int   // times that it ended by itself
	peak    int64 // highest use of memory seen, in bytes
}

// freeAddress returns a TCP address that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newRouter writes the settings of a router.
func newRouter(binary, dir, name, ip, zone, storeAddress string, peerPort int, seeds []string) (*router, error) {
	r := &router{name: name, ip: ip, binary: binary, settings: filepath.Join(dir, name+".json")}
	var control, directory string
	for _, address := range []*string{&r.front, &r.ready, &control, &directory, &r.metrics} {
		var err error
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	settings := map[string]any{}
	if err := json.Unmarshal(baseSettings, &settings); err != nil {
		return nil, err
	}
	settings[wire.NodeName], settings["ip"], settings["zone"], settings["seeds"] = name, ip, zone, seeds
	settings["listen"] = map[string]string{"frontend": r.front, "ready": r.ready, "control": control, "directory": directory}
	settings[wire.InternalPorts] = []int{peerPort, peerPort + 15}
	settings["platform"] = map[string]any{"address": storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(r.settings, data, 0o644); err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(dir, name+".log"))
	return r, err
}

// start starts the process with the command of the deploy file. The metrics get a
// loopback address and a free port, since several routers share this machine.
func (r *router) start() error {
	cmd := exec.Command(r.binary, "edge", "--metrics", r.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CYCLAMENWINCH_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.process, r.ended = cmd.Process, ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + r.ready + wire.ReadyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// anonymousMemory returns the memory of a process that no file backs: the program itself
// is left out, and so is what the kernel holds for its sockets.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// keep watches the process until the router is closed.
func (r *router) keep(onEnd func(r *router, why string, memory int64)) {
	for {
		r.mu.Lock()
		process, ended, closed := r.process, r.ended, r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		select {
		case <-ended:
			r.mu.Lock()
			closed = r.closed
			if !closed {
				r.exited++
			}
			r.mu.Unlock()
			if closed {
				return
			}
			onEnd(r, "ended by itself", 0)
			r.restart()
		case <-time.After(20 * time.Millisecond):
			used := anonymousMemory(process.Pid)
			r.mu.Lock()
			r.peak = max(r.peak, used)
			r.mu.Unlock()
			if used <= memoryMB<<20 {
				continue
			}
			process.Kill()
			<-ended
			r.mu.Lock()
			r.killed++
			r.mu.Unlock()
			onEnd(r, "killed for exceeding its memory", used)
			r.restart()
		}
	}
}

func (r *router) restart() {
	time.Sleep(restartDelay)
	if err := r.start(); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
	}
}

// close ends the process.
func (r *router) close() {
	r.mu.Lock()
	r.closed = true
	process, ended := r.process, r.ended
	r.mu.Unlock()
	if process != nil {
		process.Kill()
		<-ended
	}
	r.log.Close()
}

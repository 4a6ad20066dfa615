package prepared_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// soakMemoryMB is the memory limit of a router. It is the smallest that the
	// platform gives.
	soakMemoryMB = 134
	// monitorInterval is the time between two measurements of the routers' memory.
	monitorInterval = 100 * time.Millisecond
)

// checkProcess records a violation if a router has ended by itself or has
// printed a panic. The caller holds the router's lock.
func (s *soak) checkProcess(r *router) {
	s.measureMemory(r)
	if code := r.session.ExitCode(); code != -1 {
		s.results.addViolation("%s exited by itself with code %d", r.name, code)
	}
	s.checkOutput(r)
}

// checkOutput records a violation for each line of a router that tells of a panic.
func (s *soak) checkOutput(r *router) {
	for _, out := range [][]byte{r.session.Out.Contents(), r.session.Err.Contents()} {
		for line := range strings.Lines(string(out)) {
			if strings.Contains(line, "panic") || strings.Contains(line, "fatal error: ") {
				s.results.addViolation("%s printed %q", r.name, strings.TrimSpace(line))
			}
		}
	}
}

// monitor measures the routers' memory until stop is closed.
func (s *soak) monitor(stop <-chan struct{}) {
	ticks := time.NewTicker(monitorInterval)
	defer ticks.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		for _, r := range s.routers {
			s.measureMemory(r)
		}
	}
}

func (s *soak) measureMemory(r *router) {
	bytes := peakMemory(r.pid.Load()) + unreadBytes(r.pid.Load())
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.results.peakMemory[r.name] = max(s.results.peakMemory[r.name], bytes)
}

// checkMemory records a violation for each router that used more than its memory
// limit.
func (s *soak) checkMemory() {
	for _, name := range slices.Sorted(maps.Keys(s.results.peakMemory)) {
		if peak := s.results.peakMemory[name]; peak > soakMemoryMB<<20 {
			s.results.addViolation("%s used %d MiB of memory, its limit is %d", name, peak>>20, soakMemoryMB)
		}
	}
}

// peakMemory returns the most memory that a process has used so far, without the
// pages of files; 0 if the process has ended.
func peakMemory(pid int64) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kib := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[2] == "kB" {
			kib[f[0]], _ = strconv.ParseInt(f[1], 10, 64) // a number, by proc(5)
		}
	}
	return max(0, kib["VmHWM:"]-kib["RssFile:"]-kib["RssShmem:"]) << 10
}

// unreadBytes returns how many bytes the kernel holds for a process that has not
// read them; 0 if the process has ended.
func unreadBytes(pid int64) (sum int64) {
	sockets := map[string]bool{} // by inode
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		target, _ := os.Readlink(link) // empty if the descriptor has been closed
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	for line := range strings.Lines(string(data)) {
		// Fields 4 and 9 are tx_queue:rx_queue and the inode, by proc(5).
		if f := strings.Fields(line); len(f) > 9 && sockets[f[9]] && f[3] != listening {
			_, unread, _ := strings.Cut(f[4], ":")
			n, _ := strconv.ParseInt(unread, 16, 64)
			sum += n
		}
	}
	return sum
}

// listening is the state of a socket whose queue holds connections, not bytes.
const listening = "0A"

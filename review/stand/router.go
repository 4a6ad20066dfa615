package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds are those of the settings of a small deployment, jmbsa-router.
var Bounds = map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
	"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "strict-revocation": false,
	"revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 54, "cold-overage": 1.5, "cold-slack": 5,
	"evacuate-ms": 5000, "recovery-s": 12, "max-delivery-ms": 120, "reuse-window-s": 7.8, "quota-window-s": 4, "ttl_max_s": 5}

// Router is one router process.
type Router struct {
	Name, IP, Zone             string
	Front, Ready, Directory    string
	metrics, settings, logFile string

	mu      sync.Mutex
	process *exec.Cmd // nil: not running
}

// NewRouters writes the settings of one router in each zone. dir is a temporary folder.
// Each has a loopback address of its own, as the ports of all machines are the same.
func NewRouters(dir, store string, zones []string) ([]*Router, error) {
	ports, err := freePorts(len(zones), 5)
	if err != nil {
		return nil, err
	}
	var out []*Router
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), ports[3]))
	}
	for i, zone := range zones {
		r := &Router{Name: fmt.Sprintf("edge-%s-1", zone), IP: ip(i), Zone: zone}
		at := func(port int) string { return fmt.Sprintf("%s:%d", r.IP, ports[port]) }
		r.Front, r.Ready, r.Directory, r.metrics = at(0), at(1), at(2), fmt.Sprintf("%s:%d", r.IP, ports[3])
		r.settings, r.logFile = filepath.Join(dir, r.Name+".json"), filepath.Join(dir, r.Name+".log")
		data, err := json.Marshal(map[string]any{
			wire.NodeName: r.Name, "role": "router", "machine-class": "edge", "serves": []string{"edge", "registry", "control_plane"},
			"ip": r.IP, "zone": zone, "region": "kingston",
			"listen":           map[string]any{"frontend": r.Front, "ready": r.Ready, "directory": r.Directory},
			wire.InternalPorts: []int{ports[4], ports[4] + 1}, "seeds": seeds, "bootstrap": true, "heartbeat-ms": 1200,
			"limits": map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": MemoryMB, "max-fds": 4100, "link-mbps": 1000.0},
			"bounds": Bounds, "platform": map[string]any{"address": store, "form": "objects"},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(r.settings, data, 0o600); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// ip returns the address of a router. Scripts that run at the same time have others.
func ip(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, 1+pid%200, 11+i)
}

// freePorts returns ports that are free for TCP and UDP at the addresses of n routers,
// each with the port after it.
func freePorts(n, count int) ([]int, error) {
	var out []int
	for port := 12000 + os.Getpid()%8000; len(out) < count && port < 30000; port += 2 {
		if isFree(n, port) && isFree(n, port+1) {
			out = append(out, port)
		}
	}
	if len(out) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return out, nil
}

func isFree(n, port int) bool {
	for i := range n {
		address := fmt.Sprintf("%s:%d", ip(i), port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// Start starts the process with the command of the deploy file, but that the metrics
// have the router's own address: all routers are on one machine here. root is the root
// of the repository.
func (r *Router) Start(root string) error {
	out, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	process := exec.Command(filepath.Join(root, "target/cyclamenwinchd"), "edge", "--metrics", r.metrics)
	// The platform's machines report one core, which GOMAXPROCS stands for.
	process.Dir, process.Env = root, append(os.Environ(), "CYCLAMENWINCH_BOOT="+r.settings, "GOMAXPROCS=1")
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process = process
	return nil
}

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		r.process.Process.Kill()
		r.process.Wait()
		r.process = nil
	}
}

// MemoryMB is the limit of a router process.
const MemoryMB = 134

// PeakMB returns the most memory that the process has used so far, in MiB and without
// the pages of files: its program is not counted.
func (r *Router) PeakMB() (mb int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return 0, false
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0, false
	}
	kb := map[string]int{}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[2] == "kB" {
			kb[f[0]], _ = strconv.Atoi(f[1]) // a number, by proc(5)
		}
	}
	return (kb["VmHWM:"] - kb["RssFile:"] - kb["RssShmem:"]) / 1024, kb["VmHWM:"] > 0
}

// AwaitReady waits until all routers are ready and name all of them to clients.
func AwaitReady(routers []*Router) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, r := range routers {
			if resp, err := http.Get("http://" + r.Ready + wire.ReadyPath); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK && len(Resolve(r)) == len(routers) {
					n++
				}
			}
		}
		if n == len(routers) {
			return nil
		}
	}
	return fmt.Errorf("the routers are not ready")
}

// Resolve asks a router's directory for the addresses that clients may use.
func Resolve(r *Router) []string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Directory + wire.ResolvePath + "?name=h.example&region=kingston&zone=" + r.Zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

// Size is the size of a fleet to measure.
type Size struct {
	Routers   int `long:"routers" default:"7"`
	Accounts  int `long:"accounts" default:"16"`
	Endpoints int `long:"endpoints" default:"15" description:"declared; all but a few are out"`
	Models    int `long:"models" default:"4" description:"model runners that run"`
}

const (
	fleetFile    = "fleet.json"
	manifestFile = "manifest.json"
	clockTicks   = 100 // of /proc, per second
	bytesPerMB   = 1 << 20
)

// Layout writes settings, manifest and the command lines of a fleet's
// processes into dir. Ports are counted up from base.
func Layout(dir, example string, size Size, base int) error {
	port := base - 1
	l := load.Layout{
		Example: example, Routers: size.Routers, Models: size.Models, Orders: 1, Accounts: size.Accounts,
		NextPort: func() int { port++; return port },
	}
	f, m, err := l.Write(dir)
	if err != nil {
		return err
	}
	like := m.Endpoints[0]
	for i := len(m.Endpoints); i < size.Endpoints; i++ {
		e := like
		e.Name, e.State = fmt.Sprintf("declared-%d", i), manifest.Out
		e.URL = fmt.Sprintf("http://127.1.%d.%d:9", i/250, i%250+1)
		m.Endpoints = append(m.Endpoints, e)
	}
	if err := load.WriteJSON(filepath.Join(dir, manifestFile), m); err != nil {
		return err
	}
	return load.WriteJSON(filepath.Join(dir, fleetFile), f)
}

// Processes returns the command lines of a fleet's stand-ins and of its
// routers, without the programs' directory.
func Processes(dir string) (standins, routers []string, err error) {
	f, err := readFleet(dir)
	if err != nil {
		return nil, nil, err
	}
	address := func(url string) string { return strings.TrimPrefix(url, "http://") }
	standins = append(standins, "cyclamenwinch-standin --role platform --listen "+address(f.Platform))
	for _, r := range f.Models {
		standins = append(standins, fmt.Sprintf("cyclamenwinch-standin --role model --cold-for 0 --name %s --listen %s", r.Name, address(r.URL)))
	}
	for _, r := range f.Orders {
		standins = append(standins, fmt.Sprintf("cyclamenwinch-standin --role order --name %s --listen %s", r.Name, address(r.URL)))
	}
	for _, r := range f.Routers {
		routers = append(routers, "cyclamenwinchd --settings "+filepath.Join(dir, load.SettingsFile(r.Name)))
	}
	return standins, routers, nil
}

func readFleet(dir string) (load.Fleet, error) {
	var f load.Fleet
	data, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil {
		return f, errors.Wrap(err, "fleet")
	}
	return f, errors.Wrap(json.Unmarshal(data, &f), "fleet")
}

// reading is the state of the counters at one moment.
type reading struct {
	at       time.Time
	counters []map[string]float64 // of each router
	ticks    []float64
	memory   []float64 // MB
	platform objects.Counts
}

func read(f load.Fleet, pids []int) (reading, error) {
	r := reading{at: time.Now()}
	for _, router := range f.Routers {
		text, err := get(router.OpsURL+"/metrics", f.OpsToken)
		if err != nil {
			return r, err
		}
		r.counters = append(r.counters, parseMetrics(string(text)))
	}
	for _, pid := range pids {
		ticks, memory, err := process(pid)
		if err != nil {
			return r, err
		}
		r.ticks, r.memory = append(r.ticks, ticks), append(r.memory, memory)
	}
	text, err := get(f.Platform+"/counts", "")
	if err != nil {
		return r, err
	}
	return r, errors.Wrap(json.Unmarshal(text, &r.platform), "counts")
}

// between returns the sample of the window between two readings.
func between(a, b reading) Sample {
	s := Sample{Seconds: b.at.Sub(a.at).Seconds(), Rates: map[string]float64{}, Highest: map[string]float64{}}
	n := float64(len(b.counters))
	for i, counters := range b.counters {
		for name, value := range counters {
			rate := (value - a.counters[i][name]) / s.Seconds
			s.Rates[name] += rate / n
			s.Highest[name] = max(s.Highest[name], rate)
		}
		s.HeapMB += counters["go_memstats_heap_inuse_bytes"] / bytesPerMB / n
	}
	for i := range b.ticks {
		core := (b.ticks[i] - a.ticks[i]) / clockTicks / s.Seconds
		s.Core += core / float64(len(b.ticks))
		s.CoreMost = max(s.CoreMost, core)
		s.MemoryMB += b.memory[i] / float64(len(b.ticks))
	}
	s.Reads = float64(b.platform.Reads-a.platform.Reads) / s.Seconds
	s.Writes = float64(b.platform.Writes-a.platform.Writes) / s.Seconds
	s.Watches = float64(b.platform.Watches-a.platform.Watches) / s.Seconds
	return s
}

// measured are the counters that a sample keeps.
var measured = []string{"cyclamenwinch_control_", "cyclamenwinch_peer_bytes", "cyclamenwinch_platform_", "cyclamenwinch_usage_", "go_memstats_heap_inuse"}

func parseMetrics(text string) map[string]float64 {
	counters := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		wanted := slices.ContainsFunc(measured, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if v, err := strconv.ParseFloat(value, 64); ok && wanted && err == nil {
			counters[name] = v
		}
	}
	return counters
}

// process returns the processor time in ticks and the resident memory in MB.
func process(pid int) (ticks, memory float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "process")
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return user + system, pages * float64(os.Getpagesize()) / bytesPerMB, nil
}

func status(f load.Fleet, router int) (opsapi.Status, error) {
	var s opsapi.Status
	text, err := get(f.Routers[router].OpsURL+"/status", f.OpsToken)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(text, &s), "status")
}

func get(url, token string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "get")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

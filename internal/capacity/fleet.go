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

// FleetSize is the number of routers and configured items of a fleet to measure.
type FleetSize struct {
	Routers   int `long:"routers" default:"7"`
	Accounts  int `long:"accounts" default:"16"`
	Endpoints int `long:"endpoints" default:"15" description:"declared; all but a few are out"`
	Models    int `long:"models" default:"4" description:"model runners that run"`
}

const (
	fleetFile           = "fleet.json"
	manifestFile        = "manifest.json"
	clockTicksPerSecond = 100 // unit of the processor times in /proc/PID/stat
	bytesPerMB          = 1 << 20
)

// WriteLayout writes the settings, the manifest and the addresses of a fleet into
// dir. It assigns consecutive ports, starting with base. Endpoints beyond those of
// the stand-ins are declared in the state out, on port 9 of further loopback
// addresses.
func WriteLayout(dir, example string, size FleetSize, base int) error {
	port := base - 1
	layout := load.Layout{
		Example: example, Routers: size.Routers, Models: size.Models, Orders: 1, Accounts: size.Accounts,
		NextPort: func() int { port++; return port },
	}
	f, m, err := layout.Write(dir)
	if err != nil {
		return err
	}
	template := m.Endpoints[0]
	for i := len(m.Endpoints); i < size.Endpoints; i++ {
		e := template
		e.Name, e.State = fmt.Sprintf("declared-%d", i), manifest.Out
		e.URL = fmt.Sprintf("http://127.1.%d.%d:9", i/250, i%250+1)
		m.Endpoints = append(m.Endpoints, e)
	}
	if err := load.WriteJSON(filepath.Join(dir, manifestFile), m); err != nil {
		return err
	}
	return load.WriteJSON(filepath.Join(dir, fleetFile), f)
}

// CommandLines returns the command lines that start a fleet's stand-ins and
// routers. The programs are named without a directory.
func CommandLines(dir string) (standins, routers []string, err error) {
	f, err := readFleet(dir)
	if err != nil {
		return nil, nil, err
	}
	hostPort := func(url string) string { return strings.TrimPrefix(url, "http://") }
	standins = append(standins, "cyclamenwinch-standin --role platform --listen "+hostPort(f.Platform))
	for _, r := range f.Models {
		standins = append(standins, fmt.Sprintf("cyclamenwinch-standin --role model --cold-for 0 --name %s --listen %s", r.Name, hostPort(r.URL)))
	}
	for _, r := range f.Orders {
		standins = append(standins, fmt.Sprintf("cyclamenwinch-standin --role order --name %s --listen %s", r.Name, hostPort(r.URL)))
	}
	for _, r := range f.Routers {
		routers = append(routers, "cyclamenwinchd --settings "+filepath.Join(dir, load.SettingsFile(r.Name)))
	}
	return standins, routers, nil
}

// readFleet reads the description of the fleet that WriteLayout wrote.
func readFleet(dir string) (load.Fleet, error) {
	var f load.Fleet
	data, err := os.ReadFile(filepath.Join(dir, fleetFile))
	if err != nil {
		return f, errors.Wrap(err, "read fleet file")
	}
	return f, errors.Wrap(json.Unmarshal(data, &f), "decode fleet file")
}

// snapshot holds the counters of a fleet at one time.
type snapshot struct {
	at       time.Time
	counters []map[string]float64 // by metric name, for each router
	ticks    []float64            // processor time, for each process
	memoryMB []float64            // resident, for each process
	platform objects.Counts
}

func takeSnapshot(f load.Fleet, pids []int) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, router := range f.Routers {
		text, err := get(router.OpsURL+"/metrics", f.OpsToken)
		if err != nil {
			return s, err
		}
		s.counters = append(s.counters, parseMetrics(string(text)))
	}
	for _, pid := range pids {
		ticks, memory, err := processUsage(pid)
		if err != nil {
			return s, err
		}
		s.ticks, s.memoryMB = append(s.ticks, ticks), append(s.memoryMB, memory)
	}
	text, err := get(f.Platform+"/counts", "")
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(text, &s.platform), "decode platform counts")
}

// newSample returns the sample of the window between the snapshots a and b.
func newSample(a, b snapshot) Sample {
	s := Sample{Seconds: b.at.Sub(a.at).Seconds(), Rates: map[string]float64{}, MaxRates: map[string]float64{}}
	n := float64(len(b.counters))
	for i, counters := range b.counters {
		for name, value := range counters {
			rate := (value - a.counters[i][name]) / s.Seconds
			s.Rates[name] += rate / n
			s.MaxRates[name] = max(s.MaxRates[name], rate)
		}
		s.HeapMB += counters["go_memstats_heap_inuse_bytes"] / bytesPerMB / n
	}
	for i := range b.ticks {
		cores := (b.ticks[i] - a.ticks[i]) / clockTicksPerSecond / s.Seconds
		s.Cores += cores / float64(len(b.ticks))
		s.MaxCores = max(s.MaxCores, cores)
		s.MemoryMB += b.memoryMB[i] / float64(len(b.ticks))
	}
	s.PlatformReads = float64(b.platform.Reads-a.platform.Reads) / s.Seconds
	s.PlatformWrites = float64(b.platform.Writes-a.platform.Writes) / s.Seconds
	s.PlatformWatches = float64(b.platform.Watches-a.platform.Watches) / s.Seconds
	return s
}

// counterPrefixes are the name prefixes of the metrics that a sample includes.
var counterPrefixes = []string{"cyclamenwinch_control_", "cyclamenwinch_peer_bytes", "cyclamenwinch_platform_", "cyclamenwinch_usage_", "go_memstats_heap_inuse"}

// parseMetrics returns the metrics that have one of counterPrefixes.
func parseMetrics(text string) map[string]float64 {
	counters := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		included := slices.ContainsFunc(counterPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
		if v, err := strconv.ParseFloat(value, 64); ok && included && err == nil {
			counters[name] = v
		}
	}
	return counters
}

// processUsage returns the user and system time of a process in ticks and its
// resident memory in MB.
func processUsage(pid int) (ticks, memory float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read process statistics")
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return user + system, pages * float64(os.Getpagesize()) / bytesPerMB, nil
}

func routerStatus(f load.Fleet, router int) (opsapi.Status, error) {
	var s opsapi.Status
	text, err := get(f.Routers[router].OpsURL+"/status", f.OpsToken)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(text, &s), "decode router status")
}

func get(url, token string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

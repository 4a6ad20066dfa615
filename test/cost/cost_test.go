// Package cost_test measures the overhead of a router on streamed responses: the
// time to the first event, compared with a direct connection to the same runner
// in the same run, and the CPU time of the router per request and per event.
//
//	go test ./test/cost -run '^$' -bench . -benchtime 1x
package cost_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

const (
	module        = "github.com/cyclamenwinch/cyclamenwinch/cmd/"
	pairs         = 300 // requests on each path to measure the time to the first event
	streams       = 400 // requests of each length to measure the CPU time
	parallel      = 8
	shortResponse = 1   // events of a short response, without the last two
	longResponse  = 201 // events of a long response, without the last two
	idleDuration  = 3 * time.Second
	startTimeout  = 30 * time.Second
	// clockTicks is the number of units per second in which /proc counts CPU
	// time.
	clockTicks = 100
)

// copyEnv makes the test binary a proxy that only copies the data of TCP
// connections. Its cost is the minimum for any relay on this machine. The value
// is the address to listen on and the address to connect to, separated by a
// comma.
const copyEnv = "COST_COPIER"

func TestMain(m *testing.M) {
	listen, target, ok := strings.Cut(os.Getenv(copyEnv), ",")
	if !ok {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		os.Exit(1)
	}
	for {
		in, err := l.Accept()
		if err != nil {
			os.Exit(1)
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			os.Exit(1)
		}
		go copyAll(out, in)
		go copyAll(in, out)
	}
}

// copyAll reads into a buffer and writes it out, as a relay that inspects the
// data must.
func copyAll(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// BenchmarkRouter reports the added time to the first event and the CPU time of
// the router and of the copying proxy.
func BenchmarkRouter(b *testing.B) {
	f := startFleet(b)
	for b.Loop() {
		direct, routed := f.firstEvents(b)
		b.ReportMetric(float64(median(direct).Microseconds()), "direct-µs")
		b.ReportMetric(float64(median(routed).Microseconds()), "routed-µs")
		b.ReportMetric(float64((median(routed) - median(direct)).Microseconds()), "added-µs")

		f.reportCost(b, "", f.router, f.pid)
		f.reportCost(b, "copier-", f.copier, f.copierPid)
	}
}

// reportCost reports the CPU time of a relay per request and per event. The cost
// of an event is the difference between long and short responses.
func (f *fleet) reportCost(b *testing.B, prefix, base string, pid int) {
	idle := idleCPURate(pid)
	perShort := f.cpuTimePerRequest(b, base, pid, shortResponse, idle)
	perLong := f.cpuTimePerRequest(b, base, pid, longResponse, idle)
	perEvent := (perLong - perShort) / (longResponse - shortResponse)
	b.ReportMetric(float64(perEvent.Nanoseconds())/1000, prefix+"cpu-µs/event")
	b.ReportMetric(float64(perShort.Microseconds()), prefix+"cpu-µs/request")
}

// fleet is one router and one copying proxy in front of one runner.
type fleet struct {
	runner, router, copier string // URLs
	pid, copierPid         int
	http                   *http.Client
}

func startFleet(b *testing.B) *fleet {
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", module+"cyclamenwinchd", module+"cyclamenwinch-standin")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	standin := filepath.Join(dir, "cyclamenwinch-standin")
	store, runner := freeAddress(b), freeAddress(b)
	start(b, standin, "--role", "platform", "--listen", store)
	start(b, standin, "--role", "model", "--name", "runner-1", "--listen", runner, "--token-ms", "1", "--cold-for", "0")
	s := settings.Default()
	s.Name, s.Zone, s.Region = "router-a", "z", "r"
	s.CallerListen, s.PeerListen, s.OpsListen = freeAddress(b), freeAddress(b), freeAddress(b)
	s.CallerTLS.Mode, s.PeerTLS.Mode, s.OpsTLS.Mode = settings.Plain, settings.Plain, settings.Plain
	s.OpsToken, s.PlatformURL = "ops", "http://"+store
	data, err := json.Marshal(s)
	check(b, err)
	file := filepath.Join(dir, "router-a.json")
	check(b, os.WriteFile(file, data, 0o600))
	pid := start(b, filepath.Join(dir, "cyclamenwinchd"), "--settings", file)
	copier := freeAddress(b)
	b.Setenv(copyEnv, copier+","+runner)
	copierPid := start(b, os.Args[0])
	f := &fleet{
		runner: "http://" + runner, router: "http://" + s.CallerListen, copier: "http://" + copier,
		pid: pid, copierPid: copierPid,
		http: &http.Client{},
	}
	_, err = submit.Submit(context.Background(), platform.New("http://"+store), f.manifest())
	check(b, err)
	await(b, func() bool {
		resp, err := http.Get("http://" + s.OpsListen + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return f
}

func (f *fleet) manifest() *manifest.Manifest {
	return &manifest.Manifest{
		Zones:     []manifest.Zone{{Name: "z", Region: "r", State: manifest.In}},
		Accounts:  []manifest.Account{{Name: "a", Share: 1, KeyDigests: []string{manifest.KeyDigest("key")}, MaxQueue: 100, MaxWaitMillis: 10_000}},
		Pools:     []manifest.Pool{{Name: "p", Kind: manifest.Model, Models: []string{"m"}}},
		Endpoints: []manifest.Endpoint{{Name: "e", Pool: "p", URL: f.runner, Zone: "z", State: manifest.In, Slots: 64, ColdSlots: 64}},
		Orders:    manifest.Orders{Shards: 1, RetentionHours: 1},
	}
}

// stream sends one request, reads its complete stream and returns the time to
// the first event.
func (f *fleet) stream(base string, events int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"stools"}]}`, events)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer key")
	begin := time.Now()
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var first time.Duration
	last := ""
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if first == 0 {
			first = time.Since(begin)
		}
		if scanner.Text() != "" {
			last = scanner.Text()
		}
	}
	if last != "data: [DONE]" {
		return 0, fmt.Errorf("status %d, the stream ended with %q", resp.StatusCode, last)
	}
	return first, scanner.Err()
}

// firstEvents sends requests alternately to the runner and to the router and
// returns their times to the first event.
func (f *fleet) firstEvents(b *testing.B) (direct, routed []time.Duration) {
	for range pairs {
		d, err := f.stream(f.runner, shortResponse)
		check(b, err)
		r, err := f.stream(f.router, shortResponse)
		check(b, err)
		direct, routed = append(direct, d), append(routed, r)
	}
	return direct, routed
}

// idleCPURate returns the CPU time of a process per second without requests.
func idleCPURate(pid int) time.Duration {
	before := cpuTime(pid)
	time.Sleep(idleDuration)
	return (cpuTime(pid) - before) * time.Duration(time.Second) / idleDuration
}

// cpuTimePerRequest returns the CPU time of a relay per request, without the
// part that it uses when idle.
func (f *fleet) cpuTimePerRequest(b *testing.B, base string, pid, events int, idle time.Duration) time.Duration {
	before, begin := cpuTime(pid), time.Now()
	var wg sync.WaitGroup
	failures := make(chan error, parallel)
	for range parallel {
		wg.Go(func() {
			for range streams / parallel {
				if _, err := f.stream(base, events); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failures:
		b.Fatal(err)
	default:
	}
	background := time.Duration(float64(idle) * time.Since(begin).Seconds())
	return (cpuTime(pid) - before - background) / streams
}

// cpuTime returns the total CPU time of a process, or 0 if it can't be read.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

func start(b *testing.B, program string, args ...string) int {
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	check(b, command.Start())
	b.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
	})
	return command.Process.Pid
}

func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	defer l.Close()
	return l.Addr().String()
}

func await(b *testing.B, done func() bool) {
	for limit := time.Now().Add(startTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("the router did not become ready")
		}
	}
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

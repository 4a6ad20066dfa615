// Package cost_test measures what the router adds to a streamed answer
// against a direct connection to the same runner in the same run: time to the
// first event, and the router's processor time per request and per event.
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
	module     = "github.com/cyclamenwinch/cyclamenwinch/cmd/"
	pairs      = 300 // requests each way for the first event
	streams    = 400 // requests of each length for the processor time
	parallel   = 8
	short      = 1   // events of a short answer, without the last two
	long       = 201 // events of a long one
	idleFor    = 3 * time.Second
	startLimit = 30 * time.Second
	// clockTicks is the unit of processor time in /proc, per second.
	clockTicks = 100
)

// copyEnv makes the test's program a plain copier of connections: the floor
// below which no relay gets on this machine. Its value is the address to
// listen at and the one to copy to.
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

// copyAll reads and writes in turn, as a relay has to that looks at the data.
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

// BenchmarkRouter reports the added time and the processor time.
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

// reportCost reports the processor time of a relay.
func (f *fleet) reportCost(b *testing.B, prefix, base string, pid int) {
	idle := idleLoad(pid)
	perShort := f.processorTime(b, base, pid, short, idle)
	perLong := f.processorTime(b, base, pid, long, idle)
	perEvent := (perLong - perShort) / (long - short)
	b.ReportMetric(float64(perEvent.Nanoseconds())/1000, prefix+"cpu-µs/event")
	b.ReportMetric(float64(perShort.Microseconds()), prefix+"cpu-µs/request")
}

// fleet is one router before one runner.
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

// stream sends one request and returns the time to its first event.
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

// firstEvents sends requests in turn to the runner and to the router.
func (f *fleet) firstEvents(b *testing.B) (direct, routed []time.Duration) {
	for range pairs {
		d, err := f.stream(f.runner, short)
		check(b, err)
		r, err := f.stream(f.router, short)
		check(b, err)
		direct, routed = append(direct, d), append(routed, r)
	}
	return direct, routed
}

// idleLoad returns a process's processor time per second without requests.
func idleLoad(pid int) time.Duration {
	before := used(pid)
	time.Sleep(idleFor)
	return (used(pid) - before) * time.Duration(time.Second) / idleFor
}

// processorTime returns a relay's processor time per request.
func (f *fleet) processorTime(b *testing.B, base string, pid, events int, idle time.Duration) time.Duration {
	before, begin := used(pid), time.Now()
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
	return (used(pid) - before - background) / streams
}

// used returns a process's processor time so far.
func used(pid int) time.Duration {
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
	for limit := time.Now().Add(startLimit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			b.Fatal("the router does not get ready")
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

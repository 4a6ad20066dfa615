package prepared_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// hangTimeout bounds each wait for a condition. Only a system that never
// reaches the condition runs into it, so that the result of a test does not
// depend on the speed of the machine.
const hangTimeout = 60 * time.Second

func TestPrepared(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(hangTimeout)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "Prepared platform")
}

var daemon string

var _ = BeforeSuite(func() {
	var err error
	daemon, err = gexec.Build("github.com/cyclamenwinch/cyclamenwinch/cmd/cyclamenwinchd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// Ports are below the range of outgoing connections, and apart from those of the
// other suites.
const (
	firstPort = 10_000
	lastPort  = 20_000
)

var nextPort = firstPort + (os.Getpid()*97)%(lastPort-firstPort)

// freePort returns a port that, like the one after it, is free for TCP on every
// loopback address and is returned only once. The routers use it for TCP and UDP.
func freePort() int {
	for {
		nextPort += 2
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", nextPort))
		if err == nil {
			l.Close()
			return nextPort
		}
	}
}

// router is one router process.
type router struct {
	name, ip string
	settings map[string]any
	file     string
	session  *gexec.Session
	pid      atomic.Int64 // of the last process started

	environment []string // variables of its process beside those of this one
}

func (r *router) listenAddress(listener string) string {
	return r.settings["listen"].(map[string]any)[listener].(string)
}

// newRouter writes the settings file of a router; seeds are the IP addresses
// of other routers.
func newRouter(name, ip, zone, store string, peerPort int, seeds ...string) *router {
	r := &router{name: name, ip: ip, file: filepath.Join(GinkgoT().TempDir(), "boot.json")}
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort()) }
	var seedAddresses []string
	for _, s := range seeds {
		seedAddresses = append(seedAddresses, s+":1")
	}
	r.settings = map[string]any{
		"node-name": name, "ip": ip, "zone": zone, "region": "reg",
		"listen":         map[string]any{"frontend": address(), "ready": address(), "directory": address()},
		"internal-ports": []int{peerPort, peerPort + 1}, "seeds": seedAddresses,
		"limits":   map[string]any{"memory-mb": 284, "max-fds": 4100},
		"bounds":   map[string]any{"grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 52},
		"platform": map[string]any{"address": store},
	}
	r.write()
	DeferCleanup(r.printOutput)
	return r
}

func (r *router) write() {
	data, err := json.Marshal(r.settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(r.file, data, 0o600)).To(Succeed())
}

func (r *router) start() {
	command := exec.Command(daemon, "edge")
	command.Env = append(append(os.Environ(), "CYCLAMENWINCH_BOOT="+r.file), r.environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	session, err := gexec.Start(command, gbytes.NewBuffer(), GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	r.session = session
	r.pid.Store(int64(session.Command.Process.Pid))
}

// printOutput prints the end of what a router has printed, once the spec has failed.
func (r *router) printOutput() {
	if r.session != nil && CurrentSpecReport().Failed() {
		out := r.session.Out.Contents()
		GinkgoWriter.Printf("%s, exit code %d, ends with:\n%s\n", r.name, r.session.ExitCode(), out[max(0, len(out)-4000):])
	}
}

// status returns the HTTP status of a GET request, or 0 if there was no
// response.
func status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *router) ready() int { return status("http://" + r.listenAddress("ready") + "/v1/readyz") }

// addresses returns the router addresses that the directory lists for clients.
func (r *router) addresses() []string {
	resp, err := http.Get("http://" + r.listenAddress("directory") + "/v1/resolve?name=h.example&region=reg&zone=a")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var response struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&response) != nil {
		return nil
	}
	return response.Addresses
}

// runner is a stand-in for an endpoint, with its record in the store.
type runner struct {
	*prepared.Runner
	host    *prepared.Host
	store   *prepared.Store
	address string

	mu     sync.Mutex // guards the writes of record to the store
	record map[string]any
}

func newRunner(store *prepared.Store, id, service, zone string) *runner {
	r := &runner{Runner: &prepared.Runner{ID: id, EventCount: 6, EventInterval: 10 * time.Millisecond}, store: store}
	host, err := prepared.NewHost(r.Runner, fmt.Sprint("127.0.0.1:", freePort()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(host.Crash)
	r.host, r.address = host, host.Address()
	r.record = map[string]any{"service": service, "address": r.address, "zone": zone, "version": "v1", "sequence": 0, "slots": 8, "state": "ready", "cold-remaining-ms": 0, "born": 1}
	r.publish()
	return r
}

// publish writes the record, with the next sequence number. A runner that has
// crashed writes nothing.
func (r *runner) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.host.Running() {
		return
	}
	r.record["cold-remaining-ms"] = r.ColdRemaining().Milliseconds()
	r.record["models"] = []any{map[string]any{"name": "m", "version": r.host.Version(), "adapters": []any{}}}
	r.record["sequence"] = r.record["sequence"].(int) + 1
	r.store.Put("servers", r.ID, r.record)
}

// restart starts a crashed runner under its id, cold for a time. A runner that is
// running goes on.
func (r *runner) restart(cold time.Duration) {
	r.mu.Lock()
	if r.host.Running() {
		r.mu.Unlock()
		return
	}
	r.TurnCold(cold)
	r.record["born"], r.record["sequence"] = time.Now().UnixMilli(), 0
	err := r.host.Start()
	r.mu.Unlock()
	Expect(err).NotTo(HaveOccurred())
	r.publish()
}

// objectRevisions returns the revisions of all objects of a kind in the store, by
// name.
func objectRevisions(store *prepared.Store, kind string) map[string]int64 {
	out := map[string]int64{}
	for after, more := "", true; more; {
		response := httptest.NewRecorder()
		store.ServeHTTP(response, httptest.NewRequest("GET", "/v1/objects/"+kind+"?after="+after, nil))
		var page struct {
			Items []struct {
				Metadata struct {
					Name     string `json:"name"`
					Revision int64  `json:"revision"`
				} `json:"metadata"`
			} `json:"items"`
			HasMore bool `json:"has-more"`
		}
		Expect(json.Unmarshal(response.Body.Bytes(), &page)).To(Succeed())
		for _, o := range page.Items {
			after, out[o.Metadata.Name] = o.Metadata.Name, o.Metadata.Revision
		}
		more = page.HasMore
	}
	return out
}

// requestDeadline is how long clients wait for a response, as they tell the
// router.
const requestDeadline = 10 * time.Second

// call sends a request as a client does. An error means that there was no
// response or that its body was interrupted; it is context.DeadlineExceeded if
// neither the response nor the connection ended long after the deadline.
func call(frontend, method, path, key, attempt, body string, header ...string) (int, string, http.Header, error) {
	return callWith(http.DefaultTransport, frontend, method, path, key, attempt, strings.NewReader(body), io.ReadAll, header...)
}

// callWith is call with a transport, a body that is sent as it is read, and a
// function that reads the response.
func callWith(transport http.RoundTripper, frontend, method, path, key, attempt string, body io.Reader, read func(io.Reader) ([]byte, error), header ...string) (int, string, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+hangTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+frontend+path, body)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	data, err := read(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}

// coldPerSecond is how many requests per second a cold endpoint of a model handles.
const coldPerSecond = 18.0

// config returns a configuration as the operator stores it; extraRoutes adds
// routes.
func config(version int, keys []string, extraRoutes ...map[string]any) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "path-prefix": prefix, "type": kind, "service": service, "max-attempts": attempts,
			"timeout-ms": 10000, "target-latency-ms": 600, "resumable": kind == "streaming"}
	}
	routes := []any{route("chat", "/chat/", "streaming", "model", 2), route("order", "/order/", "non_idempotent", "orders", 1)}
	for _, r := range extraRoutes {
		routes = append(routes, r)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "model", "cold-start-s": 3.0, "cold-per-s": coldPerSecond, "health-path": prepared.HealthPath, "engine": map[string]any{"slots": 8, "kv-capacity": 100000, "stride": 7}},
			map[string]any{"name": "orders"}},
		"limits":  map[string]any{"max-body-bytes": 100000, "tokens-per-s": 410000},
		"tenants": []any{map[string]any{"name": "acc", "api-keys": keys}},
	}
}

package test_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
)

const (
	module = "github.com/cyclamenwinch/cyclamenwinch/cmd/"
	// hangTimeout bounds each wait for a condition. Only a system that never
	// reaches the condition runs into it, so that the result of a test does
	// not depend on the speed of the machine.
	hangTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	raceEnv      = "CYCLAMENWINCH_RACE" // "1" builds the daemons with the race detector
	longEnv      = "CYCLAMENWINCH_LONG" // "1" runs the long forms of the tests
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(hangTimeout)
	SetDefaultEventuallyPollingInterval(pollInterval)
	RunSpecs(t, "Processes")
}

var binaries = map[string]string{}

var _ = BeforeSuite(func() {
	for _, name := range []string{"cyclamenwinchd", "cyclamenwinch", "cyclamenwinch-standin"} {
		var args []string
		if os.Getenv(raceEnv) == "1" && name == "cyclamenwinchd" {
			args = append(args, "-race")
		}
		path, err := gexec.Build(module+name, args...)
		Expect(err).NotTo(HaveOccurred())
		binaries[name] = path
	}
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// process is a program that can be stopped and started again.
type process struct {
	name    string
	program string
	args    []string
	address string // where it listens once it is ready

	mu      sync.Mutex
	session *gexec.Session
}

func (p *process) start() {
	GinkgoHelper()
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(binaries[p.program], p.args...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	session, err := gexec.Start(command, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	p.session = session
}

func (p *process) awaitListener() {
	GinkgoHelper()
	Eventually(func() error {
		conn, err := net.DialTimeout("tcp", p.address, time.Second)
		if err == nil {
			conn.Close()
		}
		return err
	}).Should(Succeed(), p.name+" listens")
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session.Signal(s)
}

func (p *process) kill() {
	GinkgoHelper()
	p.signal(syscall.SIGKILL)
	Eventually(p.running().Exited).Should(BeClosed())
}

func (p *process) restart() {
	GinkgoHelper()
	p.start()
	p.awaitListener()
}

func (p *process) suspend() { p.signal(syscall.SIGSTOP) }
func (p *process) resume()  { p.signal(syscall.SIGCONT) }

// stop ends the process gracefully and returns its exit code.
func (p *process) stop() int {
	GinkgoHelper()
	p.signal(syscall.SIGTERM)
	Eventually(p.running().Exited).Should(BeClosed(), p.name+" stops")
	return p.running().ExitCode()
}

func (p *process) running() *gexec.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

// cluster is a fleet with the stand-ins that it depends on, each in a process of
// its own.
type cluster struct {
	load.Fleet
	dir      string
	manifest *manifest.Manifest
	platform *process
	models   []*process
	proxies  map[string]*netproxy.Proxy // by name of the router; only with size.peerProxies
	peers    map[string]string          // addresses for other routers, by name of the router
	orders   []*process
	routers  []*process
}

// size sets the number of processes and accounts of a cluster.
type size struct {
	example                           string
	routers, models, orders, accounts int
	tokenMillis, orderMillis          int
	peerProxies                       bool // peers reach each router through a proxy
	requestMemory                     int  // request_memory_bytes; 0: the default
}

// todaySize is today's size of a deployment, as the requirements give it.
func todaySize() size {
	return size{example: "nile-perch", routers: 7, models: 12, orders: 3, accounts: 16, tokenMillis: 5, orderMillis: 10}
}

// smallSize is sufficient for tests of a single kind of failure.
func smallSize() size {
	return size{example: "nile-perch", routers: 3, models: 3, orders: 2, accounts: 4, tokenMillis: 5, orderMillis: 10}
}

// startCluster starts a fleet, submits its manifest and waits until that is
// in force.
func startCluster(s size) *cluster {
	GinkgoHelper()
	c := &cluster{dir: GinkgoT().TempDir(), proxies: map[string]*netproxy.Proxy{}, peers: map[string]string{}}
	layout := load.Layout{
		Example: filepath.Join("..", "examples", s.example),
		Routers: s.routers, Models: s.models, Orders: s.orders, Accounts: s.accounts,
		NextPort:     freePort,
		EditSettings: func(x *settings.Settings) { c.adjustSettings(s, x) },
	}
	var err error
	c.Fleet, c.manifest, err = layout.Write(c.dir)
	Expect(err).NotTo(HaveOccurred())
	c.platform = c.startStandin("platform", "cyclamenwinch-standin", address(c.Platform), "--role", "platform")
	for _, r := range c.Models {
		c.models = append(c.models, c.startStandin(r.Name, "cyclamenwinch-standin", address(r.URL), "--role", "model", "--name", r.Name, "--token-ms", fmt.Sprint(s.tokenMillis), "--start-ms", fmt.Sprint(engineStartDelay.Milliseconds())))
	}
	for _, r := range c.Orders {
		c.orders = append(c.orders, c.startStandin(r.Name, "cyclamenwinch-standin", address(r.URL), "--role", "order", "--fence", "--name", r.Name, "--order-ms", fmt.Sprint(s.orderMillis)))
	}
	for _, r := range c.Routers {
		p := &process{name: r.Name, program: "cyclamenwinchd", address: address(r.OpsURL), args: []string{"--settings", filepath.Join(c.dir, load.SettingsFile(r.Name))}}
		c.launch(p)
		c.routers = append(c.routers, p)
	}
	for _, p := range c.all() {
		p.awaitListener()
	}
	c.awaitGeneration(c.submit(c.manifest))
	return c
}

// adjustSettings shortens the timeouts, so that failures are detected sooner,
// and puts a proxy in front of the listener for peers if the size asks for it.
func (c *cluster) adjustSettings(s size, x *settings.Settings) {
	c.peers[x.Name] = x.PeerListen
	x.LeaseSeconds = 2
	x.HeartbeatMillis = 200
	x.ProgressMillis = 1500
	x.StopSeconds = 60
	x.RequestMemory = s.requestMemory // 0: left to its default, so that a router of an older build starts too
	x.MaxMessages = 0                 // the same
	if s.peerProxies {
		c.proxies[x.Name] = newProxy(x.PeerListen)
		x.PeerAdvertise = c.proxies[x.Name].Address()
	}
}

func (c *cluster) startStandin(name, program, address string, args ...string) *process {
	p := &process{name: name, program: program, address: address, args: append(args, "--listen", address)}
	c.launch(p)
	return p
}

func (c *cluster) launch(p *process) {
	p.start()
	DeferCleanup(func() {
		p.resume()
		p.signal(syscall.SIGKILL)
		<-p.running().Exited
		if CurrentSpecReport().Failed() {
			AddReportEntry(p.name, tail(string(p.running().Err.Contents())))
		}
	})
}

func (c *cluster) all() []*process {
	all := []*process{c.platform}
	all = append(all, c.models...)
	all = append(all, c.orders...)
	return append(all, c.routers...)
}

const tailBytes = 4000

func tail(text string) string { return text[max(0, len(text)-tailBytes):] }

func address(url string) string { return strings.TrimPrefix(url, "http://") }

// The ports lie below the ephemeral ports, so that the system doesn't assign the
// port of a stopped process to an outgoing connection and the process can
// listen on it again.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort = firstPort + (os.Getpid()*97)%(lastPort-firstPort)

func freePort() int {
	for {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			l.Close()
			return nextPort
		}
	}
}

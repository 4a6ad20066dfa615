package session_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

const (
	modulePath = "github.com/cyclamenwinch/cyclamenwinch"
	opsToken   = "session-ops"
	// hangTimeout bounds each wait for a condition; only a fault in the system
	// makes a wait that long.
	hangTimeout = 90 * time.Second
	// generousSeconds is the basis of the limits in settings and manifest that
	// the session must not reach, even on a slow machine.
	generousSeconds = 60
)

// fleet holds all processes of the session.
type fleet struct {
	dir      string
	manifest *manifest.Manifest
	platform string
	runners  map[string]string // URLs by the name of the stand-in
	routers  map[string]*router

	authority string // PEM file of the routers' certificate authority; empty: no TLS
}

type router struct {
	settings settings.Settings
	process  *gexec.Session
}

func (r *router) callerURL() string { return scheme(r.settings.CallerTLS) + r.settings.CallerListen }
func (r *router) opsURL() string    { return scheme(r.settings.OpsTLS) + r.settings.OpsListen }

func scheme(t settings.ServerTLS) string {
	if t.Mode == settings.TLS {
		return "https://"
	}
	return "http://"
}

// binaries maps the name of each program to its executable file.
var binaries = map[string]string{}

var _ = BeforeSuite(func() {
	for _, program := range []string{"cyclamenwinch", "cyclamenwinchd", "cyclamenwinch-standin"} {
		file, err := gexec.Build(modulePath + "/cmd/" + program)
		Expect(err).NotTo(HaveOccurred())
		binaries[program] = file
	}
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// startFleet starts every process but the routers.
func startFleet() *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), runners: map[string]string{}, routers: map[string]*router{}}
	f.platform = f.standin("platform", "--role", "platform")
	for _, name := range []string{"runner-1", "runner-2"} {
		f.runners[name] = f.standin(name, "--role", "model", "--name", name)
	}
	f.runners["orders-1"] = f.standin("orders-1", "--role", "order", "--name", "orders-1", "--fence")
	f.manifest = f.exampleManifest()
	return f
}

// standin starts a stand-in and returns its URL.
func (f *fleet) standin(name string, args ...string) string {
	address := freeAddress()
	f.start("cyclamenwinch-standin", append(args, "--listen", address)...)
	awaitListener(address)
	return "http://" + address
}

// plainSettings returns settings of a router without TLS.
func (f *fleet) plainSettings(name, zone string) settings.Settings {
	s := settings.Default()
	s.Name, s.Zone, s.Region = name, zone, "eg-north"
	s.CallerListen, s.PeerListen, s.OpsListen = freeAddress(), freeAddress(), freeAddress()
	s.CallerTLS.Mode, s.PeerTLS.Mode, s.OpsTLS.Mode = settings.Plain, settings.Plain, settings.Plain
	s.OpsToken, s.PlatformURL = opsToken, f.platform
	s.LeaseSeconds, s.AddressSeconds, s.StopSeconds = generousSeconds/4, 1, 10*generousSeconds
	s.ProgressMillis = 1000 * generousSeconds
	s.RequestMemory, s.MaxMessages = 0, 0 // left to their defaults, so that a router of an older build starts too
	return s
}

func (f *fleet) startRouter(s settings.Settings) {
	file := f.write(s.Name+".json", s)
	f.routers[s.Name] = &router{settings: s, process: f.start("cyclamenwinchd", "--settings", file)}
	awaitListener(s.OpsListen)
}

func (f *fleet) start(program string, args ...string) *gexec.Session {
	process, err := gexec.Start(exec.Command(binaries[program], args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { process.Kill().Wait(hangTimeout) })
	return process
}

// awaitMembers waits until every router knows all others. Before that, two
// routers may disagree about which of them owns a scope.
func (f *fleet) awaitMembers() {
	for name, r := range f.routers {
		client, err := opsclient.New(opsclient.Options{Routers: []string{r.opsURL()}, Token: opsToken, CAFile: f.authority})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (int, error) {
			s, err := client.Status(context.Background())
			return len(s.Members), err
		}, hangTimeout, 50*time.Millisecond).Should(Equal(len(f.routers)), name)
	}
}

// runCLI runs the command line tool until it exits and returns its exit code
// and output.
func (f *fleet) runCLI(args ...string) (int, string) {
	command := exec.Command(binaries["cyclamenwinch"], args...)
	command.Env = append(os.Environ(),
		"CYCLAMENWINCH_PLATFORM="+f.platform,
		"CYCLAMENWINCH_OPS="+f.routers["router-a"].opsURL(),
		"CYCLAMENWINCH_CA="+f.authority,
		"CYCLAMENWINCH_TOKEN="+opsToken)
	process, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	process.Wait(hangTimeout)
	return process.ExitCode(), string(process.Out.Contents()) + string(process.Err.Contents())
}

// exampleManifest returns the manifest of the example, with the addresses of
// the stand-ins and a wait limit that no request reaches.
func (f *fleet) exampleManifest() *manifest.Manifest {
	data, err := os.ReadFile("../../examples/nile-perch/manifest.json")
	Expect(err).NotTo(HaveOccurred())
	m, err := submit.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	for i := range m.Endpoints {
		m.Endpoints[i].URL = f.runners[m.Endpoints[i].Name]
	}
	for i := range m.Accounts {
		m.Accounts[i].MaxWaitMillis = 1000 * generousSeconds
	}
	return m
}

func (f *fleet) write(name string, v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(f.dir, name)
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

// setFaults replaces the set of active faults of a stand-in.
func setFaults(url, faults string) {
	req, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// executions returns, for each key, how often the order runner executed it.
func (f *fleet) executions() []int {
	resp, err := http.Get(f.runners["orders-1"] + "/counts")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	counts := map[string]int{}
	Expect(json.NewDecoder(resp.Body).Decode(&counts)).To(Succeed())
	var executions []int
	for _, n := range counts {
		executions = append(executions, n)
	}
	return executions
}

// runnerStats returns the counters of a model runner.
func runnerStats(url string) runner.Stats {
	resp, err := http.Get(url + "/stats")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var stats runner.Stats
	Expect(json.NewDecoder(resp.Body).Decode(&stats)).To(Succeed())
	return stats
}

// nextPort is the port before the next one that freeAddress tries. The range
// lies below the ephemeral ports, so that the system assigns none of them to an
// outgoing connection between the choice of a port and its use.
var nextPort = 10_000 + os.Getpid()*31%8_000

// freeAddress returns a loopback address where nothing listens.
func freeAddress() string {
	for range 1_000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	Fail("no port is free")
	return ""
}

func awaitListener(address string) {
	Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err
	}, hangTimeout, 20*time.Millisecond).Should(Succeed(), address)
}

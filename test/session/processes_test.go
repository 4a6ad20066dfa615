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
	// hang bounds waits that only a fault makes long.
	hang = 90 * time.Second
	// patient is for limits in settings and manifest that the session must
	// not meet on a slow machine, in seconds.
	patient = 60
)

// fleet is all processes of the session.
type fleet struct {
	dir      string
	manifest *manifest.Manifest
	platform string
	runners  map[string]string // stand-in -> URL
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

// binaries are the files of the programs.
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
	s.LeaseSeconds, s.AddressSeconds, s.StopSeconds = patient/4, 1, 10*patient
	s.ProgressMillis = 1000 * patient
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
	DeferCleanup(func() { process.Kill().Wait(hang) })
	return process
}

// awaitMembers waits until every router knows all others: before that, two
// routers may differ on who owns what.
func (f *fleet) awaitMembers() {
	for name, r := range f.routers {
		client, err := opsclient.New(opsclient.Options{Routers: []string{r.opsURL()}, Token: opsToken, CAFile: f.authority})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (int, error) {
			s, err := client.Status(context.Background())
			return len(s.Members), err
		}, hang, 50*time.Millisecond).Should(Equal(len(f.routers)), name)
	}
}

// tool runs the command line tool, waits and returns its exit code and
// output.
func (f *fleet) tool(args ...string) (int, string) {
	command := exec.Command(binaries["cyclamenwinch"], args...)
	command.Env = append(os.Environ(),
		"CYCLAMENWINCH_PLATFORM="+f.platform,
		"CYCLAMENWINCH_OPS="+f.routers["router-a"].opsURL(),
		"CYCLAMENWINCH_CA="+f.authority,
		"CYCLAMENWINCH_TOKEN="+opsToken)
	process, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	process.Wait(hang)
	return process.ExitCode(), string(process.Out.Contents()) + string(process.Err.Contents())
}

// exampleManifest is the example's manifest with the session's addresses.
func (f *fleet) exampleManifest() *manifest.Manifest {
	data, err := os.ReadFile("../../examples/nile-perch/manifest.json")
	Expect(err).NotTo(HaveOccurred())
	m, err := submit.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	for i := range m.Endpoints {
		m.Endpoints[i].URL = f.runners[m.Endpoints[i].Name]
	}
	for i := range m.Accounts {
		m.Accounts[i].MaxWaitMillis = 1000 * patient
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

// setFaults switches faults of a stand-in.
func setFaults(url, faults string) {
	req, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// executions returns how often the order runner executed each key.
func (f *fleet) executions() []int {
	resp, err := http.Get(f.runners["orders-1"] + "/counts")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	counts := map[string]int{}
	Expect(json.NewDecoder(resp.Body).Decode(&counts)).To(Succeed())
	var all []int
	for _, n := range counts {
		all = append(all, n)
	}
	return all
}

// runnerStats returns a model runner's own counts.
func runnerStats(url string) runner.Stats {
	resp, err := http.Get(url + "/stats")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var stats runner.Stats
	Expect(json.NewDecoder(resp.Body).Decode(&stats)).To(Succeed())
	return stats
}

// nextPort is where freeAddress looks on. The range lies below that of
// outgoing connections, so nobody is given a port between its choice and its
// use.
var nextPort = 10_000 + os.Getpid()*31%8_000

// freeAddress returns an address of loopback where nothing listens.
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
	}, hang, 20*time.Millisecond).Should(Succeed(), address)
}

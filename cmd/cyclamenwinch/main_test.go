package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command line")
}

const exampleManifest = "../../examples/nile-perch/manifest.json"

// fakeRouter serves the operations API of a router with a fixed membership view.
type fakeRouter struct {
	self     member.Router
	members  []member.Router
	manifest *manifest.Manifest
	events   *eventlog.Log
	server   *httptest.Server
	crashes  []route.Crash
}

func (f *fakeRouter) Crashes() []route.Crash { return f.crashes }
func (f *fakeRouter) Lift(uint64) bool {
	f.crashes = nil
	return true
}

func (f *fakeRouter) Self() member.Router               { return f.self }
func (f *fakeRouter) View() member.View                 { return member.NewView(f.members) }
func (f *fakeRouter) Manifest() *manifest.Manifest      { return f.manifest }
func (f *fakeRouter) RemoteUsage() map[string]fair.Cost { return nil }
func (f *fakeRouter) Generations() map[string]int64 {
	return map[string]int64{"router-a": f.manifest.Generation, "router-b": f.manifest.Generation}
}

// newFakeFleet starts the operations APIs of two routers that list each other as
// members.
func newFakeFleet() (*fakeRouter, *fakeRouter) {
	m, err := readManifest(exampleManifest)
	Expect(err).NotTo(HaveOccurred())
	m.Generation = 3
	routers := []*fakeRouter{}
	for _, r := range []member.Router{{Name: "router-a", Zone: "eg-north-1"}, {Name: "router-b", Zone: "eg-north-2"}} {
		f := &fakeRouter{self: r, manifest: m, events: eventlog.New(r.Name, 100)}
		f.server = httptest.NewServer(opsapi.New(opsapi.Options{
			Fleet: f, Events: f.events, Token: "t",
			OpenRequests: func() int { return 0 }, Quarantine: f,
			Usage: func() map[string]fair.Cost { return nil },
		}).Handler())
		DeferCleanup(f.server.Close)
		f.self.OpsURL = f.server.URL
		routers = append(routers, f)
	}
	for _, f := range routers {
		f.members = []member.Router{routers[0].self, routers[1].self}
	}
	return routers[0], routers[1]
}

// runTool runs a command line and returns its exit code, output and error output.
func runTool(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	exit := run(args, &out, &errs)
	return exit, out.String(), errs.String()
}

var _ = Describe("commands on manifests", func() {
	var platformURL string

	BeforeEach(func() {
		server := httptest.NewServer(objects.NewServer(1).Handler())
		DeferCleanup(server.Close)
		platformURL = server.URL
	})

	It("check accepts the example manifest and lists every fault of an invalid one", func() {
		exit, out, _ := runTool("check", exampleManifest)
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("The manifest is right."))

		file := filepath.Join(GinkgoT().TempDir(), "m.json")
		Expect(os.WriteFile(file, []byte(`{"accounts":[{"name":"a b","share":0}]}`), 0o600)).To(Succeed())
		exit, _, errs := runTool("check", file)
		Expect(exit).To(Equal(exitInvalid))
		Expect(errs).To(And(ContainSubstring("accounts[0].name"), ContainSubstring("accounts[0].share"), ContainSubstring("zones"), ContainSubstring("Next:")))
	})

	It("submit assigns the next generation and rejects a file that names another one", func() {
		exit, out, _ := runTool("submit", "--platform", platformURL, "--json", exampleManifest)
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(MatchJSON(`{"generation":1}`))

		m, err := readManifest(exampleManifest)
		Expect(err).NotTo(HaveOccurred())
		m.Generation = 7
		data, err := json.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "m.json")
		Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
		exit, _, errs := runTool("submit", "--platform", platformURL, "--json", file)
		Expect(exit).To(Equal(exitConflict))
		var p code.Problem
		Expect(json.Unmarshal([]byte(errs), &p)).To(Succeed())
		Expect(p.Code).To(Equal(int(code.Conflict)))
	})

	It("diff shows the changes that submitting the file would make", func() {
		exit, out, _ := runTool("diff", "--platform", platformURL, exampleManifest)
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(And(ContainSubstring("+ accounts/hurghada-hotels"), ContainSubstring("stored generation 0")))
		runTool("submit", "--platform", platformURL, exampleManifest)
		exit, out, _ = runTool("diff", "--platform", platformURL, "--exit-code", "--json", exampleManifest)
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(MatchJSON(`{"generation":1,"differences":[]}`))
		exit, out, _ = runTool("diff", "--platform", platformURL, "--exit-code", "../../examples/annex/manifest.json")
		Expect(exit).To(Equal(exitDifferences))
		Expect(out).To(ContainSubstring("- accounts/hurghada-hotels"))
	})

	It("submit reports a platform that does not respond", func() {
		exit, _, errs := runTool("submit", "--platform", "http://127.0.0.1:1", exampleManifest)
		Expect(exit).To(Equal(exitUnreachable))
		Expect(errs).To(ContainSubstring("5006 PlatformError"))
	})
})

var _ = Describe("commands on the fleet", func() {
	var (
		a, b *fakeRouter
		ops  []string
	)

	BeforeEach(func() {
		a, b = newFakeFleet()
		ops = []string{"--token", "t", "--ops", a.server.URL}
	})

	runOnFleet := func(args ...string) (int, string, string) { return runTool(append(args, ops...)...) }

	It("status shows both routers", func() {
		exit, out, _ := runOnFleet("status")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`router-a +eg-north-1 +3 +0 +serving`))
		Expect(out).To(MatchRegexp(`router-b +eg-north-2 +3 +0 +serving`))
		Expect(out).To(MatchRegexp(`hurghada-hotels +3`))
		Expect(out).To(MatchRegexp(`runner-1 +drafting +eg-north-1 +in`))
	})

	It("status and timeline work while one router is down, and name it", func() {
		a.events.Add(eventlog.Event{Kind: eventlog.RouterStarted})
		b.server.Close()
		exit, out, _ := runOnFleet("status")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`router-b +eg-north-2 +3 +\? +not reached`))
		exit, out, _ = runOnFleet("timeline")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(And(ContainSubstring("router_started"), ContainSubstring("missing: router-b")))
	})

	It("calls the next router when the first is down", func() {
		a.server.Close()
		exit, _, _ := runOnFleet("status", "--ops", b.server.URL)
		Expect(exit).To(Equal(exitOK))
	})

	It("reports that no router responds or that the credential is wrong", func() {
		exit, _, errs := runTool("status", "--token", "wrong", "--ops", a.server.URL)
		Expect(exit).To(Equal(exitUnauthorized))
		Expect(errs).To(ContainSubstring("5005 NotAuthorized"))
		a.server.Close()
		exit, _, errs = runOnFleet("status")
		Expect(exit).To(Equal(exitUnreachable))
		Expect(errs).To(ContainSubstring("5008 RouterUnreachable"))
	})

	It("wait returns at once if the generation is in force, or names the routers that lag", func() {
		exit, out, _ := runOnFleet("wait", "--generation", "3")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("in force at 2 routers"))
		exit, _, errs := runOnFleet("wait", "--generation", "4", "--seconds", "0")
		Expect(exit).To(Equal(exitNotInForce))
		Expect(errs).To(And(ContainSubstring("5009 NotInForce"), ContainSubstring("router-a (3) router-b (3)")))
		exit, _, errs = runOnFleet("wait", "--generation", "3", "--routers", "3", "--seconds", "0")
		Expect(exit).To(Equal(exitNotInForce))
		Expect(errs).To(ContainSubstring("2 of 3 routers are members"))
	})

	It("timeline merges and filters the events of all routers", func() {
		a.events.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: "1", Account: "sales-desk"})
		b.events.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: "2"})
		exit, out, _ := runOnFleet("timeline", "--json", "--account", "sales-desk", "--last", "1h")
		Expect(exit).To(Equal(exitOK))
		var line opsclient.Timeline
		Expect(json.Unmarshal([]byte(out), &line)).To(Succeed())
		Expect(line.Events).To(HaveLen(1))
		Expect(line.Events[0].Request).To(Equal("1"))
	})

	It("quarantine merges the lists of all routers and lifts a quarantine at all of them", func() {
		a.crashes = []route.Crash{{Fingerprint: 10, Endpoint: "runner-1"}}
		b.crashes = []route.Crash{{Fingerprint: 10, Endpoint: "runner-1"}, {Fingerprint: 10, Endpoint: "runner-2"}}
		exit, out, _ := runOnFleet("quarantine")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`000000000000000a +refused +runner-1 runner-2`))
		exit, _, _ = runOnFleet("quarantine", "--lift", "wrong")
		Expect(exit).To(Equal(exitInvalid))
		Expect(b.crashes).To(HaveLen(2))
		exit, out, _ = runOnFleet("quarantine", "--lift", "000000000000000a")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("Lifted at 2 routers"))
		Expect(a.crashes).To(BeEmpty())
		Expect(b.crashes).To(BeEmpty())
	})

	It("explain describes a refusal and the next step", func() {
		a.events.Add(eventlog.Event{Kind: eventlog.ManifestInForce, Detail: "generation=3"})
		a.events.Add(eventlog.Event{Kind: eventlog.RequestRefused, Request: "7", Account: "sales-desk", Code: int(code.QueueFull)})
		exit, out, _ := runOnFleet("explain", "7")
		Expect(exit).To(Equal(exitOK))
		Expect(out).To(And(
			ContainSubstring("sales-desk"),
			ContainSubstring("refused before any endpoint ran it, with 2001 QueueFull"),
			ContainSubstring("generation=3"),
		))
		exit, _, errs := runOnFleet("explain", "8")
		Expect(exit).To(Equal(exitNotFound))
		Expect(errs).To(ContainSubstring("5010 NoEvents"))
	})

	It("explain describes attempts at several endpoints", func() {
		for _, e := range []eventlog.Event{
			{Kind: eventlog.RequestGranted, Endpoint: "runner-1"},
			{Kind: eventlog.RequestEnded, Endpoint: "runner-1", Code: int(code.Truncated)},
			{Kind: eventlog.RequestRetried, Detail: "3002 Truncated"},
			{Kind: eventlog.RequestGranted, Endpoint: "runner-2"},
			{Kind: eventlog.RequestEnded, Endpoint: "runner-2", Detail: "tokens=4"},
		} {
			e.Request, e.Account = "9", "sales-desk"
			a.events.Add(e)
		}
		_, out, _ := runOnFleet("explain", "9")
		Expect(out).To(And(
			ContainSubstring("completed by runner-2 after 2 attempts"),
			ContainSubstring("runner-1 in its own zone eg-north-1"),
			ContainSubstring("runner-2 in zone eg-north-2"),
		))
	})
})

var _ = Describe("the command line", func() {
	DescribeTable("distinguishes usage errors from other failures",
		func(exit int, args ...string) {
			got, _, _ := runTool(args...)
			Expect(got).To(Equal(exit))
		},
		Entry("help", exitOK, "--help"),
		Entry("help of a command", exitOK, "orders", "--help"),
		Entry("version", exitOK, "version"),
		Entry("completion", exitOK, "completion"),
		Entry("schema", exitOK, "schema", "manifest"),
		Entry("no command", exitUsage),
		Entry("an unknown command", exitUsage, "frobnicate"),
		Entry("an unknown option", exitUsage, "check", "--force", exampleManifest),
		Entry("a missing credential", exitUsage, "status", "--ops", "http://127.0.0.1:1"),
		Entry("an unknown schema", exitInvalid, "schema", "other"),
		Entry("contradicting options", exitInvalid, "orders", "--ops", "http://127.0.0.1:1", "--token", "t", "--unknown", "--key", "k"),
		Entry("an invalid time", exitInvalid, "timeline", "--ops", "http://127.0.0.1:1", "--token", "t", "--from", "today"),
	)
})

package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

// TestPage checks that docs/SETTINGS.md matches the table of settings; -update
// rewrites it.
func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "SETTINGS", []byte(settings.Markdown()))
}

// validSettings returns settings without faults.
func validSettings() settings.Settings {
	s := settings.Default()
	s.Name, s.Zone, s.Region = "router-a", "zone-1", "region"
	s.CallerListen, s.PeerListen, s.OpsListen = "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82"
	s.CallerTLS.Mode, s.PeerTLS.Mode, s.OpsTLS.Mode = settings.Plain, settings.Plain, settings.Plain
	s.PlatformURL, s.OpsToken = "http://10.0.0.9:80", "secret"
	return s
}

func parse(s settings.Settings) []manifest.Fault {
	data, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	_, faults := settings.Parse(data)
	return faults
}

var _ = Describe("Parse", func() {
	It("reports no fault in valid settings", func() {
		Expect(parse(validSettings())).To(BeEmpty())
	})

	It("uses the defaults for absent settings", func() {
		s, _ := settings.Parse([]byte(`{}`))
		Expect(s).To(Equal(settings.Default()))
	})

	It("reports all faults together", func() {
		_, faults := settings.Parse([]byte(`{"nmae":"a","lease_seconds":"4","verbosity":9,"peer_tls":{"mode":"maybe","cret":1}}`))
		paths := []string{}
		for _, f := range faults {
			paths = append(paths, f.Path)
		}
		Expect(paths).To(ContainElements("nmae", "lease_seconds", "verbosity", "peer_tls.mode", "peer_tls.cret",
			"name", "zone", "region", "caller_listen", "peer_listen", "ops_listen", "ops_token", "platform_url"))
	})

	It("reports the offset of a syntax error", func() {
		_, faults := settings.Parse([]byte(`{"name":}`))
		Expect(faults[0].String()).To(ContainSubstring("at byte 9"))
	})

	DescribeTable("rejects",
		func(change func(*settings.Settings), path string) {
			s := validSettings()
			change(&s)
			faults := parse(s)
			Expect(faults).To(HaveLen(1))
			Expect(faults[0].Path).To(Equal(path))
			Expect(faults[0].Want).NotTo(BeEmpty())
		},
		Entry("a listen address with a host name", func(s *settings.Settings) { s.CallerListen = "localhost:80" }, "caller_listen"),
		Entry("port 0", func(s *settings.Settings) { s.PeerListen = "10.0.0.1:0" }, "peer_listen"),
		Entry("an unspecified address as advertised address", func(s *settings.Settings) { s.OpsAdvertise = "0.0.0.0:80" }, "ops_advertise"),
		Entry("all interfaces without an advertised address", func(s *settings.Settings) { s.CallerListen = "0.0.0.0:80" }, "caller_advertise"),
		Entry("an address used twice", func(s *settings.Settings) { s.PeerListen = s.OpsListen }, "peer_listen"),
		Entry("a platform URL without a scheme", func(s *settings.Settings) { s.PlatformURL = "10.0.0.9:80" }, "platform_url"),
		Entry("a lease of too few heartbeat intervals", func(s *settings.Settings) { s.LeaseSeconds, s.HeartbeatMillis = 1, 300 }, "lease_seconds"),
		Entry("a stop no longer than the lease and the address lifetime", func(s *settings.Settings) { s.StopSeconds, s.AddressSeconds = 5, 5 }, "stop_seconds"),
		Entry("TLS without files", func(s *settings.Settings) { s.CallerTLS.Mode = settings.TLS }, "caller_tls"),
		Entry("mutual TLS without files", func(s *settings.Settings) { s.PeerTLS.Mode = settings.Mutual }, "peer_tls"),
		Entry("an empty mode", func(s *settings.Settings) { s.OpsTLS.Mode = "" }, "ops_tls.mode"),
		Entry("a verbosity out of range", func(s *settings.Settings) { s.Verbosity = 5 }, "verbosity"),
		Entry("no name", func(s *settings.Settings) { s.Name = "" }, "name"),
	)
})

var _ = Describe("Load", func() {
	It("reports missing PEM files together with all other faults", func() {
		s := validSettings()
		s.Name = ""
		s.CallerTLS = settings.ServerTLS{Mode: settings.TLS, CertFile: "missing.pem", KeyFile: "missing.key"}
		data, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "s.json")
		Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
		_, err = settings.Load(file)
		Expect(err).To(MatchError(And(ContainSubstring("caller_tls.cert_file"), ContainSubstring("name"))))
		Expect(code.As(err).Code).To(Equal(code.BadSettings))
	})

	It("accepts the examples", func() {
		files, err := filepath.Glob("../../examples/*/router-*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := settings.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})

// FuzzParse checks that no input makes Parse panic, and that settings without
// faults are unchanged after a round trip through JSON.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../../examples/*/router-*.json")
	if err != nil || len(files) == 0 {
		f.Fatal("no examples", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"peer_tls":null,"caller_listen":"[::1]:1","verbosity":1e2}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := settings.Parse(data)
		if len(faults) > 0 {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if back, faults := settings.Parse(again); len(faults) > 0 || back != s {
			t.Fatalf("%v after a round trip of %s", faults, again)
		}
	})
}

package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/thejerf/suture/v4"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

// hang bounds waits that only a fault makes long.
const hang = 30 * time.Second

func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	return l
}

// writePair writes a self-signed certificate with the serial number.
func writePair(cert, key string, serial int64) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
}

var _ = Describe("a kept listener", func() {
	It("ends Accept when closed and serves the next run", func() {
		l := listenLoopback()
		first := keep(l)
		ended := make(chan error, 1)
		go func() {
			_, err := first.Accept()
			ended <- err
		}()
		Expect(first.Close()).To(Succeed())
		Eventually(ended, hang).Should(Receive(MatchError(net.ErrClosed)))

		second := keep(l)
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		accepted, err := second.Accept()
		Expect(err).NotTo(HaveOccurred())
		accepted.Close()
	})
})

var _ = Describe("a web server", func() {
	plain := settings.ServerTLS{Mode: settings.Plain}

	It("lets an open request end before it is down, and is not restarted", func() {
		begun, release := make(chan struct{}), make(chan struct{})
		w := newWebServer("test", plain, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			<-release
		}))
		l := listenLoopback()
		served := make(chan error, 1)
		go func() { served <- w.serve(context.Background(), keep(l)) }()
		answered := make(chan error, 1)
		go func() {
			resp, err := http.Get("http://" + l.Addr().String())
			if err == nil {
				resp.Body.Close()
			}
			answered <- err
		}()
		Eventually(begun, hang).Should(BeClosed())
		down := make(chan error, 1)
		go func() { down <- w.shutDown(context.Background(), l) }()
		Eventually(served, hang).Should(Receive(MatchError(suture.ErrDoNotRestart)))
		Expect(down).NotTo(Receive())
		close(release)
		Eventually(answered, hang).Should(Receive(BeNil()))
		Eventually(down, hang).Should(Receive(BeNil()))
		Expect(w.serve(context.Background(), keep(l))).To(MatchError(suture.ErrDoNotRestart))
	})

	It("ends with its context and serves again", func() {
		w := newWebServer("test", plain, http.NotFoundHandler())
		l := listenLoopback()
		for range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- w.serve(ctx, keep(l)) }()
			resp, err := http.Get("http://" + l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			cancel()
			Eventually(served, hang).Should(Receive(MatchError(http.ErrServerClosed)))
		}
	})
})

var _ = Describe("a certificate", func() {
	It("is read again when its files change, and kept while they are broken", func() {
		dir := GinkgoT().TempDir()
		cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
		writePair(cert, key, 1)
		c, err := newCertificate(cert, key)
		Expect(err).NotTo(HaveOccurred())
		serial := func() int64 {
			pair, err := c.get(&tls.ClientHelloInfo{})
			Expect(err).NotTo(HaveOccurred())
			return pair.Leaf.SerialNumber.Int64()
		}
		touch := func(at time.Time) {
			Expect(os.Chtimes(cert, at, at)).To(Succeed())
			Expect(os.Chtimes(key, at, at)).To(Succeed())
		}
		Expect(serial()).To(Equal(int64(1)))
		Expect(os.WriteFile(cert, []byte("broken"), 0o600)).To(Succeed())
		touch(time.Unix(1000, 0))
		Expect(serial()).To(Equal(int64(1)))
		writePair(cert, key, 2)
		touch(time.Unix(2000, 0))
		Expect(serial()).To(Equal(int64(2)))
	})
})

// exampleDaemon returns a daemon that is not running.
func exampleDaemon() *Daemon {
	s, err := settings.Load("../../examples/nile-perch/router-a.json")
	Expect(err).NotTo(HaveOccurred())
	d, err := New(s)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.pools.Close)
	return d
}

var _ = Describe("supervision", func() {
	It("restarts a part that panics, notes it and counts it", func() {
		d := exampleDaemon()
		again := make(chan struct{})
		runs := 0
		root := suture.New("test", suture.Spec{EventHook: d.supervised, FailureBackoff: time.Millisecond})
		root.Add(&part{name: "fragile", serve: func(ctx context.Context) error {
			runs++
			if runs == 1 {
				panic("broken")
			}
			close(again)
			<-ctx.Done()
			return ctx.Err()
		}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := root.ServeBackground(ctx)
		Eventually(again, hang).Should(BeClosed())
		cancel()
		Eventually(ended, hang).Should(Receive())
		events := d.events.Select(eventlog.Filter{Kind: eventlog.PartRestarted}).Events
		Expect(events).To(HaveLen(1))
		Expect(events[0].Detail).To(And(ContainSubstring("fragile"), ContainSubstring("broken")))
	})
})

var _ = Describe("Reload", func() {
	It("takes a new verbosity and refuses anything else", func() {
		d := exampleDaemon()
		next := d.current()
		next.Verbosity = 2
		Expect(d.Reload(next)).To(Succeed())
		Expect(d.current().Verbosity).To(Equal(2))
		Expect(SetVerbosity(0)).To(Succeed())
		next.Name = "another"
		Expect(code.As(d.Reload(next)).Code).To(Equal(code.BadSettings))
		Expect(d.current().Name).To(Equal("router-a"))
	})
})

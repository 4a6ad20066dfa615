package daemon

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

// hangTimeout is the time limit of waits that are short unless something hangs.
const hangTimeout = 30 * time.Second

func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	return l
}

// writeCertificate writes a self-signed certificate with the given serial
// number, and its key, to the two files.
func writeCertificate(cert, key string, serial int64) {
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

var _ = Describe("a reusable listener", func() {
	It("ends Accept when closed and accepts connections again in the next run", func() {
		l := listenLoopback()
		first := reusable(l)
		ended := make(chan error, 1)
		go func() {
			_, err := first.Accept()
			ended <- err
		}()
		Expect(first.Close()).To(Succeed())
		Eventually(ended, hangTimeout).Should(Receive(MatchError(net.ErrClosed)))

		second := reusable(l)
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

	It("waits for an open request on shutdown and is not restarted", func() {
		started, release := make(chan struct{}), make(chan struct{})
		w := newWebServer("test", plain, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
		}))
		l := listenLoopback()
		served := make(chan error, 1)
		go func() { served <- w.serve(context.Background(), reusable(l)) }()
		answered := make(chan error, 1)
		go func() {
			resp, err := http.Get("http://" + l.Addr().String())
			if err == nil {
				resp.Body.Close()
			}
			answered <- err
		}()
		Eventually(started, hangTimeout).Should(BeClosed())
		down := make(chan error, 1)
		go func() { down <- w.shutDown(context.Background(), l) }()
		Eventually(served, hangTimeout).Should(Receive(MatchError(suture.ErrDoNotRestart)))
		Expect(down).NotTo(Receive())
		close(release)
		Eventually(answered, hangTimeout).Should(Receive(BeNil()))
		Eventually(down, hangTimeout).Should(Receive(BeNil()))
		Expect(w.serve(context.Background(), reusable(l))).To(MatchError(suture.ErrDoNotRestart))
	})

	It("does not reset the connection of a client that still sends when it is refused", func() {
		w := newWebServer("test", plain, http.NotFoundHandler())
		l := listenLoopback()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.serve(ctx, reusable(l))
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		half := strings.Repeat("x", 32<<10)
		_, err = fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half)
		Expect(err).NotTo(HaveOccurred())
		r := bufio.NewReader(client)
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		_, err = io.WriteString(client, half)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, r)
		Expect(err).NotTo(HaveOccurred())
	})

	It("stops when its context is canceled and can be started again", func() {
		w := newWebServer("test", plain, http.NotFoundHandler())
		l := listenLoopback()
		for range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- w.serve(ctx, reusable(l)) }()
			resp, err := http.Get("http://" + l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			cancel()
			Eventually(served, hangTimeout).Should(Receive(MatchError(http.ErrServerClosed)))
		}
	})
})

var _ = Describe("a certificate reloader", func() {
	It("reloads changed files and keeps the previous certificate while they are invalid", func() {
		dir := GinkgoT().TempDir()
		cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
		writeCertificate(cert, key, 1)
		c, err := newCertReloader(cert, key)
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
		writeCertificate(cert, key, 2)
		touch(time.Unix(2000, 0))
		Expect(serial()).To(Equal(int64(2)))
	})
})

// newDaemon returns a daemon with an example's settings that is not running.
func newDaemon() *Daemon {
	s, err := settings.Load("../../examples/nile-perch/router-a.json")
	Expect(err).NotTo(HaveOccurred())
	d, err := New(s)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.pools.Close)
	return d
}

var _ = Describe("supervision", func() {
	It("restarts a part that panics and records the event", func() {
		d := newDaemon()
		restarted := make(chan struct{})
		runs := 0
		root := suture.New("test", suture.Spec{EventHook: d.handleSupervisorEvent, FailureBackoff: time.Millisecond})
		root.Add(&part{name: "fragile", serve: func(ctx context.Context) error {
			runs++
			if runs == 1 {
				panic("broken")
			}
			close(restarted)
			<-ctx.Done()
			return ctx.Err()
		}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := root.ServeBackground(ctx)
		Eventually(restarted, hangTimeout).Should(BeClosed())
		cancel()
		Eventually(ended, hangTimeout).Should(Receive())
		events := d.events.Select(eventlog.Filter{Kind: eventlog.PartRestarted}).Events
		Expect(events).To(HaveLen(1))
		Expect(events[0].Detail).To(And(ContainSubstring("fragile"), ContainSubstring("broken")))
	})
})

var _ = Describe("Reload", func() {
	It("applies a new verbosity and rejects any other change", func() {
		d := newDaemon()
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

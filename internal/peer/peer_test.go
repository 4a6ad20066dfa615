package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "Peer")
}

// answerer answers heartbeats.
type answerer struct {
	peerpb.UnimplementedFleetServer
}

func (answerer) Heartbeat(context.Context, *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	return &peerpb.HeartbeatMessage{Beat: 7}, nil
}

// serve runs a peer server and returns its router.
func serve(creds credentials.TransportCredentials) member.Router {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		peer.Serve(ctx, l, creds, peer.Handlers{Fleet: answerer{}})
	}()
	DeferCleanup(func() { cancel(); <-done })
	return member.Router{Name: "r", PeerAddr: l.Addr().String()}
}

// call sends one heartbeat.
func call(d *peer.Dialer, r member.Router, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := d.Conn(r)
	if err != nil {
		return err
	}
	_, err = peerpb.NewFleetClient(conn).Heartbeat(ctx, &peerpb.HeartbeatMessage{})
	return err
}

// authority is a CA of a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority() authority {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, _ := x509.ParseCertificate(der)
	return authority{key, cert}
}

// issue writes a new certificate of the CA into dir.
func (a authority) issue(dir string) settings.PeerTLS {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, _ := x509.MarshalECPrivateKey(key)
	t := settings.PeerTLS{
		Mode: settings.Mutual, CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	write(t.CertFile, "CERTIFICATE", der)
	write(t.KeyFile, "EC PRIVATE KEY", keyDER)
	write(t.CAFile, "CERTIFICATE", a.cert.Raw)
	return t
}

func write(file, kind string, der []byte) {
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

var _ = Describe("mutual TLS", func() {
	It("refuses a peer of another CA, and takes a new CA without a restart", func() {
		first, second := newAuthority(), newAuthority()
		serverDir, clientDir := GinkgoT().TempDir(), GinkgoT().TempDir()
		serverCreds, err := peer.Credentials(first.issue(serverDir))
		Expect(err).NotTo(HaveOccurred())
		clientCreds, err := peer.Credentials(first.issue(clientDir))
		Expect(err).NotTo(HaveOccurred())
		r := serve(serverCreds)

		d := peer.NewDialer(clientCreds)
		defer d.Close()
		Expect(call(d, r, 10*time.Second)).To(Succeed())

		second.issue(clientDir)
		d.Forget(r)
		Expect(call(d, r, 10*time.Second)).NotTo(Succeed())

		second.issue(serverDir)
		d.Forget(r)
		Expect(call(d, r, 10*time.Second)).To(Succeed())
	})

	It("refuses a peer without a certificate", func() {
		creds, err := peer.Credentials(newAuthority().issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		Expect(call(d, serve(creds), 10*time.Second)).NotTo(Succeed())
	})
})

// silentConn swallows what is written once silent, as a path does that has
// lost track of the connection.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

var _ = Describe("the dialer", func() {
	It("opens a new connection after calls on the old one went unanswered", func() {
		var mu sync.Mutex
		var silences []*atomic.Bool
		d := peer.NewDialerWith(insecure.NewCredentials(), func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			mu.Lock()
			defer mu.Unlock()
			silences = append(silences, &atomic.Bool{})
			return silentConn{conn, silences[len(silences)-1]}, err
		})
		defer d.Close()
		r := serve(insecure.NewCredentials())
		Expect(call(d, r, 10*time.Second)).To(Succeed())
		mu.Lock()
		silences[0].Store(true)
		mu.Unlock()
		for range 3 {
			Expect(call(d, r, 50*time.Millisecond)).NotTo(Succeed())
			d.Silent(r)
		}
		Expect(call(d, r, 10*time.Second)).To(Succeed())
	})

	It("knows a refused connection from one that runs out of time", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		r := member.Router{PeerAddr: l.Addr().String()}
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		Expect(call(d, r, 100*time.Millisecond)).NotTo(Succeed())
		Expect(d.Refused(r)).To(BeFalse())
		d.Forget(r)
		l.Close()
		Expect(call(d, r, 10*time.Second)).NotTo(Succeed())
		Expect(d.Refused(r)).To(BeTrue())
	})
})

// slowAnswerer answers once it is let go.
type slowAnswerer struct {
	peerpb.UnimplementedFleetServer
	begun, let chan struct{}
}

func (a slowAnswerer) Heartbeat(context.Context, *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	close(a.begun)
	<-a.let
	return &peerpb.HeartbeatMessage{}, nil
}

var _ = Describe("the server", func() {
	It("lets a call in progress end when it stops", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		slow := slowAnswerer{begun: make(chan struct{}), let: make(chan struct{})}
		ended := make(chan error, 1)
		go func() { ended <- peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{Fleet: slow}) }()
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		answered := make(chan error, 1)
		go func() { answered <- call(d, member.Router{PeerAddr: l.Addr().String()}, 10*time.Second) }()
		<-slow.begun
		cancel()
		close(slow.let)
		Eventually(answered).Should(Receive(BeNil()))
		Eventually(ended).Should(Receive())
	})
})

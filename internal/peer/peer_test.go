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
	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "Peer")
}

// heartbeatServer replies to every heartbeat at once.
type heartbeatServer struct {
	peerpb.UnimplementedFleetServer
}

func (heartbeatServer) Heartbeat(context.Context, *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	return &peerpb.HeartbeatMessage{Beat: 7}, nil
}

// serve starts a peer server and returns a router with its address.
func serve(creds credentials.TransportCredentials) member.Router {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		peer.Serve(ctx, l, creds, peer.Handlers{Fleet: heartbeatServer{}}, connlimit.Limits{})
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

// testCA is a certificate authority for tests.
type testCA struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA() testCA {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, _ := x509.ParseCertificate(der)
	return testCA{key, cert}
}

// issue writes a new certificate, its key and the CA's certificate to dir.
func (ca testCA) issue(dir string) settings.PeerTLS {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, _ := x509.MarshalECPrivateKey(key)
	t := settings.PeerTLS{
		Mode: settings.Mutual, CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	writePEM(t.CertFile, "CERTIFICATE", der)
	writePEM(t.KeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t.CAFile, "CERTIFICATE", ca.cert.Raw)
	return t
}

func writePEM(file, kind string, der []byte) {
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

var _ = Describe("mutual TLS", func() {
	It("rejects a peer of another CA and picks up a new CA without a restart", func() {
		first, second := newTestCA(), newTestCA()
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
		d.CloseConn(r)
		Expect(call(d, r, 10*time.Second)).NotTo(Succeed())

		second.issue(serverDir)
		d.CloseConn(r)
		Expect(call(d, r, 10*time.Second)).To(Succeed())
	})

	It("rejects a peer without a certificate", func() {
		creds, err := peer.Credentials(newTestCA().issue(GinkgoT().TempDir()))
		Expect(err).NotTo(HaveOccurred())
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		Expect(call(d, serve(creds), 10*time.Second)).NotTo(Succeed())
	})
})

// blackholeConn discards writes while dropWrites is set, like a network path
// that has dropped its state of the connection.
type blackholeConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

var _ = Describe("the dialer", func() {
	It("opens a new connection after calls on the old one timed out", func() {
		var mu sync.Mutex
		var dropWrites []*atomic.Bool
		d := peer.NewDialerFunc(insecure.NewCredentials(), func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			mu.Lock()
			defer mu.Unlock()
			dropWrites = append(dropWrites, &atomic.Bool{})
			return blackholeConn{conn, dropWrites[len(dropWrites)-1]}, err
		})
		defer d.Close()
		r := serve(insecure.NewCredentials())
		Expect(call(d, r, 10*time.Second)).To(Succeed())
		mu.Lock()
		dropWrites[0].Store(true)
		mu.Unlock()
		for range 3 {
			Expect(call(d, r, 50*time.Millisecond)).NotTo(Succeed())
			d.RecordTimeout(r)
		}
		Expect(call(d, r, 10*time.Second)).To(Succeed())
	})

	It("distinguishes a refused connection from one that times out", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		r := member.Router{PeerAddr: l.Addr().String()}
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		Expect(call(d, r, 100*time.Millisecond)).NotTo(Succeed())
		Expect(d.ConnectionRefused(r)).To(BeFalse())
		d.CloseConn(r)
		l.Close()
		Expect(call(d, r, 10*time.Second)).NotTo(Succeed())
		Expect(d.ConnectionRefused(r)).To(BeTrue())
	})
})

// blockingServer closes started at a heartbeat and replies once release is
// closed.
type blockingServer struct {
	peerpb.UnimplementedFleetServer
	started, release chan struct{}
}

func (s blockingServer) Heartbeat(context.Context, *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	close(s.started)
	<-s.release
	return &peerpb.HeartbeatMessage{}, nil
}

var _ = Describe("the server", func() {
	It("lets a call in progress finish when it stops", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		blocking := blockingServer{started: make(chan struct{}), release: make(chan struct{})}
		served := make(chan error, 1)
		go func() {
			served <- peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{Fleet: blocking}, connlimit.Limits{})
		}()
		d := peer.NewDialer(insecure.NewCredentials())
		defer d.Close()
		replied := make(chan error, 1)
		go func() { replied <- call(d, member.Router{PeerAddr: l.Addr().String()}, 10*time.Second) }()
		<-blocking.started
		cancel()
		close(blocking.release)
		Eventually(replied).Should(Receive(BeNil()))
		Eventually(served).Should(Receive())
	})
})

package session_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// authority is the certificate authority of the routers.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir string) *authority {
	a := &authority{dir: dir}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert, a.key = a.sign(a.cert, "ca")
	return a
}

// sign creates a key and a certificate for it, signed by the authority or, for
// the authority itself, by the new key, and writes them to NAME.pem and
// NAME.key.
func (a *authority) sign(template *x509.Certificate, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template.NotAfter = time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if signer == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return cert, key
}

// issue writes a certificate for the loopback address that is valid for servers
// and clients, and returns the names of its files.
func (a *authority) issue(name string, serial int64) (cert, key string) {
	a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, name)
	return filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key")
}

func (a *authority) write(file, kind string, der []byte) {
	Expect(os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// startTLSRouter starts a router that accepts no connection without TLS.
func (f *fleet) startTLSRouter(a *authority, name, zone string) {
	cert, key := a.issue(name, 2)
	s := f.plainSettings(name, zone)
	s.CallerTLS = settings.ServerTLS{Mode: settings.TLS, CertFile: cert, KeyFile: key}
	s.OpsTLS = s.CallerTLS
	s.PeerTLS = settings.PeerTLS{Mode: settings.Mutual, CertFile: cert, KeyFile: key, CAFile: f.authority}
	f.startRouter(s)
}

var _ = Describe("a fleet with TLS on every listener", Ordered, func() {
	var (
		f *fleet
		a *authority
	)

	BeforeAll(func() {
		f = startFleet()
		a = newAuthority(f.dir)
		f.authority = filepath.Join(f.dir, "ca.pem")
		f.startTLSRouter(a, "router-a", "eg-north-1")
		f.startTLSRouter(a, "router-b", "eg-north-2")
		exit, out := f.runCLI("submit", f.write("manifest.json", f.manifest))
		Expect(exit).To(BeZero(), out)
	})

	// connect returns the serial number of the certificate that a listener
	// presents, and an error of the handshake or of the first read.
	connect := func(address string, certs ...tls.Certificate) (int64, error) {
		conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: a.pool(), Certificates: certs, NextProtos: []string{"h2"}})
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		_, err = io.ReadFull(conn, make([]byte, 1)) // start of the SETTINGS frame of the server
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), err
	}

	It("forms, applies a manifest and serves callers and operators", func() {
		exit, out := f.runCLI("wait", "--generation", "1", "--routers", "2", "--seconds", "60")
		Expect(exit).To(BeZero(), out)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.pool()}, ForceAttemptHTTP2: true}}
		r := chat(hotelKey, true, 2)
		req, err := http.NewRequest(http.MethodPost, f.routers["router-b"].callerURL()+r.Path, bytes.NewReader(r.Body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+r.APIKey)
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.ProtoMajor).To(Equal(2))
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("rejects peers without a certificate of the authority", func() {
		peerAddress := f.routers["router-a"].settings.PeerListen
		clientCert, err := tls.LoadX509KeyPair(a.issue("tester", 3))
		Expect(err).NotTo(HaveOccurred())
		_, err = connect(peerAddress, clientCert)
		Expect(err).NotTo(HaveOccurred())
		_, err = connect(peerAddress)
		Expect(err).To(MatchError(ContainSubstring("certificate")))
	})

	It("applies a new certificate and a new verbosity without a restart", func() {
		r := f.routers["router-a"]
		Expect(connect(r.settings.CallerListen)).To(Equal(int64(2)))
		a.issue("router-a", 4)
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(r.settings.CallerTLS.CertFile, later, later)).To(Succeed())
		for _, address := range []string{r.settings.CallerListen, r.settings.OpsListen, r.settings.PeerListen} {
			clientCert, err := tls.LoadX509KeyPair(r.settings.CallerTLS.CertFile, r.settings.CallerTLS.KeyFile)
			Expect(err).NotTo(HaveOccurred())
			Expect(connect(address, clientCert)).To(Equal(int64(4)), address)
		}
		r.settings.Verbosity = 2
		f.write("router-a.json", r.settings)
		r.process.Signal(syscall.SIGHUP)
		Eventually(r.process.Err, hangTimeout).Should(gbytes.Say(`Settings reloaded" verbosity=2`))
	})
})

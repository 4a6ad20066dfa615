package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// CheckFiles reads the PEM files that the settings name and returns a fault for
// every invalid one.
func (s Settings) CheckFiles() []manifest.Fault {
	var faults []manifest.Fault
	add := func(path, file, problem string) {
		faults = append(faults, manifest.Fault{Path: path, Value: file, Want: problem})
	}
	pair := func(path, cert, key string) {
		if problem := checkPair(cert, key, time.Now()); problem != "" {
			add(path+".cert_file", cert, problem)
		}
	}
	if s.CallerTLS.Mode == TLS && s.CallerTLS.complete() {
		pair("caller_tls", s.CallerTLS.CertFile, s.CallerTLS.KeyFile)
	}
	if s.OpsTLS.Mode == TLS && s.OpsTLS.complete() {
		pair("ops_tls", s.OpsTLS.CertFile, s.OpsTLS.KeyFile)
	}
	if t := s.PeerTLS; t.Mode == Mutual && t.CAFile != "" {
		pair("peer_tls", t.CertFile, t.KeyFile)
		if problem := checkCAFile(t.CAFile); problem != "" {
			add("peer_tls.ca_file", t.CAFile, problem)
		}
	}
	return faults
}

// checkPair returns a description of the certificate that is required, with the
// reason why the one in the file is invalid, or "" if it is valid.
func checkPair(certFile, keyFile string, now time.Time) string {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return "a certificate that matches key_file (" + err.Error() + ")"
	}
	if pair.Leaf != nil && now.After(pair.Leaf.NotAfter) {
		return "a certificate that has not expired (this one expired on " + pair.Leaf.NotAfter.UTC().Format(time.DateOnly) + ")"
	}
	return ""
}

func checkCAFile(file string) string {
	pem, err := os.ReadFile(file)
	if err != nil {
		return "a readable file (" + err.Error() + ")"
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		return "a PEM file with a certificate"
	}
	return ""
}

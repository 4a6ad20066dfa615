package daemon

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// certificate is a pair of PEM files that is read again when one of them
// changes. While the new pair can't be read the old one stays in use.
type certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	pair    *tls.Certificate
	changed [2]time.Time // modification times of the files that pair was read from
}

func newCertificate(certFile, keyFile string) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c, c.read()
}

// get returns the pair for a handshake.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.modified() != c.changed {
		if err := c.read(); err != nil {
			klog.ErrorS(err, "daemon: Changed certificate not read, the old one stays in use", "file", c.certFile)
		}
	}
	return c.pair, nil
}

// read reads the pair. The caller holds mu.
func (c *certificate) read() error {
	changed := c.modified()
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	c.pair, c.changed = &pair, changed
	return nil
}

// modified returns the files' modification times; a zero time for a missing
// file.
func (c *certificate) modified() [2]time.Time {
	var times [2]time.Time
	for i, file := range []string{c.certFile, c.keyFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

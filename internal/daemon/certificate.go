package daemon

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// certReloader serves a certificate and key from two PEM files and reloads them
// when one of the files changes. If the changed files can't be loaded, the
// previous pair stays in use.
type certReloader struct {
	certFile, keyFile string

	mu             sync.Mutex
	pair           *tls.Certificate
	loadedModTimes [2]time.Time // modification times of the files when pair was loaded
}

func newCertReloader(certFile, keyFile string) (*certReloader, error) {
	c := &certReloader{certFile: certFile, keyFile: keyFile}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c, c.load()
}

// get returns the current pair; it implements tls.Config.GetCertificate.
func (c *certReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.modTimes() != c.loadedModTimes {
		if err := c.load(); err != nil {
			klog.ErrorS(err, "daemon: Failed to reload the changed certificate; the previous one stays in use", "file", c.certFile)
		}
	}
	return c.pair, nil
}

// load reads the pair from its files. The caller must hold mu.
func (c *certReloader) load() error {
	modTimes := c.modTimes()
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	c.pair, c.loadedModTimes = &pair, modTimes
	return nil
}

// modTimes returns the modification times of both files, or the zero time for
// a file that can't be examined.
func (c *certReloader) modTimes() [2]time.Time {
	var times [2]time.Time
	for i, file := range []string{c.certFile, c.keyFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

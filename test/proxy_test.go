package test_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
)

// newProxy starts a proxy that is closed at the end of the spec.
func newProxy(to string) *netproxy.Proxy {
	GinkgoHelper()
	p, err := netproxy.New(to)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

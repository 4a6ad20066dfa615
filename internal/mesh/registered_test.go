package mesh_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

var _ = Describe("A router whose entry remains although it is dead", func() {
	dead := netip.MustParseAddr("127.0.0.9")
	var n *node
	unresponsive := func() (names []string) {
		for _, r := range n.mesh.Unresponsive(50 * time.Millisecond) {
			names = append(names, r.Name)
		}
		return names
	}
	BeforeEach(func() {
		n = newNode(1, freePort(), dispatch.Report{})
		n.mesh.AddPeer("dead", "z", dead, true)
	})

	It("counts as unresponsive although it was never heard", func() {
		Eventually(unresponsive).Should(ConsistOf("dead"))
	})

	It("no longer takes a part of divided limits once its entry is gone", func() {
		Expect(n.known()).To(ConsistOf("dead", "r1"))
		n.mesh.SetRegistered(map[netip.Addr]bool{})
		Expect(n.known()).To(ConsistOf("r1"))
		Expect(unresponsive()).To(BeEmpty())
	})
})

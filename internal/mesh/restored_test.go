package mesh_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

var _ = Describe("Routers that know different eras of the store", func() {
	var restored, outdated *node
	content := func(n *node) func() string {
		return func() string {
			d, _ := n.replica.DeltaSince(replica.Config, replica.Position{})
			return string(d.Records[0].Data)
		}
	}
	set := func(n *node, at replica.Position, data string) {
		n.replica.ApplySnapshot(time.Now(), replica.Config, replica.Snapshot{Position: at, Records: []replica.Record{{Name: "main", Revision: at.Revision, Data: []byte(data)}}}, "store")
	}
	BeforeEach(func() {
		port := freePort()
		restored, outdated = newNode(1, port, dispatch.Report{}), newNode(2, port, dispatch.Report{})
		set(restored, replica.Position{Era: 2, Revision: 5}, "restored")
		set(outdated, replica.Position{Era: 1, Revision: 9}, "lost")
	})

	It("take over the newer era although its revision is lower", func() {
		restored.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(content(outdated)).Should(Equal("restored"))
		By("passing on changes in it")
		restored.replica.ApplyChanges(time.Now(), replica.Config, replica.Changes{Position: replica.Position{Era: 2, Revision: 9},
			Changes: []replica.Change{{Record: replica.Record{Name: "main", Revision: 9, Data: []byte("written again")}}}}, "store")
		Eventually(content(outdated)).Should(Equal("written again"))
		Expect(content(restored)()).To(Equal("written again"))
	})

	It("push the newer era to a router whose calls don't complete", func() {
		restored.stopCalls()
		restored.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(content(outdated)).Should(Equal("restored"))
		Expect(outdated.replica.Positions()).To(HaveKeyWithValue(replica.Config, replica.Position{Era: 2, Revision: 5}))
	})
})

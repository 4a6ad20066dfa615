package mesh_test

import (
	"crypto/rand"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// randomBytes returns data that can't be compressed.
func randomBytes(n int) []byte {
	data := make([]byte, n)
	_, err := rand.Read(data)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func setConfig(n *node, revision int64, data []byte) {
	n.replica.ApplySnapshot(time.Now(), replica.Config, replica.Snapshot{Position: replica.Position{Revision: revision}, Records: []replica.Record{{Name: "main", Revision: revision, Data: data}}}, "store")
}

func configRevision(n *node) func() int64 {
	return func() int64 { return n.replica.Positions()[replica.Config].Revision }
}

var _ = Describe("A router without spare CPU time", func() {
	It("learns of a change before requests that were waiting for the CPU", func() {
		port := freePort()
		a, b := newNode(1, port, dispatch.Report{}), newNode(2, port, dispatch.Report{})
		setConfig(a, 5, []byte("old"))
		setConfig(b, 5, []byte("old"))
		a.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(b.alive).Should(HaveLen(1))

		// Each waiting goroutine stands for a request that needs CPU time again and
		// again. The number of turns they take is a clock that does not depend on
		// the machine.
		const waiting = 2000
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		var turns, turnsAtChange, turnsUntilKnown atomic.Int64
		var stop atomic.Bool
		defer stop.Store(true)
		for range waiting {
			go func() {
				for !stop.Load() {
					turns.Add(1)
					for began := time.Now(); time.Since(began) < 100*time.Microsecond; {
					}
					if known := configRevision(b)(); known == 6 && turnsUntilKnown.Load() == 0 {
						turnsUntilKnown.CompareAndSwap(0, turns.Load()-turnsAtChange.Load())
					}
					runtime.Gosched()
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		a.replica.ApplyChanges(time.Now(), replica.Config, replica.Changes{Position: replica.Position{Revision: 6}, Changes: []replica.Change{{Record: replica.Record{Name: "main", Revision: 6, Data: []byte("new")}}}}, "store")
		turnsAtChange.Store(turns.Load())
		a.mesh.TriggerSend()
		Eventually(turnsUntilKnown.Load).ShouldNot(BeZero())
		Expect(turnsUntilKnown.Load()).To(BeNumerically("<", waiting), "requests that had been waiting before the change took their turns first")
	})

	It("learns of a large change although its calls to peers do not complete", func() {
		port := freePort()
		a, b := newNode(1, port, dispatch.Report{}), newNode(2, port, dispatch.Report{})
		// A peer that accepts connections and never responds has the same effect
		// as calls that time out.
		a.stopCalls()
		Eventually(func() error {
			l, err := net.Listen("tcp", a.address)
			if err == nil {
				DeferCleanup(l.Close)
			}
			return err
		}).Should(Succeed())
		setConfig(b, 5, []byte("old"))
		setConfig(a, 6, randomBytes(300<<10))
		a.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(configRevision(b)).Should(Equal(int64(6)))
	})
})

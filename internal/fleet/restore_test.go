package fleet_test

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

// control makes one of the stand-in's control calls.
func (c *cluster) control(path string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPut, c.platform.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// restorations returns the details of the events of restorations.
func (r *router) restorations() []string {
	var details []string
	for _, e := range r.events.All() {
		if e.Kind == eventlog.PlatformRestored {
			details = append(details, e.Detail)
		}
	}
	return details
}

// version returns the version of an object.
func version(c *cluster, key string) int64 {
	GinkgoHelper()
	o, err := platform.New(c.platform.URL).Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	return o.Version
}

var _ = Describe("a fleet whose platform is restored from an older copy", func() {
	var (
		c       *cluster
		routers []*router
	)
	slots := func(r *router) func() int {
		return func() int {
			if m := r.Manifest(); m != nil {
				return m.Endpoints[0].Slots
			}
			return 0
		}
	}
	// submitAndLose submits manifests after a copy was made, and restores the copy
	// once the last of them is in force.
	submitAndLose := func(slotsOfEach ...int) {
		GinkgoHelper()
		c.submit(1)
		c.control("/copy")
		for _, n := range slotsOfEach {
			c.submit(n)
		}
		for _, r := range routers {
			Eventually(slots(r)).Should(Equal(slotsOfEach[len(slotsOfEach)-1]))
		}
		c.control("/restore")
	}

	BeforeEach(func() {
		c = newCluster()
		routers = nil
		for i := range 3 {
			routers = append(routers, c.router(fmt.Sprintf("r%d", i)))
		}
		for _, r := range routers {
			Eventually(r.names).Should(HaveLen(3))
		}
	})

	DescribeTable("puts a manifest in force that is accepted afterwards",
		func(lost ...int) {
			submitAndLose(lost...)
			c.submit(9)
			for _, r := range routers {
				Eventually(slots(r)).Should(Equal(9))
			}
		},
		Entry("whose generation would be below the one in force", 2, 3, 4),
		Entry("whose generation would be the one in force", 2),
	)

	It("shows the restoration in the timeline of each router", func() {
		submitAndLose(2)
		for _, r := range routers {
			Eventually(r.restorations).Should(Equal([]string{"era=2"}))
		}
	})

	It("stores the manifest in force again", func(ctx SpecContext) {
		submitAndLose(2, 3)
		Eventually(func() (int, error) {
			m, _, err := submit.Current(ctx, platform.New(c.platform.URL))
			return m.Endpoints[0].Slots, err
		}).Should(Equal(3))
		for _, r := range routers {
			r.stop()
		}
		routers[0].start()
		Eventually(slots(routers[0])).Should(Equal(3), "a fleet that restarts reads what was accepted last")
	})

	It("rejects a manifest that was made from the copy's generation", func() {
		submitAndLose(2, 3)
		Eventually(func() (int, error) {
			m, _, err := submit.Current(context.Background(), platform.New(c.platform.URL))
			return m.Endpoints[0].Slots, err
		}).Should(Equal(3))
		m := exampleManifest(9)
		m.Generation = 1
		_, err := submit.Submit(context.Background(), platform.New(c.platform.URL), m)
		Expect(code.Is(err, code.Conflict)).To(BeTrue(), "%v", err)
		Expect(err.Error()).To(ContainSubstring("endpoints/e.slots: "))
	})

	It("does not bring a removed router back with its lease", func() {
		c.control("/copy")
		routers[2].stop()
		for _, r := range routers[:2] {
			Eventually(r.names).Should(Equal([]string{"r0", "r1"}))
		}
		c.control("/restore")
		Consistently(func(g Gomega) {
			for _, r := range routers[:2] {
				g.Expect(r.names()).To(Equal([]string{"r0", "r1"}))
			}
		}, 2*lease).Should(Succeed())
	})

	It("keeps a router that is known by its lease only", func() {
		c.control("/copy")
		for _, r := range routers[1:] {
			c.setBlocked("r0", r.addr, true)
			c.setBlocked(r.name, routers[0].addr, true)
		}
		before := version(c, "leases/r0")
		Eventually(func() int64 { return version(c, "leases/r0") }, 10*lease).Should(BeNumerically(">", before+10), "renewed several times since the copy")
		c.control("/restore")
		Consistently(routers[1].names, 2*lease).Should(HaveLen(3))
	})

	It("keeps its members and goes on when it is restored twice in quick succession", func() {
		submitAndLose(2, 3)
		c.control("/restore")
		c.submit(9)
		for _, r := range routers {
			Eventually(slots(r)).Should(Equal(9))
			Consistently(r.names, lease).Should(HaveLen(3))
		}
	})
})

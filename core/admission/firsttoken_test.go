package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
)

var _ = Describe("an endpoint in doubt", func() {
	It("is not taken for warm because delays hide that its first token is slow", func() {
		const warm, cold, delayed = 6 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond
		b := newFixture("a")
		b.configure(openEndpoint("e", 8, 1))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.serve(30, warm)
		b.serve(30, delayed)
		b.now = b.now.Add(10 * time.Second)
		id := b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
		b.UpdateProgress(b.now.Add(cold), id, 1, cold)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})
})

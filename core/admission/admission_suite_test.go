package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admission")
}

var _ = Describe("a pool whose owner has just started", func() {
	var pool *admission.Pool
	now := time.Unix(1000, 0)

	BeforeEach(func() {
		pool = admission.NewPool()
		pool.SetMembers([]string{"a", "b"})
		pool.Configure(
			[]admission.Account{{Name: "hotels", Share: 1, MaxQueue: 10, MaxWait: time.Second}},
			[]admission.Endpoint{{Name: "e", Slots: 4, ColdSlots: 1, Open: true}},
		)
		pool.Sync("a", nil)
		pool.Want(now, admission.Want{ID: admission.ID{Router: "a", Seq: 1}, Account: "hotels"})
	})

	It("gives a cold endpoint nothing before every member has reported", func() {
		Expect(pool.Step(now).Grants).To(BeEmpty())
		pool.Sync("b", nil)
		Expect(pool.Step(now).Grants).To(HaveLen(1))
	})

	It("counts what members report as held", func() {
		pool.Sync("b", []admission.Held{{ID: admission.ID{Router: "b", Seq: 9}, Endpoint: "e", Account: "hotels"}})
		Expect(pool.Step(now).Grants).To(BeEmpty())
	})
})

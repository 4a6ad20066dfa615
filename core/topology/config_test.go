package topology_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("A configuration of the store", func() {
	config := func(version int64, route string) topology.Config {
		return topology.Config{Version: version, Routes: []topology.Route{{Name: route}}}
	}

	It("does not replace a newer one that the store has lost", func() {
		Expect(config(4, "a").Replaces(config(5, "b"))).To(BeFalse())
		Expect(config(5, "b").Replaces(config(5, "b"))).To(BeFalse())
		Expect(config(6, "c").Replaces(config(5, "b"))).To(BeTrue())
	})

	It("replaces one of the same version with other content", func() {
		Expect(config(5, "c").Replaces(config(5, "b"))).To(BeTrue())
	})
})

var _ = Describe("The record of an endpoint", func() {
	It("states the same when it is written anew, and something else when its weights change", func() {
		before := topology.Endpoint{ID: "e", Models: []topology.ModelWeights{{Name: "m", Version: "1"}}, Revision: 1}
		again, changed := before, before
		again.Revision = 2
		changed.Models = []topology.ModelWeights{{Name: "m", Version: "2"}}
		Expect(again.SameState(before)).To(BeTrue())
		Expect(changed.SameState(before)).To(BeFalse())
	})
})

package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("Weights of endpoints", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	with := func(id, version string) topology.Endpoint {
		e := endpoint(id, model, "a")
		if version != "" {
			e.Models = []topology.ModelWeights{{Name: "m", Version: version}}
		}
		return e
	}
	own := uint64(100)
	request := func(now time.Time, version string) dispatch.Request {
		own++
		r := chatRequest(now, "x", own)
		r.Weights = dispatch.Weights{Model: "m", Version: version}
		return r
	}
	targets := func(d *dispatch.Dispatcher, version string) map[string]int {
		n := map[string]int{}
		for range 6 {
			if t := d.Submit(start, request(start, version)); t.State == dispatch.Granted {
				n[t.Endpoint.ID]++
			} else {
				n[t.Reason.String()]++
			}
		}
		return n
	}

	It("that differ from those a request names do not take the endpoint away from other requests", func() {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		d.Finish(start, d.Submit(start, request(start, "1")), dispatch.OtherWeights)
		Expect(targets(d, "")).To(Equal(map[string]int{"e1": 6}))
		Expect(targets(d, "1")).To(Equal(map[string]int{"no_endpoint_with_weights": 6}), "the endpoint has said that it has others")
	})

	It("decide where a request goes that names a version, as far as they are known", func() {
		d := newDispatcher("r1", with("e1", "1"), with("e2", "2"), with("e3", ""))
		Expect(targets(d, "2")).To(Equal(map[string]int{"e2": 6}))
		Expect(targets(d, "3")).To(Equal(map[string]int{"e3": 6}), "unknown weights may be the right ones")
	})

	It("are learned from responses", func() {
		d := newDispatcher("r1", with("e1", "1"), with("e2", "1"))
		t := d.Submit(start, request(start, ""))
		Expect(t.EndpointWeights).To(Equal("1"))
		d.RecordWeights(t, "2")
		d.Finish(start, t, dispatch.Completed)
		Expect(targets(d, "2")).To(Equal(map[string]int{t.Endpoint.ID: 6}))
	})

	It("are those of the record once it changes", func() {
		d := newDispatcher("r1", with("e1", "1"), with("e2", "1"))
		d.SetEndpoints(start, []topology.Endpoint{with("e1", "1"), with("e2", "2")})
		Expect(targets(d, "1")).To(Equal(map[string]int{"e1": 6}))
		Expect(targets(d, "2")).To(Equal(map[string]int{"e2": 6}))
	})

	It("are not sought at endpoint after endpoint by a request that was rejected for them", func() {
		d := newDispatcher("r1", with("e1", ""), with("e2", ""))
		r := request(start, "1")
		r.WeightsMissed, r.ExcludedEndpoints = true, []string{"e1"}
		t := d.Submit(start, r)
		Expect(t.State).To(Equal(dispatch.Refused))
		Expect(t.Reason).To(Equal(dispatch.NoWeights))
	})

	It("that no endpoint has any more end the wait of a request at once", func() {
		d := newDispatcher("r1", with("e1", "1"), with("e2", "2"))
		d.SetPeerReport(start, "r2", dispatch.Report{Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: slots}}}})
		t := d.Submit(start, request(start, "1"))
		Expect(t.State).To(Equal(dispatch.Waiting))
		d.SetEndpoints(at(10), []topology.Endpoint{with("e1", "2"), with("e2", "2")})
		Expect(d.Poll(at(10))).To(ConsistOf(t))
		Expect(t.Reason).To(Equal(dispatch.NoWeights))
	})

	It("of names that clients invent are not kept without limit", func() {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		for i := range 1000 {
			r := request(start, "")
			r.Weights.Model = fmt.Sprint("invented ", i)
			t := d.Submit(start, r)
			d.RecordWeights(t, "1")
			d.Cancel(start, t)
		}
		r := request(start, "")
		r.Weights.Model = "invented 999"
		Expect(d.Submit(start, r).EndpointWeights).To(BeEmpty())
	})
})

var _ = Describe("An endpoint whose address seemed to belong to another one", func() {
	It("is tried again once its record is written anew", func() {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		d.Finish(start, d.Submit(start, chatRequest(start, "x", 9)), dispatch.Misdirected)
		d.SetEndpoints(start, []topology.Endpoint{endpoint("e1", model, "a")})
		Expect(d.Submit(start, chatRequest(start, "x", 10)).State).To(Equal(dispatch.Refused), "the record is the same")
		again := endpoint("e1", model, "a")
		again.Revision++
		d.SetEndpoints(start, []topology.Endpoint{again})
		Expect(d.Submit(start, chatRequest(start, "x", 11)).State).To(Equal(dispatch.Granted))
	})
})

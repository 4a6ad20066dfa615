package prepared_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

func TestPrepared(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "Stand-in of the prepared platform")
}

type storedObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// response is a response of the store. It has no status if the connection was
// closed without one.
type response struct {
	Status int    `json:"-"`
	Era    string `json:"-"`

	Items      []storedObject `json:"items"`
	Events     []struct{ Object storedObject }
	CurrentRev int64 `json:"current-rev"`
}

// names returns the names of the listed or changed objects.
func (r response) names() []string {
	names := []string{}
	for _, o := range r.Items {
		names = append(names, o.Metadata.Name)
	}
	for _, e := range r.Events {
		names = append(names, e.Object.Metadata.Name)
	}
	return names
}

var _ = Describe("A store", func() {
	var store *prepared.Store
	var url string
	BeforeEach(func() {
		store = prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		url = server.URL + "/v1/objects/"
	})
	call := func(method, path, body string) response {
		req, err := http.NewRequest(method, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Close = true // a GET that is cut on a connection of an earlier call would be sent again
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return response{}
		}
		defer resp.Body.Close()
		out := response{Status: resp.StatusCode, Era: resp.Header.Get("Store-Era")}
		if out.Status == http.StatusOK {
			Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
		}
		return out
	}
	list := func(kind string) response { return call("GET", kind, "") }
	watch := func(kind string, since int64, wait time.Duration) response {
		return call("GET", fmt.Sprintf("%s?watch=%d&wait-ms=%d", kind, since, wait.Milliseconds()), "")
	}
	// waiting starts a watch and returns the channel of its response once the
	// store has received it.
	waiting := func(kind string, since int64) <-chan response {
		before, done := store.Calls(), make(chan response, 1)
		go func() { defer GinkgoRecover(); done <- watch(kind, since, 30*time.Second) }()
		Eventually(store.Calls).Should(BeNumerically(">", before))
		return done
	}

	Describe("that is restored from an older copy", func() {
		It("has lost what was written since and gives its revisions out again", func() {
			store.Put("things", "kept", 1)
			older := store.Copy()
			before := list("things")
			store.Put("things", "kept", 2)
			store.Put("things", "lost", 1)
			lost := list("things")
			store.Restore(older)
			after := list("things")
			Expect(after.Items).To(Equal(before.Items))
			Expect(after.CurrentRev).To(Equal(before.CurrentRev))
			store.Put("things", "kept", 3)
			store.Put("things", "other", 1)
			Expect(list("things").CurrentRev).To(Equal(lost.CurrentRev))
			Expect(watch("things", before.CurrentRev, 0).names()).To(Equal([]string{"kept", "other"}))
		})

		It("can be restored from the same copy again", func() {
			store.Put("things", "kept", 1)
			older := store.Copy()
			before := list("things")
			for range 2 {
				store.Put("things", "lost", 1)
				store.Delete("things", "kept")
				store.Restore(older)
				Expect(list("things").Items).To(Equal(before.Items))
				Expect(watch("things", before.CurrentRev, 0).names()).To(BeEmpty())
			}
		})

		It("responds with 410 to a watch from a revision that it does not have", func() {
			older := store.Copy()
			store.Put("things", "lost", 1)
			since := list("things").CurrentRev
			store.Restore(older)
			Expect(watch("things", since, 30*time.Second).Status).To(Equal(http.StatusGone))
			store.Put("things", "other", 1)
			Expect(watch("things", since, 0).Status).To(Equal(http.StatusOK), "the revision was given out again")
		})

		It("ends the watches that wait", func() {
			older := store.Copy()
			kept := list("things").CurrentRev
			store.Put("others", "lost", 1)
			fromKept, fromLost := waiting("things", kept), waiting("things", kept+1)
			store.Restore(older)
			Eventually(fromKept).Should(Receive(Equal(response{})))
			Eventually(fromLost).Should(Receive(Equal(response{Status: http.StatusGone, Era: "2"})))
		})
	})

	It("has a new revision only if a write changes something", func() {
		store.Put("things", "one", 1)
		before := list("things").CurrentRev
		store.Put("things", "one", 1)
		Expect(call("PUT", "things/one", `{"spec":1}`).Status).To(Equal(http.StatusOK))
		Expect(list("things").CurrentRev).To(Equal(before))
		Expect(watch("things", before, 0).names()).To(BeEmpty())
		store.Put("things", "one", 2)
		Expect(list("things").CurrentRev).To(Equal(before + 1))
	})

	It("names its era in all responses", func() {
		store.Put("things", "one", 1)
		older := store.Copy()
		calls := []struct {
			status int
			send   func() response
		}{
			{200, func() response { return list("things") }},
			{200, func() response { return watch("things", list("things").CurrentRev-1, 0) }},
			{200, func() response { return call("POST", "others", `{"metadata":{"name":"new"}}`) }},
			{400, func() response { return call("GET", "things?watch=x", "") }},
			{400, func() response { return call("POST", "things", `{`) }},
			{404, func() response { return call("PUT", "things/none", `{}`) }},
			{409, func() response { return call("POST", "things", `{"metadata":{"name":"one"}}`) }},
			{409, func() response { return call("PUT", "things/one", `{"metadata":{"revision":1}}`) }},
			{410, func() response { return watch("things", 1_000_000, 0) }},
			{503, func() response { store.SetFaults(prepared.Faults{Down: true}); return list("things") }},
		}
		expectEra := func(era string) {
			for _, c := range calls {
				Expect(c.send()).To(And(HaveField("Status", c.status), HaveField("Era", era)))
			}
			store.SetFaults(prepared.Faults{})
			store.Restore(older)
		}
		expectEra("1")
		expectEra("2")
		store.OmitEra()
		expectEra("")
	})
})

package callerapi_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

var _ = Describe("requests that share a message which crashes endpoints", func() {
	It("are refused after some crashes, unlike others that share their other messages", func() {
		var crashes atomic.Int64
		router := newTestRouterWith(testTimeout, testTimeout, 8, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if strings.Contains(string(body), "deadly") {
				crashes.Add(1)
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: {\"id\":%q}\n\ndata: [DONE]\n\n", r.Header.Get("X-Request-Id"))
		})
		body := func(shared string, own int) string {
			return fmt.Sprintf(`{"model":"tender-writer","stream":true,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":%q},{"role":"user","content":"own %d"}]}`, shared, own)
		}
		for i := range 20 {
			Expect(router.send(chatPath, body("sound", i)).Code).To(Equal(http.StatusOK))
			Expect(router.send(chatPath, body("deadly", i)).Code).NotTo(Equal(http.StatusOK))
		}
		Expect(crashes.Load()).To(BeNumerically("<=", route.PartQuarantineCrashes))
		refusal := decodeProblem(router.send(chatPath, body("deadly", 100)))
		Expect(refusal.Code).To(Equal(int(code.Quarantined)))
		Expect(refusal.NotRun).To(BeTrue())
		Expect(refusal.Detail).To(ContainSubstring("prompt part"))
	})
})

var _ = Describe("requests that share a message which crashes endpoints after the first event", func() {
	It("are refused after some crashes, unlike others that share their other messages", func() {
		var crashes atomic.Int64
		router := newTestRouterWith(testTimeout, testTimeout, 8, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			fmt.Fprintf(w, "data: {\"id\":%q}\n\n", r.Header.Get("X-Request-Id"))
			if strings.Contains(string(body), "deadly") {
				crashes.Add(1)
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, "data: [DONE]\n\n")
		})
		body := func(shared string, own int) string {
			return fmt.Sprintf(`{"model":"tender-writer","stream":true,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":%q},{"role":"user","content":"own %d"}]}`, shared, own)
		}
		refused := func(own int) (refused bool) {
			defer func() { recover() }() // an interrupted stream
			refusal := decodeProblem(router.send(chatPath, body("deadly", own)))
			return refusal.Code == int(code.Quarantined) && refusal.NotRun
		}
		const sends = 12
		n := 0
		for i := range sends {
			Expect(router.send(chatPath, body("sound", i)).Code).To(Equal(http.StatusOK))
			if refused(i) {
				n++
			}
		}
		Expect(n).To(BeNumerically(">=", sends-route.PartQuarantineCrashes))
		Expect(crashes.Load()).To(BeNumerically("<=", 2*route.PartQuarantineCrashes), "each stream is resumed once at its endpoint")
	})
})

var _ = Describe("plain requests that crash endpoints", func() {
	for name, body := range map[string]string{"with": `{"item":"deadly"}`, "without": ""} {
		It("are refused after some crashes, "+name+" a body, unlike others", func() {
			var crashes atomic.Int64
			router := newTestRouterWith(testTimeout, testTimeout, 8, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.RawQuery == "id=deadly" {
					crashes.Add(1)
					panic(http.ErrAbortHandler)
				}
				io.WriteString(w, "ok")
			})
			for range 20 {
				Expect(router.send("/stock?id=sound", body).Code).To(Equal(http.StatusOK))
				Expect(router.send("/stock?id=deadly", body).Code).NotTo(Equal(http.StatusOK))
			}
			Expect(crashes.Load()).To(BeNumerically("<=", route.PartQuarantineCrashes))
			refusal := decodeProblem(router.send("/stock?id=deadly", body))
			Expect(refusal.Code).To(Equal(int(code.Quarantined)))
			Expect(refusal.NotRun).To(BeTrue())
		})
	}
})

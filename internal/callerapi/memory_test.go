package callerapi_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

var _ = Describe("Memory for requests", func() {
	const size = 1 << 20
	receive := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	withMemory := func(o *callerapi.Options) {
		o.MaxBodyBytes, o.MaxAccountRequests, o.Memory = size, 100, memory.NewBudget(5*size)
	}

	It("that bodies which arrive slowly have used up is refused to further ones, and small requests are served", func() {
		router := newTestRouterOptions(time.Minute, time.Minute, 1, receive, withMemory)
		var bodies []*io.PipeWriter
		ended := make(chan int, 4)
		for range 4 {
			body, w := io.Pipe()
			bodies = append(bodies, w)
			r := httptest.NewRequest(http.MethodPost, "/stock", body)
			r.ContentLength = size
			r.Header.Set("Authorization", "Bearer secret")
			go func() {
				response := httptest.NewRecorder()
				router.api.Handler().ServeHTTP(response, r)
				ended <- response.Code
			}()
			_, err := w.Write([]byte("x")) // returns once the body is being read
			Expect(err).NotTo(HaveOccurred())
		}
		refused := router.send("/stock", strings.Repeat("x", size))
		Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(decodeProblem(refused).Code).To(Equal(int(code.NoMemory)))
		Expect(decodeProblem(refused).NotRun).To(BeTrue())
		Expect(router.send("/stock", "small").Code).To(Equal(http.StatusOK))
		for _, w := range bodies {
			_, err := io.WriteString(w, strings.Repeat("x", size-1))
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Close()).To(Succeed())
		}
		for range bodies {
			Eventually(ended).WithTimeout(time.Minute).Should(Receive(Equal(http.StatusOK)))
		}
		Expect(router.send("/stock", strings.Repeat("x", size)).Code).To(Equal(http.StatusOK))
	})

	It("is reserved for large heads of HTTP/2 requests, whose connection has not reserved it", func() {
		router := newTestRouterOptions(time.Minute, time.Minute, 1, receive, withMemory)
		var bodies []*io.PipeWriter
		responses := make(chan int, 20)
		send := func() (begun bool) {
			body, w := io.Pipe()
			r := httptest.NewRequest(http.MethodPost, "/stock", body)
			r.ProtoMajor, r.ContentLength = 2, 10
			r.Header.Set("Authorization", "Bearer secret")
			for i := range 1000 {
				r.Header.Set(fmt.Sprint("X-", i), "v")
			}
			go func() {
				response := httptest.NewRecorder()
				router.api.Handler().ServeHTTP(response, r)
				body.CloseWithError(io.ErrClosedPipe) // refused: the body is not read
				responses <- response.Code
			}()
			if _, err := w.Write([]byte("x")); err != nil {
				return false
			}
			bodies = append(bodies, w)
			return true
		}
		for len(bodies) < 20 && send() {
		}
		Expect(len(bodies)).To(And(BeNumerically(">", 0), BeNumerically("<=", 5)), "5 MiB, of which heads may take a quarter, at 250 KiB each")
		Eventually(responses).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(router.send("/stock", "small").Code).To(Equal(http.StatusOK))
		for _, w := range bodies {
			_, err := io.WriteString(w, strings.Repeat("x", 9))
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Close()).To(Succeed())
			Eventually(responses).WithTimeout(time.Minute).Should(Receive(Equal(http.StatusOK)))
		}
	})

	DescribeTable("is not exceeded by a response",
		func(budget int64, status int) {
			large := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }
			router := newTestRouterOptions(time.Minute, time.Minute, 1, large, func(o *callerapi.Options) { o.Memory = memory.NewBudget(budget) })
			Expect(router.send("/stock", "small").Code).To(Equal(status))
		},
		Entry("that fits", int64(64*size), http.StatusOK),
		Entry("that does not fit", int64(4*size), http.StatusBadGateway),
	)
})

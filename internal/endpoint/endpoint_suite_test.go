package endpoint_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Endpoint")
}

var _ = Describe("a stream", func() {
	It("is closed only once the endpoint has ended the response", func(ctx SpecContext) {
		var ended atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "data: [DONE]\n\n")
			http.NewResponseController(w).Flush()
			_, err := w.Write(make([]byte, 16<<20)) // more than the connection buffers
			ended.Store(err == nil)
		}))
		s, err := endpoint.New(time.Minute).Open(ctx, endpoint.Call{URL: server.URL, Method: http.MethodPost})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).To(Equal(io.EOF))
		s.Close()
		server.Close() // waits for the handler to return
		Expect(ended.Load()).To(BeTrue())
	})
})

package objects_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

// hangGuard ends a spec that hangs.
const hangGuard = 30 * time.Second

func TestObjects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Objects stand-in")
}

var _ = Describe("a restored store", func() {
	var server *httptest.Server

	call := func(ctx context.Context, method, path, body string, header http.Header) *http.Response {
		GinkgoHelper()
		req, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header = header
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		return resp
	}
	created := http.Header{"If-None-Match": {"*"}}

	BeforeEach(func(ctx SpecContext) {
		server = httptest.NewServer(objects.NewServer(1).Handler())
		DeferCleanup(server.Close)
		call(ctx, http.MethodPut, "/v1/records/a", "old", created)
		call(ctx, http.MethodPut, "/copy", "", nil)
	})

	It("has the objects and versions of the copy and gives versions out again", func(ctx SpecContext) {
		call(ctx, http.MethodPut, "/v1/records/a", "new", http.Header{"If-Match": {`"1"`}})
		call(ctx, http.MethodPut, "/v1/records/b", "lost", created)
		call(ctx, http.MethodPut, "/restore", "", nil)
		resp := call(ctx, http.MethodGet, "/v1/records/a", "", nil)
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("old"))
		Expect(resp.Header.Get("ETag")).To(Equal(`"1"`))
		Expect(call(ctx, http.MethodGet, "/v1/records/b", "", nil).StatusCode).To(Equal(http.StatusNotFound))
		Expect(call(ctx, http.MethodPut, "/v1/records/c", "", created).Header.Get("ETag")).To(Equal(`"2"`))
	})

	It("raises the era in all responses", func(ctx SpecContext) {
		for _, want := range []string{"1", "2", "3"} {
			for _, path := range []string{"/v1/records/a", "/v1/records/none", "/v1/records?prefix=a", "/v1/instances", "/v1/watch?from=99"} {
				Expect(call(ctx, http.MethodGet, path, "", nil).Header.Get("Platform-Era")).To(Equal(want), path)
			}
			call(ctx, http.MethodPut, "/restore", "", nil)
		}
	})

	It("rejects a watch from a version that it does not have", func(ctx SpecContext) {
		call(ctx, http.MethodPut, "/v1/records/b", "", created)
		call(ctx, http.MethodPut, "/restore", "", nil)
		Expect(call(ctx, http.MethodGet, "/v1/watch?from=2", "", nil).StatusCode).To(Equal(http.StatusGone))
		Expect(call(ctx, http.MethodGet, "/v1/watch?from=1", "", nil).StatusCode).To(Equal(http.StatusOK))
	})

	It("ends the watches that were open", func(ctx SpecContext) {
		watch := call(ctx, http.MethodGet, "/v1/watch?from=1", "", nil)
		call(ctx, http.MethodPut, "/restore", "", nil)
		_, err := io.ReadAll(watch.Body)
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(hangGuard))

	It("rejects a write that requires an earlier era", func(ctx SpecContext) {
		call(ctx, http.MethodPut, "/restore", "", nil)
		header := http.Header{"If-Match": {`"1"`}, "Platform-Era": {"1"}}
		Expect(call(ctx, http.MethodPut, "/v1/records/a", "", header).StatusCode).To(Equal(http.StatusPreconditionFailed))
		Expect(call(ctx, http.MethodDelete, "/v1/records/a", "", header).StatusCode).To(Equal(http.StatusPreconditionFailed))
		header.Set("Platform-Era", "2")
		Expect(call(ctx, http.MethodPut, "/v1/records/a", "", header).StatusCode).To(Equal(http.StatusOK))
	})
})

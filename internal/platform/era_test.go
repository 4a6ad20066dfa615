package platform_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

var _ = Describe("a platform that is restored from an older copy", func() {
	var (
		server *httptest.Server
		client *platform.Client
		other  *platform.Client
		held   chan http.Request // requests whose responses are held back
		resume chan struct{}     // closed to let them go
		hold   func(*http.Request) bool
	)

	put := func(path string) {
		GinkgoHelper()
		req, err := http.NewRequest(http.MethodPut, server.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
	}
	copyStore := func() { put("/copy") }
	restore := func() { put("/restore") }

	BeforeEach(func() {
		held, resume = make(chan http.Request, 1), make(chan struct{})
		hold = func(*http.Request) bool { return false }
		handler := objects.NewServer(1).Handler()
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !hold(r) {
				handler.ServeHTTP(w, r)
				return
			}
			recorded := httptest.NewRecorder()
			handler.ServeHTTP(recorded, r)
			held <- *r
			<-resume
			maps.Copy(w.Header(), recorded.Header())
			w.WriteHeader(recorded.Code)
			w.Write(recorded.Body.Bytes())
		}))
		DeferCleanup(server.Close)
		client, other = platform.New(server.URL), platform.New(server.URL)
	})

	It("rejects a write at a version that was given out again for another value", func(ctx SpecContext) {
		first, err := client.Put(ctx, "a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		copyStore()
		lost, err := client.Put(ctx, "a", []byte("lost"), first)
		Expect(err).NotTo(HaveOccurred())
		restore()
		o, err := other.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		_, err = other.Put(ctx, "a", []byte("kept"), o.Version)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "a", []byte("overwrites"), lost)
		Expect(err).To(MatchError(platform.ErrConflict))
		Expect(client.Delete(ctx, "a", lost)).To(MatchError(platform.ErrConflict))
		o, err = client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(o.Value)).To(Equal("kept"))
	})

	It("gives objects higher versions than before", func(ctx SpecContext) {
		copyStore()
		for key := range 10 {
			_, err := client.Put(ctx, string(rune('a'+key)), nil, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		before, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		restore()
		version, err := client.Put(ctx, "a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically(">", before.Version))
		after, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Version).To(BeNumerically(">", before.Version))
		Expect(after.Items[0].Version).To(Equal(version))
	})

	It("ends a watch from a version that it had before and has given out again", func(ctx SpecContext) {
		copyStore()
		version, err := client.Put(ctx, "a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		restore()
		_, err = other.Put(ctx, "b", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Watch(ctx, "", version, func(platform.Event) {})).To(MatchError(platform.ErrVersionTooOld))
	}, SpecTimeout(10*time.Second))

	It("does not count as confirmed a write whose response arrives after the restoration", func(ctx SpecContext) {
		hold = func(r *http.Request) bool { return r.Method == http.MethodPut && r.URL.Path == "/v1/records/late" }
		written := make(chan error, 1)
		go func() {
			_, err := client.Put(ctx, "late", nil, 0)
			written <- err
		}()
		Eventually(ctx, held).Should(Receive())
		restore()
		_, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		close(resume)
		Eventually(ctx, written).Should(Receive(Satisfy(func(err error) bool { return errors.Is(err, platform.ErrUncertain) })))
	}, SpecTimeout(10*time.Second))

	It("does not return what it held before to a read that began before the restoration", func(ctx SpecContext) {
		_, err := client.Put(ctx, "late", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		hold = func(r *http.Request) bool { return r.URL.Path == "/v1/records/late" }
		read := make(chan error, 1)
		go func() {
			_, err := client.Get(ctx, "late")
			read <- err
		}()
		Eventually(ctx, held).Should(Receive())
		restore()
		_, err = client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		close(resume)
		Eventually(ctx, read).Should(Receive(HaveOccurred()))
	}, SpecTimeout(10*time.Second))

	It("keeps its era when an intermediary rejects a call", func(ctx SpecContext) {
		version, err := client.Put(ctx, "a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		intermediary := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/records/a" {
				http.Error(w, "no backend", http.StatusBadGateway)
				return
			}
			server.Config.Handler.ServeHTTP(w, r)
		}))
		defer intermediary.Close()
		client = platform.New(intermediary.URL)
		_, err = client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Get(ctx, "a")
		Expect(err).To(HaveOccurred())
		Expect(client.Era()).To(Equal(platform.EraOf(version)))
	}, SpecTimeout(10*time.Second))
})

package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform client")
}

var _ = Describe("the client", func() {
	var server *httptest.Server
	var client *platform.Client

	set := func(path string, value any) {
		GinkgoHelper()
		body, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest(http.MethodPut, server.URL+path, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}

	BeforeEach(func() {
		server = httptest.NewServer(objects.NewServer(1).Handler())
		client = platform.New(server.URL)
		DeferCleanup(server.Close)
	})

	It("ends a watch that receives nothing", func(ctx SpecContext) {
		set("/faults", objects.Faults{SilentWatch: true})
		client.SetWatchIdleTimeout(20 * time.Millisecond)
		err := client.Watch(ctx, "a", 0, func(platform.Event) {})
		Expect(err).To(MatchError(ContainSubstring("received no event or keepalive")))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	}, SpecTimeout(10*time.Second))

	It("distinguishes an uncertain write from a rate-limited one", func(ctx SpecContext) {
		set("/faults", objects.Faults{LoseResponse: 1})
		_, err := client.Put(ctx, "a", []byte("x"), 0)
		Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue())
		o, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred(), "the write took effect")
		set("/faults", objects.Faults{LoseWrite: 1})
		_, err = client.Put(ctx, "b", []byte("x"), 0)
		Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue())
		_, err = client.Get(ctx, "b")
		Expect(err).To(MatchError(platform.ErrNotFound))
		set("/faults", objects.Faults{})
		set("/rates", objects.Rates{Writes: 1})
		_, err = client.Put(ctx, "a", []byte("y"), o.Version)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "b", []byte("y"), 0)
		Expect(err).To(MatchError(platform.ErrRateLimited))
		Expect(errors.Is(err, platform.ErrUncertain)).To(BeFalse())
	})

	It("rejects a late write by its version check", func(ctx SpecContext) {
		set("/faults", objects.Faults{LateWrite: 1, LateMs: 30})
		_, err := client.Put(ctx, "a", []byte("late"), 0)
		Expect(errors.Is(err, platform.ErrUncertain)).To(BeTrue())
		_, err = client.Get(ctx, "a")
		Expect(err).To(MatchError(platform.ErrNotFound))
		set("/faults", objects.Faults{})
		version, err := client.Put(ctx, "a", []byte("first"), 0)
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() (int64, error) {
			o, err := client.Get(ctx, "a")
			return o.Version, err
		}).WithTimeout(100 * time.Millisecond).Should(Equal(version))
	})

	It("wakes all pending retries once the platform responds", func(ctx SpecContext) {
		set("/faults", objects.Faults{Down: true})
		for range 20 {
			client.Get(ctx, "a")
		}
		set("/faults", objects.Faults{})
		woken := make(chan error, 20)
		for range 20 {
			go func() { woken <- client.WaitRetry(ctx) }()
		}
		_, err := client.Get(ctx, "a")
		Expect(err).To(MatchError(platform.ErrNotFound))
		for range 20 {
			Eventually(woken).WithContext(ctx).Should(Receive(Succeed()))
		}
	}, SpecTimeout(30*time.Second))

	It("gets an instance list that lags", func(ctx context.Context) {
		set("/faults", objects.Faults{InstanceLagMs: 3600_000})
		set("/instances", []platform.Instance{{Name: "i-1"}})
		Expect(client.Instances(ctx)).To(BeEmpty())
		set("/faults", objects.Faults{})
		Expect(client.Instances(ctx)).To(HaveLen(1))
	})
})

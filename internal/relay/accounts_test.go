package relay_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("The log of accounts", func() {
	It("shows how the requests of an account ended, also those refused before authentication", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "ok")} })
		var lag time.Duration
		output := gbytes.NewBuffer()
		server, h := newServerWithOptions(relay.Options{Log: oplog.New(output), MaxLag: time.Millisecond, Lag: func() time.Duration { return lag }},
			topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, f)
		for i := range 12 {
			lag = 0
			if i >= 8 {
				lag = time.Second
			}
			resp, _, err := send(server, http.MethodGet, "/p/x", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode == http.StatusOK).To(Equal(i < 8))
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go h.LogAccounts(ctx)
		Eventually(output).WithTimeout(20 * time.Second).Should(gbytes.Say(`"account.requests","account":"acc","ended":12,"outcomes":{"refused QueueFull":4,"served":8}`))
	})
})

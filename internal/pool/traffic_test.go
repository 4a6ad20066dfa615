package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// sent returns the total of a counter of sent requests and replies.
func sent(name string) float64 {
	total := uint64(0)
	for _, kind := range []string{"request", "reply"} {
		total += metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_admission_%s_total{kind=%q,direction="sent"}`, name, kind)).Get()
	}
	return float64(total)
}

// BenchmarkSession measures acquiring and releasing a slot at another router,
// and the messages and bytes sent in both directions.
func BenchmarkSession(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			RegisterTestingT(b)
			var stops []func()
			cleanup = func(f func()) { stops = append(stops, f) }
			defer func() {
				for _, stop := range stops {
					stop()
				}
			}()
			r := newRegion(time.Minute, newEndpoint("e", 256, 256), newEndpoint("f", 256, 256))
			r.manifest.Accounts[0].MaxQueue = 1000
			third := r.nodes[2]
			messages, bytes := sent("messages"), sent("bytes")
			b.SetParallelism(parallel)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					slot, err := third.client.Acquire(context.Background(), "drafting", pool.Request{
						Account: "hotels", Model: "tender-writer", Estimate: 10, Prefix: 1 << 60, Fingerprint: 1 << 61,
					})
					if err != nil {
						b.Error(err)
						return
					}
					slot.Release(admission.Completed, 7, time.Millisecond)
				}
			})
			b.ReportMetric((sent("messages")-messages)/float64(b.N), "messages/op")
			b.ReportMetric((sent("bytes")-bytes)/float64(b.N), "bytes/op")
		})
	}
}

package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// The simulation measures time in ticks, of no particular length.
const (
	cacheSize     = 40  // number of prefixes that an engine caches
	prefillTicks  = 40  // time to prefill a prompt whose prefix is not cached
	cacheHitTicks = 4   // time to prefill a prompt whose prefix is cached
	decodeTicks   = 100 // time to generate the response
	batchFactor   = 8   // number of busy slots at which all this takes twice as long
)

// engine simulates a model runner with a prefix cache of limited size; each
// running request slows down the others.
type engine struct {
	endpoint route.Endpoint
	cache    []uint64  // most recently used last
	ends     []float64 // completion times of the running requests
}

// start runs a request and returns its ticks to first token.
func (e *engine) start(now float64, prefix uint64) float64 {
	slowdown := 1 + float64(e.endpoint.Busy)/batchFactor
	firstToken := prefillTicks * slowdown
	if i := slices.Index(e.cache, prefix); i >= 0 {
		firstToken = cacheHitTicks * slowdown
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	e.cache = e.cache[max(0, len(e.cache)-cacheSize):]
	e.ends = append(e.ends, now+firstToken+decodeTicks*slowdown)
	return firstToken
}

// BenchmarkAffinity reports the time to first token and the cache hit rate for
// several values of slack, at two mean intervals between requests. With a slack
// of -1, the endpoint that has the prefix cached is never preferred.
func BenchmarkAffinity(b *testing.B) {
	for _, interval := range []float64{6, 3.2} {
		for _, slack := range []float64{-1, 0, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("every=%v/slack=%v", interval, slack), func(b *testing.B) {
				var latencies []float64
				for b.Loop() {
					latencies = serve(interval, slack)
				}
				slices.Sort(latencies)
				hits, _ := slices.BinarySearch(latencies, prefillTicks)
				b.ReportMetric(latencies[len(latencies)/2], "p50-ticks")
				b.ReportMetric(latencies[len(latencies)*95/100], "p95-ticks")
				b.ReportMetric(float64(hits)/float64(len(latencies)), "hits")
			})
		}
	}
}

// serve sends requests with 200 different prompt prefixes, drawn from a Zipf
// distribution, and returns the times to first token.
func serve(interval, slack float64) []float64 {
	random := rand.New(rand.NewPCG(4, 4))
	popularity := rand.NewZipf(random, 1.1, 5, 199)
	t := route.NewTable(1000, slack)
	engines := map[string]*engine{}
	for i := range 8 {
		e := &engine{endpoint: route.Endpoint{Name: fmt.Sprint(i), Zone: "z", Limit: 8}}
		engines[e.endpoint.Name] = e
		t.Add(&e.endpoint)
	}
	var latencies []float64
	now := 0.0
	for len(latencies) < 20_000 {
		now += random.ExpFloat64() * interval
		for _, e := range engines {
			e.ends = slices.DeleteFunc(e.ends, func(end float64) bool { return end <= now })
			e.endpoint.Busy = len(e.ends)
			t.Update(&e.endpoint)
		}
		prefix := popularity.Uint64() + 1
		chosen := t.Choose(route.Request{Zone: "z", Prefix: prefix})
		if chosen == nil {
			continue
		}
		t.RecordPrefix(prefix, chosen)
		latencies = append(latencies, engines[chosen.Name].start(now, prefix))
	}
	return latencies
}

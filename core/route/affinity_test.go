package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	cached      = 40  // prefixes that an engine keeps
	prefill     = 40  // ticks to compute a prefix
	prefillHit  = 4   // ticks with the prefix cached
	decode      = 100 // ticks of the answer
	batchFactor = 8   // slots that double the time of a tick
)

// engine is a runner with a prefix cache of limited size; each running
// request slows the others down.
type engine struct {
	place route.Endpoint
	cache []uint64 // newest last
	ends  []float64
}

// start runs a request and returns its ticks to first token.
func (e *engine) start(now float64, prefix uint64) float64 {
	slow := 1 + float64(e.place.Busy)/batchFactor
	first := prefill * slow
	if i := slices.Index(e.cache, prefix); i >= 0 {
		first = prefillHit * slow
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	e.cache = e.cache[max(0, len(e.cache)-cached):]
	e.ends = append(e.ends, now+first+decode*slow)
	return first
}

// BenchmarkAffinity reports the time to first token and the cache hits for
// several weights of the prefix against load, at two loads.
func BenchmarkAffinity(b *testing.B) {
	for _, every := range []float64{6, 3.2} {
		for _, slack := range []float64{-1, 0, 0.25, 0.5, 1} {
			b.Run(fmt.Sprintf("every=%v/slack=%v", every, slack), func(b *testing.B) {
				var firsts []float64
				for b.Loop() {
					firsts = serve(every, slack)
				}
				slices.Sort(firsts)
				hits, _ := slices.BinarySearch(firsts, prefill)
				b.ReportMetric(firsts[len(firsts)/2], "p50-ticks")
				b.ReportMetric(firsts[len(firsts)*95/100], "p95-ticks")
				b.ReportMetric(float64(hits)/float64(len(firsts)), "hits")
			})
		}
	}
}

// serve sends requests with the prefixes of 200 prompts, some more common
// than others, and returns the times to first token.
func serve(every, slack float64) []float64 {
	random := rand.New(rand.NewPCG(4, 4))
	common := rand.NewZipf(random, 1.1, 5, 199)
	t := route.NewTable(1000, slack)
	engines := map[string]*engine{}
	for i := range 8 {
		e := &engine{place: route.Endpoint{Name: fmt.Sprint(i), Zone: "z", Limit: 8}}
		engines[e.place.Name] = e
		t.Add(&e.place)
	}
	var firsts []float64
	now := 0.0
	for len(firsts) < 20_000 {
		now += random.ExpFloat64() * every
		for _, e := range engines {
			e.ends = slices.DeleteFunc(e.ends, func(end float64) bool { return end <= now })
			e.place.Busy = len(e.ends)
			t.Update(&e.place)
		}
		prefix := common.Uint64() + 1
		place := t.Choose(route.Request{Zone: "z", Prefix: prefix})
		if place == nil {
			continue
		}
		t.RecordPrefix(prefix, place)
		firsts = append(firsts, engines[place.Name].start(now, prefix))
	}
	return firsts
}

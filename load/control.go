package load

import (
	"fmt"
	"io"
)

// Router metrics that the report reads.
const (
	peerBytes     = "cyclamenwinch_peer_bytes_total"
	platformCalls = "cyclamenwinch_platform_calls_total"
	cpuSeconds    = "process_cpu_seconds_total"
	residentBytes = "process_resident_memory_bytes"
	goroutines    = "go_goroutines"
	platformBytes = "cyclamenwinch_platform_bytes_total"
	bytesPerMB    = 1 << 20
	bytesPerKB    = 1 << 10
)

// Overhead is the control traffic between the routers and with the platform,
// and the resource use of the routers.
type Overhead struct {
	PlatformReads   float64          `json:"platform_reads_per_second"` // as counted by the platform
	PlatformWrites  float64          `json:"platform_writes_per_second"`
	PlatformWatches float64          `json:"platform_watches_per_second"`
	Routers         []RouterOverhead `json:"routers"`
}

// RouterOverhead is the overhead of one router.
type RouterOverhead struct {
	Router        string  `json:"router"`
	PeerKBPerSec  float64 `json:"peer_kb_per_second"` // sent and received; 0 if the metric is not exported
	PlatformKB    float64 `json:"platform_kb_per_second"`
	PlatformCalls float64 `json:"platform_calls_per_second"`
	CorePercent   float64 `json:"core_percent"`
	ResidentMB    float64 `json:"resident_mb"`
	Goroutines    float64 `json:"goroutines"`
}

func (r *Result) overhead() Overhead {
	elapsed := r.After.At.Sub(r.Before.At).Seconds()
	rate := func(before, after int64) float64 { return float64(after-before) / elapsed }
	b, a := r.Before.Platform, r.After.Platform
	c := Overhead{
		PlatformReads:   rate(b.Reads, a.Reads),
		PlatformWrites:  rate(b.Writes, a.Writes),
		PlatformWatches: rate(b.Watches, a.Watches),
	}
	for _, name := range sortedNames(r.After.Routers) {
		before, after := r.Before.Routers[name], r.After.Routers[name]
		perSecond := func(metric string) float64 { return (after.Sum(metric) - before.Sum(metric)) / elapsed }
		c.Routers = append(c.Routers, RouterOverhead{
			Router:        name,
			PeerKBPerSec:  perSecond(peerBytes) / bytesPerKB,
			PlatformKB:    perSecond(platformBytes) / bytesPerKB,
			PlatformCalls: perSecond(platformCalls),
			CorePercent:   hundredPercent * perSecond(cpuSeconds),
			ResidentMB:    after[residentBytes] / bytesPerMB,
			Goroutines:    after[goroutines],
		})
	}
	return c
}

func (c Overhead) print(w io.Writer) {
	fmt.Fprintf(w, "CONTROL\tplatform: %.1f reads, %.1f writes, %.1f watches a second\n", c.PlatformReads, c.PlatformWrites, c.PlatformWatches)
	for _, r := range c.Routers {
		fmt.Fprintf(w, "CONTROL\t%s: peers %.2f KB/s, platform %.2f KB/s in %.1f calls/s, %.1f%% of a core, %.0f MB, %.0f goroutines\n",
			r.Router, r.PeerKBPerSec, r.PlatformKB, r.PlatformCalls, r.CorePercent, r.ResidentMB, r.Goroutines)
	}
}

// Growth compares the routers' memory and goroutines in the second quarter of a
// run ([0]) with the last quarter ([1]). Values are means over all routers.
type Growth struct {
	ResidentMB [2]float64 `json:"resident_mb"`
	Goroutines [2]float64 `json:"goroutines"`
}

func (r *Result) growth() Growth {
	var g Growth
	var n [2]float64
	for _, h := range r.Resources {
		quarter := 4 * h.AtMillis / (int64(r.Plan.Seconds) * msPerSecond)
		i := 0
		switch quarter {
		case 1:
		case 3:
			i = 1
		default:
			continue
		}
		n[i]++
		g.ResidentMB[i] += h.ResidentMB
		g.Goroutines[i] += h.Goroutines
	}
	for i := range n {
		if n[i] > 0 {
			g.ResidentMB[i] /= n[i]
			g.Goroutines[i] /= n[i]
		}
	}
	return g
}

func (g Growth) print(w io.Writer) {
	fmt.Fprintf(w, "GROWTH\tmean of a router in the second and the last quarter: %.1f and %.1f MB, %.0f and %.0f goroutines\n",
		g.ResidentMB[0], g.ResidentMB[1], g.Goroutines[0], g.Goroutines[1])
}

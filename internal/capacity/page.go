package capacity

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// The counters that the page is built from.
const (
	peerSent         = `cyclamenwinch_peer_bytes_total{direction="sent"}`
	peerReceived     = `cyclamenwinch_peer_bytes_total{direction="received"}`
	platformSent     = `cyclamenwinch_platform_bytes_total{direction="sent"}`
	platformReceived = `cyclamenwinch_platform_bytes_total{direction="received"}`
	heartbeatsSent   = `cyclamenwinch_control_messages_total{kind="heartbeat",direction="sent"}`
	admissionSent    = `cyclamenwinch_control_messages_total{kind="admission",direction="sent"}`
	usageBytes       = "cyclamenwinch_usage_bytes_sent_total"
	usageRecords     = "cyclamenwinch_usage_records_sent_total"
)

// Control returns the bytes a second that a mean router sends or receives
// for control, whichever is more.
func (s Sample) Control() float64 {
	return max(s.Rates[peerSent]+s.Rates[platformSent], s.Rates[peerReceived]+s.Rates[platformReceived])
}

// Summary returns the sample on one line.
func (s Sample) Summary() string {
	return fmt.Sprintf("%-13s %3d routers %5d accounts %6d endpoints: %7.0f B/s, core %.2f%%, %3.0f MB, platform %5.1f reads/s %5.1f writes/s, %d requests, %d orders, in force after %.1f s",
		s.Label, s.Routers, s.Accounts, s.Endpoints, s.Control(), 100*s.Core, s.MemoryMB, s.Reads, s.Writes, s.Requests, s.Orders, s.InForce)
}

// Renew puts the samples' and benchmarks' figures and the sums into the page
// between its markers, and draws the plots.
func Renew(samples, bench, page, plots string) error {
	all, err := Read(samples)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(bench)
	if err != nil {
		return errors.Wrap(err, "benchmarks")
	}
	f := figures{samples: all, bench: parseBench(string(text))}
	old, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	renewed := string(old)
	for name, table := range f.tables() {
		if renewed, err = replace(renewed, name, table); err != nil {
			return err
		}
	}
	if err := os.WriteFile(page, []byte(renewed), 0o644); err != nil {
		return errors.Wrap(err, "page")
	}
	return plotAll(plots, all)
}

// replace puts a table between the markers of its name.
func replace(page, name, table string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", errors.Newf("the page has no markers for %s", name)
	}
	return before + begin + table + end + after, nil
}

var benchLine = regexp.MustCompile(`(?m)^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op`)

// parseBench returns nanoseconds by benchmark.
func parseBench(text string) map[string]float64 {
	found := map[string]float64{}
	for _, m := range benchLine.FindAllStringSubmatch(text, -1) {
		found[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return found
}

// table writes rows in Markdown.
type table struct{ b strings.Builder }

func newTable(heads ...string) *table {
	t := &table{}
	t.row(heads...)
	rules := make([]string, len(heads))
	for i := range rules {
		rules[i] = "---"
	}
	t.row(rules...)
	return t
}

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func num(format string, value float64) string { return fmt.Sprintf(format, value) }

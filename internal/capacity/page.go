package capacity

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// The counters that the tables use, as /metrics names them.
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

// ControlBytesPerSecond returns the control traffic of a router, averaged over the
// fleet: the bytes sent or the bytes received, whichever is more.
func (s Sample) ControlBytesPerSecond() float64 {
	return max(s.Rates[peerSent]+s.Rates[platformSent], s.Rates[peerReceived]+s.Rates[platformReceived])
}

// Summary formats the sample as one line of text.
func (s Sample) Summary() string {
	return fmt.Sprintf("%-13s %3d routers %5d accounts %6d endpoints: %7.0f B/s, core %.2f%%, %3.0f MB, platform %5.1f reads/s %5.1f writes/s, %d requests, %d orders, in force after %.1f s",
		s.Label, s.Routers, s.Accounts, s.Endpoints, s.ControlBytesPerSecond(), 100*s.Cores, s.MemoryMB, s.PlatformReads, s.PlatformWrites, s.Requests, s.Orders, s.PropagationSeconds)
}

// UpdatePage replaces the tables between the markers of the page by new ones, which
// it computes from the files of samples and of benchmark results. It also draws the
// plots in the directory plots.
func UpdatePage(samples, bench, page, plots string) error {
	all, err := Read(samples)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(bench)
	if err != nil {
		return errors.Wrap(err, "read benchmark results")
	}
	f := figures{samples: all, bench: parseBench(string(text))}
	old, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	updated := string(old)
	for name, table := range f.tables() {
		if updated, err = replaceTable(updated, name, table); err != nil {
			return err
		}
	}
	if err := os.WriteFile(page, []byte(updated), 0o644); err != nil {
		return errors.Wrap(err, "write page")
	}
	return plotAll(plots, all)
}

// replaceTable returns the page with the text between the begin and end markers of
// the named table replaced.
func replaceTable(page, name, table string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", errors.Newf("page has no begin and end markers for table %s", name)
	}
	return before + begin + table + end + after, nil
}

var benchLine = regexp.MustCompile(`(?m)^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op`)

// parseBench parses the output of go test -bench. It returns the nanoseconds per
// operation by benchmark name, without the prefix Benchmark and the number of CPUs.
func parseBench(text string) map[string]float64 {
	durations := map[string]float64{}
	for _, m := range benchLine.FindAllStringSubmatch(text, -1) {
		durations[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return durations
}

// table builds a Markdown table.
type table struct{ b strings.Builder }

func newTable(headers ...string) *table {
	t := &table{}
	t.row(headers...)
	separators := make([]string, len(headers))
	for i := range separators {
		separators[i] = "---"
	}
	t.row(separators...)
	return t
}

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func num(format string, value float64) string { return fmt.Sprintf(format, value) }

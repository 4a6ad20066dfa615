package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	msPerSecond       = 1000.0
	hundredPercent    = 100.0
)

// Phase is a part of a run, defined by the state of the zone that moves.
type Phase string

// Phases of a run.
const (
	PhaseBefore   Phase = "before"
	PhaseZoneOut  Phase = "zone out"
	PhaseZoneBack Phase = "zone back"
)

// Report holds the four measures that the users require of a run (fairness gap,
// utilisation, service and control overhead) and further details.
type Report struct {
	Policy        Policy           `json:"policy"`
	Seed          uint64           `json:"seed"`
	Seconds       float64          `json:"seconds"`
	Requests      int              `json:"requests"`
	Gap           Gap              `json:"gap"`
	MaxGapToBound float64          `json:"gap_of_bound"` // largest ratio of a pair's gap to its bound
	Utilisation   []PhaseUse       `json:"utilisation"`
	Service       []PhaseService   `json:"service"`
	Overhead      Overhead         `json:"control"`
	Growth        Growth           `json:"growth"`
	Accounts      []AccountService `json:"accounts"`
	Move          *MoveReport      `json:"zone_move,omitempty"`
	Outcomes      map[Outcome]int  `json:"ends"`
	Codes         map[int]int      `json:"codes"` // result codes of refusals and failures
	Use           []UsePoint       `json:"use"`
}

// PhaseUse is the slot utilisation in a phase while requests were waiting.
type PhaseUse struct {
	Phase         Phase   `json:"phase"`
	Percent       float64 `json:"percent"`
	BackloggedSec float64 `json:"backlogged_seconds"`
}

// UsePoint is the slot utilisation at one time.
type UsePoint struct {
	AtMillis int64   `json:"at_ms"`
	Percent  float64 `json:"percent"`
	Waiting  bool    `json:"waiting"`
}

// PhaseService is the service that a group of client accounts received in a
// phase.
type PhaseService struct {
	Phase    Phase           `json:"phase"`
	Group    string          `json:"group"` // "flooding" or "others"
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"ends"`
	FirstMs  Percentiles     `json:"first_token_ms"`
}

// Percentiles holds percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// AccountService is the service that one client account received.
type AccountService struct {
	Account      string          `json:"account"`
	Share        float64         `json:"share"`
	Flood        bool            `json:"flood"`
	Cost         float64         `json:"cost"` // tokens received, prompt tokens included
	CostPerShare float64         `json:"cost_per_share"`
	FirstMs      Percentiles     `json:"first_token_ms"`
	Outcomes     map[Outcome]int `json:"ends"`
}

// MoveReport describes the effects of a zone move.
type MoveReport struct {
	Zone               string  `json:"zone"`
	OutAtSec           float64 `json:"out_at_seconds"`
	BackAtSec          float64 `json:"back_at_seconds"`
	LastBusyMs         int64   `json:"last_busy_ms"`    // last time a runner of the zone was busy, since the change was accepted; includes requests in progress at the change
	TruncatedSinceMove int     `json:"cut_while_moved"` // incomplete responses and failed connections of requests sent after the change
}

// NewReport computes the measures of a run.
func NewReport(r *Result) *Report {
	report := &Report{
		Policy:   r.Policy,
		Seed:     r.Plan.Seed,
		Seconds:  r.Elapsed.Seconds(),
		Requests: len(r.Records),
		Outcomes: map[Outcome]int{},
		Codes:    map[int]int{},
	}
	measured := r.measuredSamples()
	shares := map[string]float64{}
	for _, a := range r.Plan.Accounts {
		shares[a.Name] = a.Share
	}
	report.Gap = FairnessGap(measured, shares)
	report.MaxGapToBound = report.Gap.SetBounds(r.Plan.largestCost(), r.peakConcurrency(), shares)
	report.Utilisation, report.Use = r.utilisation(measured)
	report.Service = r.service()
	report.Accounts = r.accounts()
	report.Overhead = r.overhead()
	report.Growth = r.growth()
	report.Move = r.zoneMove()
	for _, record := range r.Records {
		report.Outcomes[record.Outcome]++
		if record.Code != 0 {
			report.Codes[record.Code]++
		}
	}
	return report
}

// peakConcurrency returns the largest number of concurrent requests of each
// account, where a request counts from its first token to its end.
func (r *Result) peakConcurrency() map[string]int {
	type edge struct {
		at    float64
		delta int
	}
	edges := map[string][]edge{}
	for _, record := range r.Records {
		if record.FirstMillis > 0 {
			at := float64(record.AtMillis)
			edges[record.Account] = append(edges[record.Account], edge{at + record.FirstMillis, 1}, edge{at + record.TotalMillis, -1})
		}
	}
	peak := map[string]int{}
	for account, list := range edges {
		sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
		n := 0
		for _, e := range list {
			n += e.delta
			peak[account] = max(peak[account], n)
		}
	}
	return peak
}

// measuredSamples returns the samples between the end of the warm-up and the end
// of arrivals.
func (r *Result) measuredSamples() []Sample {
	var kept []Sample
	for _, s := range r.Samples {
		if s.AtMillis >= int64(r.Plan.WarmupSecs)*1000 && s.AtMillis < int64(r.Plan.Seconds)*1000 {
			kept = append(kept, s)
		}
	}
	return kept
}

func (r *Result) phase(atMillis int64) Phase {
	switch {
	case r.OutAt == 0 || atMillis < r.OutAt.Milliseconds():
		return PhaseBefore
	case r.BackAt == 0 || atMillis < r.BackAt.Milliseconds():
		return PhaseZoneOut
	}
	return PhaseZoneBack
}

// utilisation returns the slots in use, as reported by the runners. The values by
// phase include only samples in which an account was backlogged.
func (r *Result) utilisation(samples []Sample) ([]PhaseUse, []UsePoint) {
	used, slots, n := map[Phase]int{}, map[Phase]int{}, map[Phase]int{}
	var points []UsePoint
	for _, s := range samples {
		phase := r.phase(s.AtMillis)
		running, all := r.inUse(s, phase)
		waiting := len(s.Backlogged) > 0
		points = append(points, UsePoint{AtMillis: s.AtMillis, Percent: percent(running, all), Waiting: waiting})
		if waiting {
			used[phase] += running
			slots[phase] += all
			n[phase]++
		}
	}
	var out []PhaseUse
	for _, phase := range []Phase{PhaseBefore, PhaseZoneOut, PhaseZoneBack} {
		if n[phase] > 0 {
			out = append(out, PhaseUse{Phase: phase, Percent: percent(used[phase], slots[phase]), BackloggedSec: float64(n[phase]) * sampleInterval.Seconds()})
		}
	}
	return out, points
}

// inUse returns the running requests and the slots of the runners that may
// receive new requests; these exclude the runners of a zone that is out.
func (r *Result) inUse(s Sample, phase Phase) (running, slots int) {
	for _, m := range r.Plan.Fleet.Models {
		if phase == PhaseZoneOut && m.Zone == r.Plan.Move.Zone {
			continue
		}
		running += min(s.Running[m.Name], m.Slots)
		slots += m.Slots
	}
	return running, slots
}

func (r *Result) service() []PhaseService {
	flooding := map[string]bool{}
	for _, a := range r.Plan.Accounts {
		flooding[a.Name] = a.Flood
	}
	var out []PhaseService
	for _, phase := range []Phase{PhaseBefore, PhaseZoneOut, PhaseZoneBack} {
		for _, group := range []string{"others", "flooding"} {
			s := PhaseService{Phase: phase, Group: group, Outcomes: map[Outcome]int{}}
			h := newHistogram()
			for _, record := range r.modelRecords() {
				if r.phase(record.AtMillis) == phase && flooding[record.Account] == (group == "flooding") {
					s.Sent++
					s.Outcomes[record.Outcome]++
					h.add(record)
				}
			}
			s.FirstMs = h.percentiles()
			if s.Sent > 0 {
				out = append(out, s)
			}
		}
	}
	return out
}

// modelRecords returns the records of model requests sent after the warm-up.
func (r *Result) modelRecords() []Record {
	var kept []Record
	for _, record := range r.Records {
		if record.Key == "" && record.AtMillis >= int64(r.Plan.WarmupSecs)*1000 {
			kept = append(kept, record)
		}
	}
	return kept
}

func (r *Result) accounts() []AccountService {
	var out []AccountService
	first, last := map[string]float64{}, map[string]float64{}
	if measured := r.measuredSamples(); len(measured) > 0 {
		first, last = measured[0].Service, measured[len(measured)-1].Service
	}
	for _, a := range r.Plan.Accounts {
		s := AccountService{Account: a.Name, Share: a.Share, Flood: a.Flood, Cost: last[a.Name] - first[a.Name], Outcomes: map[Outcome]int{}}
		s.CostPerShare = s.Cost / a.Share
		h := newHistogram()
		for _, record := range r.modelRecords() {
			if record.Account == a.Name {
				s.Outcomes[record.Outcome]++
				h.add(record)
			}
		}
		s.FirstMs = h.percentiles()
		out = append(out, s)
	}
	return out
}

// zoneMove determines how long the runners of the moved zone stayed busy and
// counts incomplete responses and failed connections since the zone went out.
func (r *Result) zoneMove() *MoveReport {
	if r.OutAt == 0 {
		return nil
	}
	m := &MoveReport{Zone: r.Plan.Move.Zone, OutAtSec: r.OutAt.Seconds(), BackAtSec: r.BackAt.Seconds()}
	for _, s := range r.Samples {
		if r.phase(s.AtMillis) != PhaseZoneOut {
			continue
		}
		for _, runner := range r.Plan.Fleet.Models {
			if runner.Zone == m.Zone && s.Running[runner.Name] > 0 {
				m.LastBusyMs = s.AtMillis - r.OutAt.Milliseconds()
			}
		}
	}
	for _, record := range r.Records {
		if (record.Outcome == Truncated || record.Outcome == ConnectionFailed) && r.phase(record.AtMillis) != PhaseBefore {
			m.TruncatedSinceMove++
		}
	}
	return m
}

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxMicros, significantDigits)}
}

func (h histogram) add(r Record) {
	if r.FirstMillis > 0 {
		// The range covers the longest run and values are capped at its end, so
		// RecordValue can't fail.
		_ = h.h.RecordValue(min(maxMicros, int64(r.FirstMillis*msPerSecond)))
	}
}

func (h histogram) percentiles() Percentiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / msPerSecond }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return hundredPercent * float64(part) / float64(whole)
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "RUN\tagainst %s, seed %d, %.0f s, %d requests, ends %v, codes %v\n", r.Policy, r.Seed, r.Seconds, r.Requests, r.Outcomes, r.Codes)
	fmt.Fprintf(w, "GAP\t%.0f cost units over share, %s, from %.1f s to %.1f s; %.0f pair-seconds compared; at most %.2f of the bound\n",
		r.Gap.Cost, r.Gap.Accounts, seconds(r.Gap.FromMillis), seconds(r.Gap.ToMillis), r.Gap.PairSeconds, r.MaxGapToBound)
	for _, u := range r.Utilisation {
		fmt.Fprintf(w, "UTILISATION\t%s: %.1f%% of the slots while work waited (%.0f s)\n", u.Phase, u.Percent, u.BackloggedSec)
	}
	for _, s := range r.Service {
		fmt.Fprintf(w, "SERVICE\t%s, %s: %d sent, %v, first token p50 %.0f p95 %.0f p99 %.0f ms\n", s.Phase, s.Group, s.Sent, s.Outcomes, s.FirstMs.P50, s.FirstMs.P95, s.FirstMs.P99)
	}
	if r.Move != nil {
		fmt.Fprintf(w, "ZONE MOVE\t%s out at %.1f s, back at %.1f s; its runners last busy %d ms after the change; %d incomplete responses or failed connections\n",
			r.Move.Zone, r.Move.OutAtSec, r.Move.BackAtSec, r.Move.LastBusyMs, r.Move.TruncatedSinceMove)
	}
	r.Overhead.print(w)
	r.Growth.print(w)
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "ACCOUNT\t%s, share %g: %.0f cost units over share, first token p95 %.0f ms, %v\n", a.Account, a.Share, a.CostPerShare, a.FirstMs.P95, a.Outcomes)
	}
	return w.Flush()
}

func seconds(ms int64) float64 { return float64(ms) / msPerSecond }

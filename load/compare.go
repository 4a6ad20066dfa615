package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Comparison pairs a run with its baseline.
type Comparison struct {
	Gap          Pair        `json:"gap"`
	Utilisation  Pair        `json:"utilisation_percent"` // before a zone moves
	FirstTokenMs Pair        `json:"first_token_p95_ms"`  // of the accounts that don't flood
	Worst        AccountPair `json:"worst_account"`       // largest ratio of first token p95
	Served       Pair        `json:"whole_answers"`
	CutAnswers   Pair        `json:"cut_answers"`
}

// Pair is one figure of both runs.
type Pair struct {
	Run      float64 `json:"run"`
	Baseline float64 `json:"baseline"`
	Ratio    float64 `json:"ratio"` // run over baseline; 0: the baseline is 0
}

// AccountPair is a figure of one client account in both runs.
type AccountPair struct {
	Account string `json:"account"`
	Pair
}

// ReadReport reads a report.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	var r Report
	return &r, errors.Wrap(json.Unmarshal(data, &r), "read report")
}

// Compare pairs a run with its baseline.
func Compare(run, baseline *Report) Comparison {
	c := Comparison{
		Gap:          pairOf(run.Gap.Cost, baseline.Gap.Cost),
		Utilisation:  pairOf(run.used(), baseline.used()),
		FirstTokenMs: pairOf(run.firstToken(), baseline.firstToken()),
		Served:       pairOf(float64(run.Outcomes[Completed]), float64(baseline.Outcomes[Completed])),
		CutAnswers:   pairOf(float64(run.Outcomes[Truncated]), float64(baseline.Outcomes[Truncated])),
	}
	for i, a := range run.Accounts {
		if i >= len(baseline.Accounts) || baseline.Accounts[i].Account != a.Account {
			continue
		}
		p := pairOf(a.FirstMs.P95, baseline.Accounts[i].FirstMs.P95)
		if p.Ratio > c.Worst.Ratio && !a.Flood && !baseline.Accounts[i].Flood {
			c.Worst = AccountPair{Account: a.Account, Pair: p}
		}
	}
	return c
}

func (r *Report) used() float64 {
	for _, u := range r.Utilisation {
		if u.Phase == Before {
			return u.Percent
		}
	}
	return 0
}

func (r *Report) firstToken() float64 {
	for _, s := range r.Service {
		if s.Phase == Before && s.Group == "others" {
			return s.FirstMs.P95
		}
	}
	return 0
}

func pairOf(run, baseline float64) Pair {
	p := Pair{Run: run, Baseline: baseline}
	if baseline != 0 {
		p.Ratio = math.Round(1000*run/baseline) / 1000
	}
	return p
}

// Print writes the comparison as text.
func (c Comparison) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(name string, p Pair) {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.3f\n", name, p.Run, p.Baseline, p.Ratio)
	}
	fmt.Fprintln(w, "MEASURE\tRUN\tBASELINE\tRATIO")
	line("fairness gap, cost units over share", c.Gap)
	line("utilisation while work waits, %", c.Utilisation)
	line("first token p95 of the others, ms", c.FirstTokenMs)
	line("worst account's first token p95, ms: "+c.Worst.Account, c.Worst.Pair)
	line("whole answers", c.Served)
	line("answers cut", c.CutAnswers)
	return w.Flush()
}

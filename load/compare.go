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

// Comparison compares the measures of a run with those of a baseline.
type Comparison struct {
	Gap                Pair        `json:"gap"`
	Utilisation        Pair        `json:"utilisation_percent"` // before the zone moves
	FirstTokenMs       Pair        `json:"first_token_p95_ms"`  // of accounts that don't flood, before the zone moves
	WorstAccount       AccountPair `json:"worst_account"`       // account with the largest ratio of first token p95
	CompletedResponses Pair        `json:"whole_answers"`
	TruncatedResponses Pair        `json:"cut_answers"`
}

// Pair is the value of one measure in the run and in the baseline.
type Pair struct {
	Run      float64 `json:"run"`
	Baseline float64 `json:"baseline"`
	Ratio    float64 `json:"ratio"` // run divided by baseline; 0 if the baseline is 0
}

// AccountPair is the value of one measure of a client account in both runs.
type AccountPair struct {
	Account string `json:"account"`
	Pair
}

// ReadReport reads a report from a JSON file.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	var r Report
	return &r, errors.Wrap(json.Unmarshal(data, &r), "read report")
}

// Compare returns the comparison of a run with a baseline.
func Compare(run, baseline *Report) Comparison {
	c := Comparison{
		Gap:                pairOf(run.Gap.Cost, baseline.Gap.Cost),
		Utilisation:        pairOf(run.utilisationBefore(), baseline.utilisationBefore()),
		FirstTokenMs:       pairOf(run.firstTokenP95(), baseline.firstTokenP95()),
		CompletedResponses: pairOf(float64(run.Outcomes[Completed]), float64(baseline.Outcomes[Completed])),
		TruncatedResponses: pairOf(float64(run.Outcomes[Truncated]), float64(baseline.Outcomes[Truncated])),
	}
	for i, a := range run.Accounts {
		if i >= len(baseline.Accounts) || baseline.Accounts[i].Account != a.Account {
			continue
		}
		p := pairOf(a.FirstMs.P95, baseline.Accounts[i].FirstMs.P95)
		if p.Ratio > c.WorstAccount.Ratio && !a.Flood && !baseline.Accounts[i].Flood {
			c.WorstAccount = AccountPair{Account: a.Account, Pair: p}
		}
	}
	return c
}

func (r *Report) utilisationBefore() float64 {
	for _, u := range r.Utilisation {
		if u.Phase == PhaseBefore {
			return u.Percent
		}
	}
	return 0
}

func (r *Report) firstTokenP95() float64 {
	for _, s := range r.Service {
		if s.Phase == PhaseBefore && s.Group == "others" {
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
	line("worst account's first token p95, ms: "+c.WorstAccount.Account, c.WorstAccount.Pair)
	line("complete responses", c.CompletedResponses)
	line("incomplete responses", c.TruncatedResponses)
	return w.Flush()
}

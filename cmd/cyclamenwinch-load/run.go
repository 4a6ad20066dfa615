package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/load"
)

const dirMode = 0o755

type runCommand struct {
	Against string `long:"against" default:"routers" choice:"routers" choice:"fcfs" choice:"round-robin" description:"the fleet's routers, or a baseline in their place"`
	Report  string `long:"report" description:"file for the report as JSON"`
	Log     string `long:"log" description:"file for the callers' log, one JSON line for each request"`
	Args    struct {
		Plan string `positional-arg-name:"plan.json" required:"yes"`
	} `positional-args:"yes"`
}

// Execute runs the plan and prints the report.
func (c *runCommand) Execute([]string) error {
	plan, err := load.ReadPlan(c.Args.Plan)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.Run(ctx, plan, load.Policy(c.Against), os.Stderr)
	if err != nil {
		return err
	}
	report := load.NewReport(result)
	if err := c.write(report, result.Records); err != nil {
		return err
	}
	return report.Print(os.Stdout)
}

// write writes the report and the callers' log to the files that are set.
func (c *runCommand) write(report *load.Report, records []load.Record) error {
	if c.Report != "" {
		if err := load.WriteJSON(c.Report, report); err != nil {
			return err
		}
	}
	if c.Log == "" {
		return nil
	}
	file, err := os.Create(c.Log)
	if err != nil {
		return errors.Wrap(err, "create callers' log")
	}
	defer file.Close()
	return load.WriteRecords(file, records)
}

type compareCommand struct {
	Args struct {
		Run      string `positional-arg-name:"run.json" required:"yes"`
		Baseline string `positional-arg-name:"baseline.json" required:"yes"`
	} `positional-args:"yes"`
}

// Execute compares the two reports and prints the result.
func (c *compareCommand) Execute([]string) error {
	run, err := load.ReadReport(c.Args.Run)
	if err != nil {
		return err
	}
	baseline, err := load.ReadReport(c.Args.Baseline)
	if err != nil {
		return err
	}
	return load.Compare(run, baseline).Print(os.Stdout)
}

type plotCommand struct {
	Dir  string `long:"dir" default:"." description:"directory for gap.png and use.png"`
	Args struct {
		Reports []string `positional-arg-name:"report.json" required:"1"`
	} `positional-args:"yes"`
}

// Execute draws the reports into gap.png and use.png.
func (c *plotCommand) Execute([]string) error {
	var reports []*load.Report
	for _, path := range c.Args.Reports {
		r, err := load.ReadReport(path)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	if err := load.PlotGap(filepath.Join(c.Dir, "gap.png"), reports); err != nil {
		return err
	}
	return load.PlotUse(filepath.Join(c.Dir, "use.png"), reports)
}

type checkCommand struct {
	Plan string `long:"plan" required:"true" description:"plan that names the fleet"`
	Args struct {
		Logs []string `positional-arg-name:"callers.jsonl" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints every violated guarantee and fails if there is one.
func (c *checkCommand) Execute([]string) error {
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	var records []load.Record
	for _, path := range c.Args.Logs {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open callers' log")
		}
		fileRecords, err := load.ReadRecords(file)
		file.Close()
		if err != nil {
			return err
		}
		records = append(records, fileRecords...)
	}
	evidence, err := load.ReadEvidence(context.Background(), plan.Fleet, records)
	if err != nil {
		return err
	}
	violations := evidence.Check()
	for _, v := range violations {
		fmt.Printf("BROKEN: %s: %s\n", v.Guarantee, v.Detail)
	}
	if len(violations) > 0 {
		return errors.Newf("%d guarantees violated", len(violations))
	}
	fmt.Printf("No promise broken: %d requests, %d orders executed, %d recorded, %d generations.\n",
		len(records), len(evidence.Executions), len(evidence.Ledger), len(evidence.Generations))
	return nil
}

// Command cyclamenwinch-capacity measures the control overhead of a fleet on the
// loopback interface and updates the tables and plots of docs/CAPACITY.md. It is a
// measurement tool that is run by scripts/capacity.sh.
package main

import (
	"fmt"
	"os"
	"strings"

	flag "github.com/jessevdk/go-flags"

	"github.com/cyclamenwinch/cyclamenwinch/internal/capacity"
)

type layoutCommand struct {
	capacity.FleetSize
	Dir     string `long:"dir" required:"yes"`
	Example string `long:"example" default:"examples/nile-perch"`
	Base    int    `long:"base-port" default:"23000"`
}

// Execute writes the files of a fleet and the command lines of its processes.
func (c *layoutCommand) Execute([]string) error {
	if err := capacity.WriteLayout(c.Dir, c.Example, c.FleetSize, c.Base); err != nil {
		return err
	}
	standins, routers, err := capacity.CommandLines(c.Dir)
	if err != nil {
		return err
	}
	if err := writeLines(c.Dir+"/standins", standins); err != nil {
		return err
	}
	return writeLines(c.Dir+"/routers", routers)
}

type startCommand struct {
	Dir string `long:"dir" required:"yes"`
}

// Execute submits the manifest and waits until it is in force at all routers.
func (c *startCommand) Execute([]string) error { return capacity.SubmitAndWait(c.Dir) }

type measureCommand struct {
	capacity.FleetSize
	capacity.Workload
	Dir  string `long:"dir" required:"yes"`
	Out  string `long:"out" required:"yes" description:"JSON lines to append to"`
	Args struct {
		PIDs []int `positional-arg-name:"pid" required:"1"`
	} `positional-args:"yes"`
}

// Execute measures one window, prints a summary and appends the sample to the
// output file.
func (c *measureCommand) Execute([]string) error {
	s, err := capacity.MeasureWindow(c.Dir, c.FleetSize, c.Workload, c.Args.PIDs)
	if err != nil {
		return err
	}
	fmt.Println(s.Summary())
	return capacity.Append(c.Out, s)
}

type pageCommand struct {
	Samples string `long:"samples" required:"yes"`
	Bench   string `long:"bench" required:"yes" description:"output of go test -bench"`
	Page    string `long:"page" default:"docs/CAPACITY.md"`
	Plots   string `long:"plots" default:"docs/capacity"`
}

// Execute updates the tables and plots of the page.
func (c *pageCommand) Execute([]string) error {
	return capacity.UpdatePage(c.Samples, c.Bench, c.Page, c.Plots)
}

func main() {
	parser := flag.NewParser(nil, flag.Default)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, "", command); err != nil {
			panic(err)
		}
	}
	add("layout", "write settings, manifest and command lines of a fleet", &layoutCommand{})
	add("start", "submit the manifest and wait for the fleet", &startCommand{})
	add("measure", "measure one window", &measureCommand{})
	add("page", "renew the tables and plots of the page", &pageCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

func writeLines(path string, lines []string) error {
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

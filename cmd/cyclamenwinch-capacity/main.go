// Command cyclamenwinch-capacity measures what a fleet on loopback spends on
// control and renews the tables and plots of docs/CAPACITY.md. It is for
// measurements only; scripts/capacity.sh runs it.
package main

import (
	"fmt"
	"os"
	"strings"

	flag "github.com/jessevdk/go-flags"

	"github.com/cyclamenwinch/cyclamenwinch/internal/capacity"
)

type layoutCommand struct {
	capacity.Size
	Dir     string `long:"dir" required:"yes"`
	Example string `long:"example" default:"examples/nile-perch"`
	Base    int    `long:"base-port" default:"23000"`
}

// Execute writes the files of a fleet and prints nothing.
func (c *layoutCommand) Execute([]string) error {
	if err := capacity.Layout(c.Dir, c.Example, c.Size, c.Base); err != nil {
		return err
	}
	standins, routers, err := capacity.Processes(c.Dir)
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

// Execute submits the manifest and waits for the fleet.
func (c *startCommand) Execute([]string) error { return capacity.Start(c.Dir) }

type measureCommand struct {
	capacity.Size
	capacity.Work
	Dir  string `long:"dir" required:"yes"`
	Out  string `long:"out" required:"yes" description:"JSON lines to append to"`
	Args struct {
		PIDs []int `positional-arg-name:"pid" required:"1"`
	} `positional-args:"yes"`
}

// Execute measures one window.
func (c *measureCommand) Execute([]string) error {
	s, err := capacity.Observe(c.Dir, c.Size, c.Work, c.Args.PIDs)
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

// Execute renews the tables and plots.
func (c *pageCommand) Execute([]string) error {
	return capacity.Renew(c.Samples, c.Bench, c.Page, c.Plots)
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

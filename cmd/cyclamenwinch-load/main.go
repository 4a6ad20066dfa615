// Command cyclamenwinch-load generates load as callers do, measures a fleet and
// checks its guarantees from outside. It is for tests, demos and measurements
// only.
package main

import (
	"os"

	flag "github.com/jessevdk/go-flags"
)

func main() {
	parser := flag.NewParser(nil, flag.Default)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, "", command); err != nil {
			panic(err)
		}
	}
	add("call", "send the requests of a file, each twice if it has a key", &callCommand{})
	add("layout", "write manifest, settings and plans of a fleet on loopback", &layoutCommand{})
	add("run", "send a plan's requests and report the measures", &runCommand{})
	add("compare", "compare a report with its baseline's", &compareCommand{})
	add("plot", "draw reports over time", &plotCommand{})
	add("check", "judge a fleet by callers' logs, order counts and the platform's history", &checkCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

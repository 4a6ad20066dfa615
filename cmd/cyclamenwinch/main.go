// Command cyclamenwinch is the operators' and build pipelines' tool.
package main

import (
	"os"

	flag "github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	parser := flag.NewParser(nil, flag.Default)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short, command); err != nil {
			panic(err)
		}
	}
	add("check", "check a manifest", &checkCommand{})
	add("submit", "submit a manifest", &submitCommand{})
	add("status", "show the state of a router and its fleet", &statusCommand{})
	add("wait", "wait until a generation is in force everywhere", &waitCommand{})
	add("timeline", "show the merged time line of all routers", &timelineCommand{})
	_, err := parser.Parse()
	if err == nil {
		return
	}
	if usage, ok := err.(*flag.Error); ok {
		if usage.Type == flag.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

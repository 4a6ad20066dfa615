// Command cyclamenwinch is the command line tool for operators and build
// pipelines.
//
// It prints text and tables by default, and JSON for pipelines with --json.
// The exit codes are listed in exit.go and in docs/OPERATIONS.md.
package main

import (
	"io"
	"os"

	flag "github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	a := &app{out: out}
	parser := a.parser()
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if usage, ok := err.(*flag.Error); ok {
		return reportUsage(usage, out, errs)
	}
	return a.report(err, errs)
}

// app holds the state shared by all commands.
type app struct {
	out  io.Writer
	json bool // the command runs with --json, so errors are printed as JSON too
}

// parser returns the parser with all commands.
func (a *app) parser() *flag.Parser {
	parser := flag.NewNamedParser("cyclamenwinch", flag.HelpFlag|flag.PassDoubleDash)
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
	return parser
}

// command describes a subcommand; data holds its options and implements Execute.
type command struct {
	name, short, long string
	data              any
}

func (a *app) commands() []command {
	return []command{
		{"check", "check a manifest", "Check a manifest file and name every fault. Nothing is sent.", &checkCommand{app: a}},
		{"submit", "submit a manifest", "Check a manifest file and store it as the next generation. A file that names a generation is refused if another one is stored.", &submitCommand{app: a}},
		{"diff", "compare a manifest with the stored one", "Show what submitting the file would change.", &diffCommand{app: a}},
		{"wait", "wait until a generation is in force everywhere", "Wait until every router reports the generation or a higher one.", &waitCommand{app: a}},
		{"status", "show the state of the fleet", "Show the members, generations, service, endpoints and queues. Routers that don't answer are named.", &statusCommand{app: a}},
		{"timeline", "show the merged time line of all routers", "Show the events of all routers in one order. Routers that don't answer are named.", &timelineCommand{app: a}},
		{"explain", "tell why a request went where it went", "Tell from the time line of all routers what happened to a request, or why it was refused.", &explainCommand{app: a}},
		{"orders", "look up, list or settle orders", "Look up an order by client account and key, list the orders of unknown outcome, or settle one of these.", &ordersCommand{app: a}},
		{"quarantine", "list or lift quarantined requests", "List the requests that crashed endpoints, or let one through again at every router.", &quarantineCommand{app: a}},
		{"schema", "print a JSON Schema", "Print the JSON Schema of the manifest or of the daemon's settings.", &schemaCommand{app: a}},
		{"completion", "print the shell completion for bash", "Print a script that completes commands and options in bash: source <(cyclamenwinch completion).", &completionCommand{app: a}},
		{"version", "print the version", "Print the version of this tool.", &versionCommand{app: a}},
	}
}

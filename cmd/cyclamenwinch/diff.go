package main

import (
	"context"
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

// Differences is the JSON output of diff.
type Differences struct {
	Generation  int64                 `json:"generation"` // stored; 0: none
	Differences []manifest.Difference `json:"differences"`
}

type diffCommand struct {
	app *app
	jsonOption
	platformOption
	ExitCode bool    `long:"exit-code" description:"end with exit code 10 if there are differences"`
	Args     fileArg `positional-args:"yes"`
}

// Execute shows what submitting the file would change.
func (c *diffCommand) Execute([]string) error {
	c.app.json = c.JSON
	next, err := readManifest(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	stored, _, err := submit.Current(ctx, platform.New(c.Platform))
	if err != nil {
		return err
	}
	d := Differences{Generation: stored.Generation, Differences: []manifest.Difference{}}
	d.Differences = append(d.Differences, manifest.Diff(stored, next)...)
	if err := c.app.print(c.JSON, d, func() { c.show(d) }); err != nil {
		return err
	}
	if c.ExitCode && len(d.Differences) > 0 {
		return errDifferent{}
	}
	return nil
}

func (c *diffCommand) show(d Differences) {
	for _, x := range d.Differences {
		fmt.Fprintln(c.app.out, x)
	}
	fmt.Fprintf(c.app.out, "%d differences from the stored generation %d.\n", len(d.Differences), d.Generation)
}

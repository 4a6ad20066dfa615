package main

import (
	"context"
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

// DiffOutput is the JSON output of diff.
type DiffOutput struct {
	Generation  int64                 `json:"generation"` // stored generation; 0: none is stored
	Differences []manifest.Difference `json:"differences"`
}

type diffCommand struct {
	app *app
	jsonOption
	platformOption
	ExitCode bool    `long:"exit-code" description:"end with exit code 10 if there are differences"`
	Args     fileArg `positional-args:"yes"`
}

// Execute prints the differences between the stored manifest and the file.
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
	d := DiffOutput{Generation: stored.Generation, Differences: []manifest.Difference{}}
	d.Differences = append(d.Differences, manifest.Diff(stored, next)...)
	if err := c.app.print(c.JSON, d, func() { c.show(d) }); err != nil {
		return err
	}
	if c.ExitCode && len(d.Differences) > 0 {
		return errDifferences{}
	}
	return nil
}

func (c *diffCommand) show(d DiffOutput) {
	for _, x := range d.Differences {
		fmt.Fprintln(c.app.out, x)
	}
	fmt.Fprintf(c.app.out, "%d differences from the stored generation %d.\n", len(d.Differences), d.Generation)
}

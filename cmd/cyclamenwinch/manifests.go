package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

// callTimeout bounds the duration of a command that does not wait for a
// condition.
const callTimeout = 10 * time.Second

type fileArg struct {
	File string `positional-arg-name:"manifest.json" required:"yes"`
}

type jsonOption struct {
	JSON bool `long:"json" description:"print JSON for pipelines"`
}

type platformOption struct {
	Platform string `long:"platform" env:"CYCLAMENWINCH_PLATFORM" required:"true" description:"address of the platform's object API"`
}

// CheckOutput is the JSON output of check.
type CheckOutput struct {
	Valid  bool             `json:"valid"`
	Faults []manifest.Fault `json:"faults"`
}

type checkCommand struct {
	app *app
	jsonOption
	Args fileArg `positional-args:"yes"`
}

// Execute validates a manifest file. Its faults are returned as an error.
func (c *checkCommand) Execute([]string) error {
	c.app.json = c.JSON
	if _, err := readManifest(c.Args.File); err != nil {
		return err
	}
	return c.app.print(c.JSON, CheckOutput{Valid: true, Faults: []manifest.Fault{}}, func() {
		fmt.Fprintln(c.app.out, "The manifest is right.")
	})
}

// SubmitOutput is the JSON output of submit.
type SubmitOutput struct {
	Generation int64 `json:"generation"`
}

type submitCommand struct {
	app *app
	jsonOption
	platformOption
	Args fileArg `positional-args:"yes"`
}

// Execute validates a manifest file and stores it as the next generation.
func (c *submitCommand) Execute([]string) error {
	c.app.json = c.JSON
	m, err := readManifest(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	generation, err := submit.Submit(ctx, platform.New(c.Platform), m)
	if err != nil {
		return err
	}
	return c.app.print(c.JSON, SubmitOutput{Generation: generation}, func() {
		fmt.Fprintf(c.app.out, "Accepted as generation %d.\n", generation)
	})
}

func readManifest(file string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, code.Refuse(code.BadManifest, err.Error())
	}
	return submit.Parse(data)
}

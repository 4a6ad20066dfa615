package main

import (
	"fmt"
	"runtime/debug"

	"github.com/cyclamenwinch/cyclamenwinch/internal/schema"
)

type schemaCommand struct {
	app  *app
	Args struct {
		Name string `positional-arg-name:"manifest|settings" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the JSON Schema of the manifest or of the settings.
func (c *schemaCommand) Execute([]string) error {
	text, err := schema.JSON(schema.Name(c.Args.Name))
	if err != nil {
		return err
	}
	_, err = c.app.out.Write(text)
	return err
}

type versionCommand struct {
	app *app
	jsonOption
}

// VersionOutput is the JSON output of version.
type VersionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Execute prints the version, revision and Go version of the tool.
func (c *versionCommand) Execute([]string) error {
	v := buildVersion()
	return c.app.print(c.JSON, v, func() {
		fmt.Fprintf(c.app.out, "cyclamenwinch %s %s (%s)\n", v.Version, v.Revision, v.Go)
	})
}

// buildVersion returns the version and revision that the Go toolchain embedded
// in the binary.
func buildVersion() VersionOutput {
	v := VersionOutput{Version: "unknown", Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}

// completionScript lets the tool complete its own command line: go-flags prints
// the candidates when GO_FLAGS_COMPLETION is set.
const completionScript = `_cyclamenwinch() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _cyclamenwinch cyclamenwinch
`

type completionCommand struct{ app *app }

// Execute prints the completion script for bash.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.app.out, completionScript)
	return err
}

package main

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// print writes v as JSON, or calls printText to print it for people.
func (a *app) print(asJSON bool, v any, printText func()) error {
	if !asJSON {
		printText()
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows with aligned columns below a heading.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, heading ...string) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	t.row(heading...)
	return t
}

func (t *table) row(cells ...string) {
	io.WriteString(t.w, strings.Join(cells, "\t")+"\n")
}

func (t *table) flush() { t.w.Flush() }

package code

import (
	"fmt"
	"strings"
)

// Markdown returns the contents of docs/CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("The table in `core/code` is the source; a test keeps this page equal to it.\n\n")
	b.WriteString("| code | name | HTTP status | what happened | what to do next |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, i := range Table() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", i.Code, i.Name, i.Status, i.Text, i.Next)
	}
	return b.String()
}

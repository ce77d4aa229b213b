package event

import (
	"fmt"
	"strings"
)

// Table returns the catalogue as the Markdown table of docs/EVENTS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, m := range Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", m.ID, m.Name, m.Level, m.Doc)
	}
	return b.String()
}

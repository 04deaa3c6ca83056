package msrule

import (
	"io"
	"strings"
)

// Format writes the set as a rules file, grouped by kind, with one rule per line.
// Parsing the output yields the same set except for line numbers. Format returns
// the error of Check without writing anything if the set is invalid, since its
// text could parse as different rules.
func Format(w io.Writer, s Set) error {
	if err := Check(s); err != nil {
		return err
	}
	var b strings.Builder
	kind := ""
	for _, r := range s.rules() {
		if kind != "" && r.kind != kind {
			b.WriteByte('\n')
		}
		kind = r.kind
		b.WriteString(r.String() + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

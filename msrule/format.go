package msrule

import (
	"io"
	"strings"
)

// Format writes the set as a rules file: by kind, one rule a line. Parse reads
// it back as the same set, but for the line numbers. A set that Check refuses
// isn't written, since its text could read as other rules.
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

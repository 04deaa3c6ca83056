package msrule

import (
	"bufio"
	"io"
)

// Format writes the set as a rules file: by kind, one rule a line. Parse reads
// it back as the same set, but for the line numbers. A set that Check refuses
// isn't written, since its text could read as other rules.
func Format(w io.Writer, s Set) error {
	if err := Check(s); err != nil {
		return err
	}
	b := bufio.NewWriter(w)
	kind := ""
	for _, r := range s.rules() {
		if kind != "" && r.kind != kind {
			b.WriteByte('\n') //nolint:errcheck // Flush returns the error.
		}
		kind = r.kind
		b.WriteString(r.String() + "\n") //nolint:errcheck // Flush returns the error.
	}
	return b.Flush()
}

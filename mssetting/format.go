package mssetting

import (
	"io"
	"strings"
)

// Format writes all settings as a file that Parse reads back as the same,
// those at their defaults included.
func Format(w io.Writer, s Settings) error {
	var b strings.Builder
	section := ""
	for _, one := range table {
		if one.section != section {
			b.WriteString("\n[" + one.section + "]\n")
		}
		section = one.section
		b.WriteString(one.key + " = " + one.value.text(&s) + "\n")
	}
	_, err := io.WriteString(w, strings.TrimPrefix(b.String(), "\n"))
	return err
}

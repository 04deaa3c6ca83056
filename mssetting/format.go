package mssetting

import (
	"io"
	"strings"
)

// Format writes all settings, including defaults, as an INI file. Parsing the
// result gives the same settings.
func Format(w io.Writer, s Settings) error {
	var b strings.Builder
	section := ""
	for _, def := range settingsTable {
		if def.section != section {
			b.WriteString("\n[" + def.section + "]\n")
		}
		section = def.section
		b.WriteString(def.key + " = " + def.codec.format(&s) + "\n")
	}
	_, err := io.WriteString(w, strings.TrimPrefix(b.String(), "\n"))
	return err
}

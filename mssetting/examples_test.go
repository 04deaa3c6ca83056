package mssetting

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExampleListsEveryKeyWithItsDefault parses the example file as it is and
// again with its commented-out keys enabled. Both must give the same settings,
// and every key must appear. The settings must also survive Format and Parse.
func TestExampleListsEveryKeyWithItsDefault(t *testing.T) {
	const file = "../examples/entry.ini"
	s, err := Load(file)
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Entry.Name)

	data, err := os.ReadFile(file)
	require.NoError(t, err)
	uncommented := regexp.MustCompile(`(?m)^; ([a-z-]+ = )`).ReplaceAllString(string(data), "$1")
	withDefaults, err := Parse(file, []byte(uncommented))
	require.NoError(t, err)
	require.Equal(t, s, withDefaults)
	for _, def := range settingsTable {
		require.Regexp(t, `(?m)^`+def.key+` = `, uncommented)
	}
	var text strings.Builder
	require.NoError(t, Format(&text, s))
	reparsed, err := Parse("f", []byte(text.String()))
	require.NoError(t, err)
	require.Equal(t, s, reparsed)
}

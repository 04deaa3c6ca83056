package mssetting

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExampleShowsEveryKeyWithItsDefault reads the example as it is, and again
// with its commented keys taken in: both must say the same.
func TestExampleShowsEveryKeyWithItsDefault(t *testing.T) {
	const file = "../examples/entry.ini"
	s, err := Load(file)
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Entry.Name)

	data, err := os.ReadFile(file)
	require.NoError(t, err)
	full := regexp.MustCompile(`(?m)^; ([a-z-]+ = )`).ReplaceAllString(string(data), "$1")
	all, err := Parse(file, []byte(full))
	require.NoError(t, err)
	require.Equal(t, s, all)
	for _, one := range table {
		require.Regexp(t, `(?m)^`+one.key+` = `, full)
	}
	var text strings.Builder
	require.NoError(t, Format(&text, s))
	back, err := Parse("f", []byte(text.String()))
	require.NoError(t, err)
	require.Equal(t, s, back)
}

package mssetting

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOperatorsPageShowsRealOutput parses the block of the page that is wrong,
// and compares the defaults of its tables with those in force.
func TestOperatorsPageShowsRealOutput(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	require.NoError(t, err)
	blocks := regexp.MustCompile("(?ms)^```ini\n(.*?)^```$.*?^```errors\n(.*?)^```$").FindAllSubmatch(page, -1)
	require.Len(t, blocks, 1)
	_, err = Parse("entry.ini", blocks[0][1])
	require.Error(t, err)
	require.Equal(t, string(blocks[0][2]), err.Error()+"\n")

	defaults := Defaults()
	for _, one := range table {
		row := regexp.MustCompile(`(?ms)^## \[` + one.section + "\\]\n[^#]*?^\\| `" + one.key + "` \\|[^|\n]*\\| ([^|\n]*) \\|").FindSubmatch(page)
		require.NotNil(t, row, one.key)
		said := string(row[1])
		switch {
		case one.required:
			require.Equal(t, "required", said, one.key)
		case one.value.text(&defaults) == "":
			require.Contains(t, []string{"empty", "as `peer-listen`"}, said, one.key)
		default:
			s := Defaults()
			reason, _ := one.value.set(&s, said)
			require.Empty(t, reason)
			require.Equal(t, one.value.text(&defaults), one.value.text(&s), one.key)
		}
	}
}

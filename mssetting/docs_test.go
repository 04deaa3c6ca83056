package mssetting

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSettingsPageMatchesParser checks that the invalid example on
// the settings page yields exactly the errors shown there, and that the defaults
// in its tables equal those of Defaults.
func TestSettingsPageMatchesParser(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	require.NoError(t, err)
	blocks := regexp.MustCompile("(?ms)^```ini\n(.*?)^```$.*?^```errors\n(.*?)^```$").FindAllSubmatch(page, -1)
	require.Len(t, blocks, 1)
	_, err = Parse("entry.ini", blocks[0][1])
	require.Error(t, err)
	require.Equal(t, string(blocks[0][2]), err.Error()+"\n")

	defaults := Defaults()
	for _, def := range settingsTable {
		row := regexp.MustCompile(`(?ms)^## \[` + def.section + "\\]\n[^#]*?^\\| `" + def.key + "` \\|[^|\n]*\\| ([^|\n]*) \\|").FindSubmatch(page)
		require.NotNil(t, row, def.key)
		documented := string(row[1])
		switch {
		case def.required:
			require.Equal(t, "required", documented, def.key)
		case def.codec.format(&defaults) == "":
			require.Contains(t, []string{"empty", "as `peer-listen`"}, documented, def.key)
		default:
			s := Defaults()
			reason, _ := def.codec.parse(&s, documented)
			require.Empty(t, reason)
			require.Equal(t, def.codec.format(&defaults), def.codec.format(&s), def.key)
		}
	}
}

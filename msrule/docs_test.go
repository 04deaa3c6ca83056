package msrule

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var fenced = regexp.MustCompile("(?ms)^```(rules|errors)\n(.*?)^```$")

// TestOperatorsPageShowsRealOutput parses each block of rules of the page. The
// block of errors that follows one is exactly what Parse says of it, and rules
// without such a block are taken.
func TestOperatorsPageShowsRealOutput(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/rules.md")
	require.NoError(t, err)
	got, pairs := "", 0
	for _, block := range fenced.FindAllStringSubmatch(string(page), -1) {
		if block[1] == "errors" {
			require.Equal(t, got, block[2])
			got = ""
			pairs++
			continue
		}
		require.Empty(t, got)
		if _, err := Parse("plant.rules", strings.NewReader(block[2])); err != nil {
			got = err.Error() + "\n"
		}
	}
	require.Empty(t, got)
	require.Equal(t, 1, pairs)
	for name, k := range kinds {
		require.Contains(t, string(page), "\n### "+name+"\n")
		for _, f := range k.fields {
			require.Contains(t, string(page), "\n| `"+f+"` |")
		}
	}
	require.EqualError(t, Check(Set{
		Teams:  []Team{{"sprayers", 1, 1, Origin{AskedBy: "me"}}},
		Queues: []Queue{{Name: "booth-run", Pool: "booths", Teams: []string{"sprayers"}, Deadline: DefaultDeadline, Origin: Origin{AskedBy: "me"}}},
	}), regexp.MustCompile("`(queue booth-run: .*?)`").FindStringSubmatch(string(page))[1])
}

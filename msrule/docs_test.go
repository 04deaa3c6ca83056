package msrule

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var fencedBlock = regexp.MustCompile("(?ms)^```(rules|errors)\n(.*?)^```$")

// TestOperatorsPageMatchesParser parses each block of rules on the operators'
// page. If a block of errors follows, it must equal the error of Parse; otherwise
// the rules must be valid.
func TestOperatorsPageMatchesParser(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/rules.md")
	require.NoError(t, err)
	got, pairs := "", 0
	for _, block := range fencedBlock.FindAllStringSubmatch(string(page), -1) {
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
	for name, k := range ruleKinds {
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

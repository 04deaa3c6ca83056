package msrule

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse feeds Parse any bytes. What it takes must be read back from its
// own text as the same set, and what it refuses must have a place and a reason.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", strings.NewReader(text))
		if err != nil {
			var errs Errors
			require.ErrorAs(t, err, &errs)
			for _, e := range errs {
				require.True(t, e.Line > 0 && e.Column > 0 || e.Field == fieldFile, "%#v", e)
				require.NotContains(t, []string{e.Field, e.Reason, e.Want}, "", "%#v", e)
			}
			require.Equal(t, Set{}, s)
			return
		}
		require.NoError(t, Check(s))
		var out strings.Builder
		require.NoError(t, Format(&out, s))
		back, err := Parse("f", strings.NewReader(out.String()))
		require.NoError(t, err)
		require.Equal(t, withoutLines(s), withoutLines(back))
		require.Empty(t, Diff(s, back))
	})
}

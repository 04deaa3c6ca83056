package msrule

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks Parse on arbitrary input. A set that it returns must survive a
// round trip through Format, and each error must have a position, a field, a
// reason and a hint.
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
		reparsed, err := Parse("f", strings.NewReader(out.String()))
		require.NoError(t, err)
		require.Equal(t, withoutLineNumbers(s), withoutLineNumbers(reparsed))
		require.Empty(t, Diff(s, reparsed))
	})
}

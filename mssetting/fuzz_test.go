package mssetting

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse feeds Parse any bytes. What it takes must be read back from its
// own text as the same settings, and what it refuses must have a reason.
func FuzzParse(f *testing.F) {
	f.Add([]byte(least))
	f.Add([]byte(least + "[limits]\nmax-body = 1KiB ; small\n-=x\n[DEFAULT]\n[a.b]\n[]\n[[\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			var errs Errors
			require.ErrorAs(t, err, &errs)
			for _, e := range errs {
				require.NotContains(t, []string{e.Reason, e.Want}, "", "%#v", e)
			}
			return
		}
		var text strings.Builder
		require.NoError(t, Format(&text, s))
		back, err := Parse("f", []byte(text.String()))
		require.NoError(t, err)
		require.Equal(t, s, back)
	})
}

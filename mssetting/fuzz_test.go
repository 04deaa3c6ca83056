package mssetting

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse parses arbitrary bytes. Accepted settings must survive a round trip
// through Format, and every error must have a reason and an expected value.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte(minimalFile + "[limits]\nmax-body = 1KiB ; small\n-=x\n[DEFAULT]\n[a.b]\n[]\n[[\n"))
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
		reparsed, err := Parse("f", []byte(text.String()))
		require.NoError(t, err)
		require.Equal(t, s, reparsed)
	})
}

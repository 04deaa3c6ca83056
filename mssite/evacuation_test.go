package mssite

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A listing of the records must not release a data centre while it is in progress, and
// must not keep an evacuation whose record was deleted unseen.
func TestListingKeepsEvacuations(t *testing.T) {
	var h Store
	h.BeginListing()
	h.EndListing()
	require.Empty(t, h.Evacuations())
	h.Evacuate("north")
	h.Evacuate("south")
	h.BeginListing()
	require.True(t, h.Evacuated("north"), "before its record is applied again")
	h.Evacuate("north")
	h.EndListing()
	require.Equal(t, []string{"north"}, h.Evacuations())
	h.BeginListing()
	h.Evacuate("north")
	h.Release("north")
	h.EndListing()
	require.False(t, h.Evacuated("north"), "a deletion within the listing")
}

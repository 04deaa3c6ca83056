package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// The list of pairs must be the one in the stored record, and empty rather than null in JSON
// where an earlier version wrote the record.
func TestInterferenceIsReadFromTheFleetRecord(t *testing.T) {
	now := time.UnixMilli(100_000)
	record, err := msjob.FleetRecord(&msjob.Fleet{Interference: []msjob.Interference{{Slowed: "a", By: "b", Slowdown: 1.5, Evidence: 12, Samples: 20, Updated: 90_000}}})
	require.NoError(t, err)
	var table msjob.Table
	require.NoError(t, table.Apply(record))
	f, ok := table.Fleet()
	require.True(t, ok)
	require.Equal(t, []interferenceRow{{Slowed: "a", By: "b", Slowdown: 1.5, Evidence: 12, Samples: 20, Age: 10 * time.Second}}, interferenceRows(f, now))
	require.Equal(t, []interferenceRow{}, interferenceRows(msjob.Fleet{}, now))
}

package msmeasure

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFleetMeasures runs the fleet measures of both deployments and checks that
// our own actions break no budget. FLEET_SEEDS sets how many seeds are tried.
func TestFleetMeasures(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("FLEET_SEEDS"))
	for seed := uint64(1); seed <= uint64(max(1, seeds)); seed++ {
		for _, d := range []Deployment{Lamphun(), Kilele()} {
			for _, m := range FleetMeasures() {
				lines, err := m.Run(d, seed)
				require.NoError(t, err)
				for _, l := range lines {
					t.Log(l)
					if l.Name == "budget-breaches" {
						require.Zero(t, l.Ours, l)
					}
				}
			}
		}
	}
}

package mssetting

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed rapid seed unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

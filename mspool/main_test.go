package mspool

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

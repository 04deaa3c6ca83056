package msaccount

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

package msstandin

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

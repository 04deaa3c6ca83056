package mspeer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed where the command line leaves it open.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

package mspeer

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets rapid's seed to 1 unless -rapid.seed is given, so that runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

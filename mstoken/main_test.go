package mstoken

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets defaults for rapid's seed and number of checks and steps. Flags on the
// command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "4000", "rapid.steps": "60"}
	if testing.Short() {
		defaults["rapid.checks"] = "500"
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

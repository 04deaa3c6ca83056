package mstoken

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets what the command line leaves open of rapid's seed and amount of work.
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

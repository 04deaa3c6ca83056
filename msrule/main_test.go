package msrule

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs rapid with a fixed seed unless the command line sets -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

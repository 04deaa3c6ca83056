# Runs every fuzz target for a fixed number of inputs. Inputs that cover something new are not
# minimized: that takes up to a minute each, and CI keeps none of them.
set -eu
runs=${FUZZ_RUNS:-2000x}
git grep -lE '^func Fuzz' -- '*_test.go' | while read -r f; do
	for t in $(sed -nE 's/^func (Fuzz[A-Za-z0-9_]+)\(.*/\1/p' "$f"); do
		go test -run '^$' -fuzz "^$t\$" -fuzztime "$runs" -fuzzminimizetime 0x "./$(dirname "$f")"
	done
done

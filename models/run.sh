# Checks every model: NAME.pml must hold, NAME.broken-*.pml must fail.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoramspan-models.XXXXXX")
trap 'rm -rf "$work"' EXIT
here=$(pwd)
check() {
	model=$1
	(cd "$work" && rm -f pan* && spin -a "$here/$model" >spin.out 2>&1 && cc -O2 -w -DSAFETY -DVECTORSZ=8192 -o pan pan.c && ./pan -m1000000 -w26 >pan.out 2>&1) || { cat "$work"/*.out; echo "model $model: did not run"; exit 1; }
	grep -qE 'errors: 0' "$work/pan.out" && ! grep -qE 'max search depth too small|out of memory' "$work/pan.out"
}
for model in *.pml; do
	[ -e "$model" ] || continue
	case $model in
	*.broken-*.pml)
		if check "$model"; then echo "model $model: expected to fail, holds"; exit 1; fi
		grep -q 'errors: 1' "$work/pan.out" || { cat "$work/pan.out"; echo "model $model: did not fail by its property"; exit 1; }
		echo "model $model: fails as expected" ;;
	*)
		check "$model" || { cat "$work/pan.out"; echo "model $model: does not hold"; exit 1; }
		echo "model $model: holds, $(sed -nE 's/ *([0-9.e+]+) states, stored.*/\1/p' "$work/pan.out" | head -1) states" ;;
	esac
done

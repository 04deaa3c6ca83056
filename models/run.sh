# Checks every model: NAME.pml must hold, NAME.broken-*.pml must fail. MODEL_JOBS of them
# run at a time, each with up to about 1.2 GB of memory.
set -u
cd "$(dirname "$0")" || exit 1
here=$(pwd)

# one MODEL: runs spin and pan in a directory of its own and says whether the model did
# what its name asks for.
one() {
	model=$1
	work=$(mktemp -d "${TMPDIR:-/tmp}/marjoramspan-models.XXXXXX") || exit 1
	trap 'rm -rf "$work"' EXIT
	(cd "$work" && spin -a "$here/$model" >spin.out 2>&1 && cc -O2 -w -DSAFETY -DVECTORSZ=8192 -o pan pan.c && ./pan -m1000000 -w26 >pan.out 2>&1) || {
		cat "$work"/*.out
		echo "model $model: did not run"
		exit 1
	}
	if grep -qE 'max search depth too small|out of memory' "$work/pan.out"; then
		echo "model $model: not searched whole"
		exit 1
	fi
	case $model in
	*.broken-*.pml)
		if grep -q 'errors: 0' "$work/pan.out"; then
			echo "model $model: expected to fail, holds"
			exit 1
		fi
		grep -q 'errors: 1' "$work/pan.out" || { cat "$work/pan.out"; echo "model $model: did not fail by its property"; exit 1; }
		echo "model $model: fails as expected"
		;;
	*)
		grep -q 'errors: 0' "$work/pan.out" || { cat "$work/pan.out"; echo "model $model: does not hold"; exit 1; }
		echo "model $model: holds, $(sed -nE 's/ *([0-9.e+]+) states, stored.*/\1/p' "$work/pan.out" | head -1) states"
		;;
	esac
}

if [ "${1:-}" = one ]; then
	one "$2"
	exit
fi
ls ./*.pml | sed 's|^\./||' | xargs -P "${MODEL_JOBS:-4}" -n 1 sh "$here/run.sh" one

# House rules that no linter knows: prints each breach, exits 1 on any.
bad=0
say() { echo "house: $*"; bad=1; }
src=$(git ls-files '*.go' | grep -v '\.pb\.go$')
plain=$(echo "$src" | grep -v '_test\.go$')
git ls-files | grep -qE '(^|/)internal/' && say "an internal folder"
for f in $plain; do
	grep -qE '^func (\([^)]*\) )?[A-Za-z_]+\[|^type [A-Za-z_]+\[[A-Z]' "$f" && say "$f: generics of our own"
	grep -q "\"os/exec\"" "$f" && say "$f: starts a process"
	case $f in msclock/*) ;; *) grep -nE '\btime\.(Now|Sleep|After|NewTimer|NewTicker|Since)\(' "$f" && say "$f: clock not passed in" ;; esac
done
soak=$(git ls-files '*soak*.go' | xargs cat /dev/null | wc -l)
all=$(echo "$src" | xargs cat | wc -l)
[ $((10 * soak)) -gt "$all" ] && say "the soak is $soak of $all lines, more than a tenth"
for f in README.md docs/GLOSSARY.md docs/CAPACITY.md docs/PROOFS.md; do
	[ -e "$f" ] || say "missing $f"
done
exit $bad

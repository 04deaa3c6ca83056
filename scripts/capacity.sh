# Runs 9 entries on loopback with rules of the letter's size and no callers, and prints
# each entry's processor time and memory, and how long changes take to be in force.
set -eu
cd "$(dirname "$0")/.."
bin=$(pwd)/bin
work=$(mktemp -d)
pids=""
seconds=${1:-30}
platform=127.0.0.1:27000
export MARJORAMSPAN_LOG=$platform MARJORAMSPAN_BY=capacity
finish() {
	code=$?
	for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
	rm -rf "$work"
	exit $code
}
trap finish EXIT
{
	echo "data-centre dc-0 region=r  # capacity"
	i=0
	while [ $i -lt 51 ]; do echo "team team-$i share=$((1 + i % 4)) limit=40  # capacity"; i=$((i + 1)); done
	i=0
	while [ $i -lt 135 ]; do
		echo "pool pool-$i size=6 slots=8 connections=64 available=80%  # capacity"
		echo "queue queue-$i pool=pool-$i teams=team-$((i % 51))  # capacity"
		i=$((i + 1))
	done
	i=0
	while [ $i -lt 860 ]; do echo "vm vm-$i pool=pool-$((i % 135))  # capacity"; i=$((i + 1)); done
} >"$work/letter.rules"
"$bin/marjoramstandin" platform --listen $platform >"$work/platform.log" 2>&1 &
pids=$!
sleep 1
i=0
while [ $i -lt 860 ]; do
	[ $i -eq 0 ] || echo next
	cat <<CURL
url = "http://$platform/v1/vms/vm-$i"
request = "PUT"
data = "{\"address\":\"127.0.0.1:9\",\"data-centre\":\"dc-0\",\"rack\":\"r$((i / 4))\",\"region\":\"r\",\"state\":\"live\"}"
CURL
	i=$((i + 1))
done >"$work/vms"
curl -s -K "$work/vms" >/dev/null
entries=""
for i in 1 2 3 4 5 6 7 8 9; do
	printf '[entry]\nname = entry-%d\ndata-centre = dc-0\nrack = r%d\nregion = r\nlisten = 127.0.0.1:2708%d\nadmin-listen = 127.0.0.1:2709%d\npeer-listen = 127.0.0.1:2707%d\n[log]\naddress = %s\n' $i $i $i $i $i $platform >"$work/$i.ini"
	"$bin/marjoramspan" serve --settings "$work/$i.ini" >"$work/$i.log" 2>&1 &
	entries="$entries $!"
	pids="$pids $!"
done
for i in 1 2 3 4 5 6 7 8 9; do
	until curl -sf "http://127.0.0.1:2709$i/readyz" >/dev/null; do sleep 0.2; done
done
"$bin/marjoramspan" rules publish "$work/letter.rules" | head -1
sleep 5
ticks() { for p in $entries; do cut -d' ' -f14,15 /proc/"$p"/stat; done | awk '{n += $1 + $2} END {print n}'; }
# Bytes on loopback count each message once; both ends are here.
lo() { awk '/lo:/ {print $2}' /proc/net/dev; }
t0=$(ticks) b0=$(lo)
sleep "$seconds"
t1=$(ticks) b1=$(lo)
awk -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v s="$seconds" 'BEGIN {
	printf "idle: processor %.2f%% of a core an entry, %.1f KB/s an entry on all its connections\n", t / 9 / s, b / 9 / s / 1000 }'
for p in $entries; do awk '/VmRSS/ {print $2}' /proc/"$p"/status; done | sort -n | tail -1 | awk '{printf "memory: %.0f MB at most\n", $1 / 1000}'
t0=$(ticks)
start=$(date +%s%N)
n=0
while [ $n -lt 20 ]; do
	"$bin/marjoramspan" keys give "key-$n" --team team-1 >/dev/null
	n=$((n + 1))
done
end=$(date +%s%N)
t1=$(ticks)
awk -v d=$((end - start)) -v t=$((t1 - t0)) 'BEGIN {
	printf "changes: %.0f ms each from the command to in force on 9 of 9 entries, %.1f ms of processor an entry\n", d / 20 / 1e6, t * 10 / 9 / 20 }'

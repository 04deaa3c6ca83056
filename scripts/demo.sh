# Serves the Lamphun example cut to size by separate processes on loopback, while an
# upstream leaves, an entry is killed and replaced, a key is withdrawn, the log goes
# away and comes back, and a maintenance wave reboots every VM. Then it counts, from the
# upstreams' own journals against what callers were told, and fails on any breach.
set -eu
cd "$(dirname "$0")/.."
root=$(pwd)
bin=$root/bin
work=$(mktemp -d)
pids=""
first=""
platform=127.0.0.1:17000
export MARJORAMSPAN_LOG=$platform MARJORAMSPAN_BY=demo

say() { printf '%s  %s\n' "$(date +%T)" "$*"; }

# Entries stop first, so that they can leave the view by the log.
stop_all() {
	end "$first"
	end "$pids"
}
end() {
	for pid in $1; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in $1; do
		n=0
		while kill -0 "$pid" 2>/dev/null && [ $n -lt 100 ]; do sleep 0.1; n=$((n + 1)); done
		kill -KILL "$pid" 2>/dev/null || true
	done
}
finish() {
	code=$?
	stop_all
	if [ $code -ne 0 ]; then
		say "failed; the last log lines:"
		tail -n 3 "$work"/*.log 2>/dev/null || true
	fi
	if [ -n "${DEMO_KEEP:-}" ]; then say "kept $work"; else rm -rf "$work"; fi
	exit $code
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
	name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	last=$!
	pids="$pids $last"
}

until_ok() {
	what=$1
	shift
	n=0
	until "$@" >/dev/null 2>&1; do
		n=$((n + 1))
		[ $n -lt 150 ] || { say "gave up waiting until $what"; exit 1; }
		sleep 0.1
	done
}

entry() {
	i=$1
	cat >"$work/entry-$i.ini" <<INI
[entry]
name = entry-$i
data-centre = lamphun
rack = r$i
region = th-north
listen = 127.0.0.1:1808$i
admin-listen = 127.0.0.1:1809$i
peer-listen = 127.0.0.1:1807$i
[log]
address = $platform
timeout = 1s
[limits]
lease = 2s
max-run = 6s
[peers]
heartbeat = 500ms
exclude-after = 3s
[drain]
balancer-lag = 1s
grace = 12s
[account]
flush = 2s
INI
	start "entry-$i" "$bin/marjoramspan" serve --settings "$work/entry-$i.ini"
	first="$first $last"
}

ready() { curl -sf "http://127.0.0.1:1809$1/readyz"; }

fault() { curl -sf -X POST "http://$platform/v1/fault" -d "{\"mode\":\"$1\"}" >/dev/null; }

begin=$(date +%s)
say "starting the platform, 7 upstream VMs and 3 entries"
start platform "$bin/marjoramstandin" platform --listen "$platform"
until_ok "the platform answers" curl -sf "http://$platform/v1/vms"
port=17101
journals=""
for vm in quotes-1 quotes-2 quotes-3 booths-1 booths-2 booths-3 bench-1; do
	case $vm in *-2) dc=chiang-mai ;; *) dc=lamphun ;; esac
	start "$vm" "$bin/marjoramstandin" upstream --listen "127.0.0.1:$port" --name "$vm" --run 20ms --spread 10ms \
		--platform "$platform" --data-centre "$dc" --rack "rack-$vm" --region th-north --boot 1s
	journals="$journals --journal http://127.0.0.1:$port"
	eval "at_$(echo $vm | tr - _)=127.0.0.1:$port"
	port=$((port + 1))
done
for i in 1 2 3; do entry $i; done
for i in 1 2 3; do until_ok "entry-$i is ready" ready $i; done
entry3=$last

say "publishing the rules and giving keys"
"$bin/marjoramspan" rules publish scripts/demo/lamphun-small.rules | head -1
key() { "$bin/marjoramspan" keys give "$1-demo" --team "$1" --json | sed -n 's/.*"secret": "\(.*\)".*/\1/p'; }
baan=$(key baan-kitchens)
sprayers=$(key sprayers)
extra=$("$bin/marjoramspan" keys give sprayers-old --team sprayers --json | sed -n 's/.*"secret": "\(.*\)".*/\1/p')

cat >"$work/plan.json" <<JSON
{"seed": 1, "requests": 6000, "rate": 200, "concurrency": 64, "timeout-ms": 8000, "tries": 6, "pause-ms": 300,
 "entries": ["127.0.0.1:18081", "127.0.0.1:18082", "127.0.0.1:18083"],
 "teams": [
  {"name": "baan-kitchens", "secret": "$baan", "limit": 12, "weight": 4, "queues": ["quote", "booth-run"]},
  {"name": "sprayers", "secret": "$sprayers", "limit": 8, "weight": 2, "queues": ["quote", "booth-run"]},
  {"name": "showrooms", "limit": 10, "weight": 3, "queues": ["public-quote"]}],
 "queues": [
  {"name": "quote", "path": "quote", "idempotent": true, "body-bytes": 200},
  {"name": "public-quote", "path": "quote", "idempotent": true, "body-bytes": 200},
  {"name": "booth-run", "path": "run", "body-bytes": 200}]}
JSON
say "callers ask 6000 requests of 3 teams, 200 a second"
start callers "$bin/marjoramstandin" callers --plan "$work/plan.json" --records "$work/records.jsonl"
callers=$last

sleep 3
say "upstream quotes-1 says that it leaves"
curl -sf -X POST "http://$at_quotes_1/standin/mode" -d '{"leaving":true}'
sleep 2
say "entry-3 is killed, and replaced"
kill -KILL "$entry3"
sleep 1
entry 3
until_ok "entry-3 is ready again" ready 3
sleep 2
say "key sprayers-old is withdrawn"
ask_old() {
	curl -s -o /dev/null -w '%{http_code}' -X POST -H "Authorization: Bearer $extra" \
		-H "Idempotency-Key: demo-$1-$2" -d x "http://127.0.0.1:1808$1/v1/queues/booth-run/run"
}
before=$(ask_old 1 before)
[ "$before" = 200 ] || { say "the key did not work before: $before"; exit 1; }
"$bin/marjoramspan" keys withdraw sprayers-old
for i in 1 2 3; do
	code=$(ask_old $i after)
	[ "$code" = 401 ] || { say "entry-$i answers $code to a withdrawn key"; exit 1; }
done
say "the key worked before and is refused at every entry now"
curl -sf -X POST "http://$at_quotes_1/standin/mode" -d '{"leaving":false}'
say "the log goes away for 6 seconds"
fault down
sleep 6
fault none
say "the log is back"
sleep 2
say "a maintenance wave over every VM"
"$bin/marjoramspan" wave start demo --yes --soak 300ms --boot-timeout 10s --max-run 6s --lease 2s | tail -1
wave_ended() { "$bin/marjoramspan" wave status | grep -q ': ended,'; }
n=0
until wave_ended; do
	n=$((n + 1))
	[ $n -lt 120 ] || { say "the wave did not end"; "$bin/marjoramspan" wave status; exit 1; }
	sleep 0.5
done
"$bin/marjoramspan" wave status | head -1

wait "$callers" || { say "the callers failed"; exit 1; }
say "all asked; the entries' own account:"
sleep 3
"$bin/marjoramspan" status
"$bin/marjoramspan" refusals >"$work/account.txt"
tail -12 "$work/account.txt"
# The killed entry takes the counts of its last 2 s with it, and must leave a gap.
asked=$(sed -n 's/^asked=\([0-9]*\) .*/\1/p' "$work/account.txt")
grep -q ' agrees=true ' "$work/account.txt" || { say "the account does not agree"; exit 1; }
grep -q '^gap: ' "$work/account.txt" || { say "the killed entry left no gap in the account"; exit 1; }
[ "$asked" -ge 5500 ] || { say "the account knows of $asked requests only"; exit 1; }
say "the verdict, from the upstreams' journals and the callers' records:"
# shellcheck disable=SC2086
"$bin/marjoramstandin" judge --plan "$work/plan.json" --records "$work/records.jsonl" $journals
"$bin/marjoramstandin" fleet-judge --plan "$work/plan.json" --platform "$platform" $journals
say "jobs on workers, through the loss of the leader, a drain and a wave"
"$bin/marjoramstandin" jobs
say "ended after $(($(date +%s) - begin)) s"

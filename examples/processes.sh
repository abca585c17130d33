#!/usr/bin/env bash
# A deployment in processes of its own on loopback: one stand-in platform, targets
# and daemons. It submits a job, shows the hosts' state and ends everything.
#
#   examples/processes.sh [TARGETS] [SECONDS]
#
# TARGETS is the number of targets (6) and SECONDS how long to idle before the
# end (0), for instance to look at the daemons with other tools.
set -euo pipefail
cd "$(dirname "$0")/.."
targets=${1:-6}
idle=${2:-0}
dir=$(mktemp -d)
pids=()
finish() {
	kill "${pids[@]}" 2>/dev/null || true
	wait
	rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir/" ./cmd/shallotrouter ./cmd/shallotctl ./examples/standin
hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

cat >"$dir/declarations.ini" <<END
[service despacho]
slots = 8
[client comites]
token = sha256:$(hash comites-token)
END
"$dir/shallotctl" check "$dir/declarations.ini"
"$dir/standin" platform -listen 127.0.0.1:7000 -declarations "$dir/declarations.ini" &
pids+=($!)
list=""
for ((i = 0; i < targets; i++)); do
	address=127.0.0.1:$((7201 + i))
	"$dir/standin" target -listen "$address" &
	pids+=($!)
	list+="$address,"
done
entries=127.0.0.1:7100,127.0.0.1:7101,127.0.0.1:7102
for ((i = 0; i < 50; i++)); do
	"$dir/standin" hosts -zone bogota-norte -targets "$list" -entries $entries 2>/dev/null && break
	sleep 0.1
done
for i in 0 1 2; do
	cat >"$dir/h$i.ini" <<END
[host]
name = bogota-norte-h$i
zone = bogota-norte
listen = 127.0.0.1:710$i
[platform]
address = 127.0.0.1:7000
[peers]
key = a key that only this example uses
[security]
operator = $(hash operator-token)
END
	"$dir/shallotrouter" -config "$dir/h$i.ini" 2>"$dir/h$i.log" &
	pids+=($!)
	echo "daemon h$i has process id $!"
done
export SHALLOTROUTER_OPERATOR=operator-token SHALLOTROUTER_TOKEN=comites-token
hosts=http://127.0.0.1:7100,http://127.0.0.1:7101,http://127.0.0.1:7102
"$dir/shallotctl" wait -hosts $hosts -version 1
cat >"$dir/job.json" <<END
{"service": "despacho", "deadline": "5s", "tasks": [
  {"kind": "allocation", "payload": "$(printf '12 pallets of water' | base64)", "expect": "100ms"},
  {"kind": "allocation", "payload": "$(printf '4 pallets of blankets' | base64)"}]}
END
for i in 0 1 2; do
	"$dir/shallotctl" submit -host http://127.0.0.1:710$i "$dir/job.json"
done
"$dir/shallotctl" status -hosts $hosts
sleep "$idle"

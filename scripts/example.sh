#!/usr/bin/env bash
# Starts, checks and stops an example deployment as separate processes on loopback addresses.
# Usage: scripts/example.sh up|demo fuqaa|umurongo
set -euo pipefail
cd "$(dirname "$0")/.."

action=$1
deployment=$2
config=examples/$deployment/config.json
logs=$(mktemp -d)
export ARBUTUSFORK_TOKEN=demo-operator-token
export ARBUTUSFORK_SERVER=127.0.1.1:8081
pids=()
daemons=()

case $deployment in
fuqaa)
	engine_net=127.0.2 engines=9 plain_net=127.0.3 plain=3 centres=(cairo-a cairo-b cairo-c)
	rate=2.5 cold=order-fr-3b base=order-ar-8b unfenced=" 3 6 9 "
	;;
umurongo)
	engine_net=127.0.4 engines=12 plain_net=127.0.5 plain=4 centres=(kigali-a kigali-b kigali-c kigali-d)
	rate=3.5 cold=quote-sw-3b base=quote-rw-3b unfenced=" 4 8 12 "
	;;
*)
	echo "unknown deployment $deployment" >&2
	exit 2
	;;
esac

start() { # start NAME COMMAND...: runs a process in the background with its log in a file.
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}

stop() { # Stops what this script started, by process id.
	for pid in "${daemons[@]}" "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	wait || true
}
trap stop EXIT

await() { # await URL: waits until the URL answers with success.
	for _ in $(seq 100); do
		if curl -fsS -o /dev/null "$1" 2>/dev/null; then
			return
		fi
		sleep 0.1
	done
	echo "$1 does not answer; see the logs in $logs" >&2
	return 1
}

vms="{"
for i in 1 2 3 4 5 6; do
	centre=${centres[$(((i - 1) % ${#centres[@]}))]}
	vms+="\"vm-$i\":{\"address\":\"127.0.1.$i:8082\",\"datacentre\":\"$centre\",\"state\":\"live\"},"
done
vms="${vms%,}}"

start platform bin/arbutusfork-standin platform --address 127.0.0.1:9000 --vms "$vms"
start weights bin/arbutusfork-standin weights --address 127.0.0.1:9001 --rate "$rate" --parallel 4 --config "$config"
await http://127.0.0.1:9000/counts
for i in $(seq "$engines"); do
	args=(--address "$engine_net.$i:9100" --store 127.0.0.1:9001 --slots 24 --next 2ms)
	if [ "${unfenced#* $i }" = "$unfenced" ]; then args+=(--fenced); fi
	if [ "$i" = 2 ]; then args+=(--cache "$cold=disk" --cache "$base=memory"); fi
	start "engine-$i" bin/arbutusfork-standin engine "${args[@]}"
done
for i in $(seq "$plain"); do
	start "plain-$i" bin/arbutusfork-standin service --address "$plain_net.$i:9200"
done
for i in 1 2 3 4 5 6; do
	bin/arbutusfork serve --vm "vm-$i" --centre "${centres[$(((i - 1) % ${#centres[@]}))]}" \
		--callers "127.0.1.$i:8080" --operators "127.0.1.$i:8081" --peers "127.0.1.$i:8082" \
		--seeds 127.0.1.1:8082,127.0.1.2:8082 --platform http://127.0.0.1:9000 \
		--operator-token "$ARBUTUSFORK_TOKEN" --settle 1s >"$logs/vm-$i.log" 2>&1 &
	daemons+=($!)
done
for i in 1 2 3 4 5 6; do
	await "http://127.0.1.$i:8081/healthz"
done
bin/arbutusfork apply "$config" >"$logs/apply.log"
echo "configuration applied: $(tail -n 1 "$logs/apply.log")"
bin/arbutusfork sheet check "examples/$deployment/sheet.csv" | tail -n 1
bin/arbutusfork sheet accept "examples/$deployment/sheet.csv" --seen 0 | tail -n 1
for i in 1 2 3 4 5 6; do
	await "http://127.0.1.$i:8081/readyz"
done
echo "6 VMs are ready; logs are in $logs"

if [ "$action" = up ]; then
	key=$(bin/arbutusfork --json key issue "try-$$" "$(grep -o '"name":"[^"]*"' "$config" | head -n 1 | cut -d'"' -f4)" |
		grep -o 'af-[A-Za-z0-9_-]*')
	cat <<-EOF
		The example runs until you press Ctrl-C. Call it with:

		  curl -N http://127.0.1.1:8080/v1/chat/completions -H 'Authorization: Bearer $key' \\
		    -H 'Content-Type: application/json' \\
		    -d '{"model":"$cold","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":20}'

		Operate it with:

		  export ARBUTUSFORK_SERVER=$ARBUTUSFORK_SERVER ARBUTUSFORK_TOKEN=$ARBUTUSFORK_TOKEN
		  bin/arbutusfork status
	EOF
	wait "${daemons[0]}"
	exit 0
fi

status=0
bin/arbutusfork-demo --deployment "$deployment" || status=1
for i in "${!daemons[@]}"; do
	kill -TERM "${daemons[$i]}" 2>/dev/null || true
done
for i in "${!daemons[@]}"; do
	if ! wait "${daemons[$i]}"; then
		echo "FAIL  graceful stop: vm-$((i + 1)) did not exit with status 0"
		status=1
	fi
done
daemons=()
[ "$status" = 0 ] && echo "ok    graceful stop: 6 daemons exited with status 0"
exit "$status"

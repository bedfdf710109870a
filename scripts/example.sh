#!/usr/bin/env bash
# Starts, checks and stops an example deployment as separate processes on loopback addresses.
# Usage: [NET=0..255] scripts/example.sh up|demo fuqaa|umurongo
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

action=$1
fleet_select "$2"
trap fleet_stop EXIT
cache=()
if [ -n "$cold" ]; then cache+=("2:$cold=disk"); fi
if [ -n "$base" ]; then cache+=("2:$base=memory"); fi
fleet_up "${cache[@]}"
bin/arbutusfork sheet check "examples/$deployment/sheet.csv" | tail -n 1

if [ "$action" = up ]; then
	key=$(bin/arbutusfork --json key issue "try-$$" "$(grep -o '"name":"[^"]*"' "$config" | head -n 1 | cut -d'"' -f4)" |
		grep -o 'af-[A-Za-z0-9_-]*')
	cat <<-EOT
		The example runs until you press Ctrl-C. Call it with:

		  curl -N http://$vm_net.1:8080/v1/chat/completions -H 'Authorization: Bearer $key' \\
		    -H 'Content-Type: application/json' \\
		    -d '{"model":"$cold","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":20}'

		Operate it with:

		  export ARBUTUSFORK_SERVER=$ARBUTUSFORK_SERVER ARBUTUSFORK_TOKEN=$ARBUTUSFORK_TOKEN
		  bin/arbutusfork status
	EOT
	wait "${pid_of[vm-1]}"
	exit 0
fi

status=0
bin/arbutusfork-demo --deployment "$deployment" --net "$NET" || status=1
for i in $(seq "$vms"); do
	kill -TERM "${pid_of[vm-$i]}" 2>/dev/null || true
done
for i in $(seq "$vms"); do
	if ! forget "vm-$i"; then
		echo "FAIL  graceful stop: vm-$i did not exit with status 0"
		status=1
	fi
done
[ "$status" = 0 ] && echo "ok    graceful stop: $vms daemons exited with status 0"
exit "$status"

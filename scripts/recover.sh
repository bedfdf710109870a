#!/usr/bin/env bash
# Measures recovery from failures with the processes of the Fuqaa example and checks the conditions.
# Usage: [NET=0..255] scripts/recover.sh [SCENARIO...]; without a scenario all of them run.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
fleet_select fuqaa
trap fleet_stop EXIT

scenarios=(owner holder rolling outage frozen withdrawn leaving lost both slow)
[ $# -gt 0 ] && scenarios=("$@")
failed=0
recover=(bin/arbutusfork-recover --net "$NET")

# Each cold start takes a model that was not loaded before and is on the disk of two engines.
mapfile -t colds < <(grep -o '"photo-[a-z]*-2b"' "$config" | tr -d '"' | sort -u)
cold_at=0
next_cold() {
	model=${colds[$((cold_at % ${#colds[@]}))]}
	cold_at=$((cold_at + 1))
}

load() { # load SECONDS [FLAG...]: starts the load in the background.
	start "load-$scenario" "${recover[@]}" load --for "$1s" "${@:2}"
	sleep 3
}

verdict() { # verdict WHAT STATUS TEXT
	local word=ok
	if [ "$2" != 0 ]; then
		word=FAIL failed=1
	fi
	printf '%-4s  %-9s %s: %s\n' "$word" "$scenario" "$1" "$3"
}

finish() { # Waits for the load and prints its figures.
	forget "load-$scenario"
	local status=$?
	verdict load "$status" "$(grep -e '^answered=' "$logs/load-$scenario.log" | tail -n 1)"
	if [ "$status" != 0 ]; then grep -e '^VIOLATION' -e '^FAILED' "$logs/load-$scenario.log" | head -n 5; fi
}

probe() { # probe WHAT VERB...: runs one probe and prints its figures.
	local text
	text=$("${recover[@]}" "${@:2}" 2>&1)
	verdict "$1" $? "$(echo "$text" | tr '\n' ' ')"
}

probe_start() { # probe_start VERB...: runs a probe in the background.
	start "probe-$scenario" "${recover[@]}" "$@"
}

probe_finish() { # probe_finish WHAT
	forget "probe-$scenario"
	verdict "$1" $? "$(tail -n 2 "$logs/probe-$scenario.log" | tr '\n' ' ')"
}

restore() { # restore NUMBER: replaces a killed VM and waits until it is ready.
	replace_vm "$1"
	await "http://$vm_net.$1:8081/readyz"
}

scenario_owner() { # The placement owner dies before and during a cold start.
	load 34
	local owner
	owner=$("${recover[@]}" owner)
	next_cold
	kill_vm "$owner" KILL
	probe "vm-$owner killed, then a cold start" cold "$model" --except "$owner"
	restore "$owner"
	owner=$("${recover[@]}" owner)
	next_cold
	probe_start cold "$model" --except "$owner"
	sleep 1
	kill_vm "$owner" KILL
	probe_finish "vm-$owner killed 1 s into a cold start"
	restore "$owner"
	finish
}

scenario_holder() { # A VM that holds shares of limits dies.
	load 25
	local holder
	holder=$("${recover[@]}" holder --except "$("${recover[@]}" owner)")
	kill_vm "$holder" KILL
	sleep 15
	restore "$holder"
	finish
}

scenario_rolling() { # All VMs are replaced one after another, every other one under a new name.
	load 45 --strict
	local i began=$SECONDS
	for i in $(seq "$vms"); do
		kill_vm "$i" TERM
		if [ $((i % 2)) = 0 ]; then replace_vm "$i"; else start_vm "$i" "${name_of[$i]:-vm-$i}"; fi
		await "http://$vm_net.$i:8081/readyz"
		sleep 0.5
	done
	echo "      rolling   replaced $vms VMs in $((SECONDS - began)) s"
	finish
}

scenario_outage() { # The platform is down for 30 s.
	load 42
	fault "$platform" '{"down":true}'
	sleep 30
	fault "$platform" '{"down":false}'
	finish
}

scenario_frozen() { # The placement owner is frozen for 12 s and woken.
	load 24
	local owner
	owner=$("${recover[@]}" owner)
	next_cold
	kill -STOP "${pid_of[vm-$owner]}"
	probe_start cold "$model" --except "$owner"
	sleep 12
	kill -CONT "${pid_of[vm-$owner]}"
	probe_finish "vm-$owner frozen, then a cold start"
	finish
}

scenario_withdrawn() { # A key is withdrawn during long streams.
	load 12
	probe "key withdrawn during streams" withdraw
	finish
}

scenario_leaving() { # An endpoint leaves, first by its own word and then by the operator's.
	load 24
	probe "endpoint says that it leaves" leave
	probe "operator says that it leaves" leave --config
	finish
}

scenario_lost() { # The platform's answers to writes are lost for 10 s.
	load 18
	next_cold
	fault "$platform" '{"lose":true}'
	probe_start cold "$model"
	sleep 10
	fault "$platform" '{"lose":false}'
	probe_finish "cold start"
	finish
}

scenario_both() { # The platform is down while a VM dies.
	load 26
	local holder
	holder=$("${recover[@]}" holder --except "$("${recover[@]}" owner)")
	fault "$platform" '{"down":true}'
	sleep 2
	kill_vm "$holder" KILL
	sleep 12
	fault "$platform" '{"down":false}'
	restore "$holder"
	finish
}

scenario_slow() { # The weight store is slow: a request that cannot be served in time is refused.
	load 16
	fault "$store" '{"slow":4}'
	probe "cold start from the store within 10 s" cold order-ar-3b --deadline 10s --refused
	fault "$store" '{"slow":0}'
	finish
}

main() { # The shell reads a function as a whole, so that a run is not disturbed when the file changes.
	cache=()
	for i in $(seq "$engines"); do cache+=("$i:order-fr-3b=memory" "$i:order-en-3b=memory"); done
	for model in "${colds[@]}"; do cache+=("4:$model=disk" "5:$model=disk"); done
	fleet_up "${cache[@]}" || exit 1
	"${recover[@]}" install || exit 1
	for model in order-fr-3b order-en-3b; do
		"${recover[@]}" cold "$model" >"$logs/warm-$model.log" || echo "warm start of $model failed: $(cat "$logs/warm-$model.log")"
	done
	# Slow payments are under way when a VM dies: each of them runs and is answered 400 ms later.
	for i in $(seq "$plain"); do fault "$plain_net.$i:9200" '{"slow":400}'; done
	for scenario in "${scenarios[@]}"; do
		if ! declare -F "scenario_$scenario" >/dev/null; then
			echo "unknown scenario $scenario" >&2
			exit 2
		fi
		"scenario_$scenario"
	done
	echo "finished after $SECONDS s; logs are in $logs"
	exit "$failed"
}

main

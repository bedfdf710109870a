# Functions that start, replace and stop the processes of an example deployment. Other scripts source this file.
#
# NET (0 to 255) selects the loopback addresses 127.NET.x.y, so that runs with different values do not collide.
# Processes are ended only by the ids under which this file started them.
# shellcheck shell=bash
NET=${NET:-0}
vm_net=127.$NET.1
platform=127.$NET.0.1:9000
store=127.$NET.0.1:9001
logs=$(mktemp -d)
export ARBUTUSFORK_TOKEN=demo-operator-token
export ARBUTUSFORK_SERVER=$vm_net.1:8081
vms=6
declare -A pid_of

fleet_select() { # fleet_select DEPLOYMENT: sets what the example configuration implies.
	deployment=$1
	case $deployment in
	fuqaa)
		engine_net=127.$NET.2 engines=9 plain_net=127.$NET.3 plain=3 centres=(cairo-a cairo-b cairo-c)
		rate=2.5 cold=order-fr-3b base=order-ar-8b unfenced=" 3 6 9 "
		;;
	umurongo)
		engine_net=127.$NET.4 engines=12 plain_net=127.$NET.5 plain=4 centres=(kigali-a kigali-b kigali-c kigali-d)
		rate=3.5 cold=quote-sw-3b base=quote-rw-3b unfenced=" 4 8 12 "
		;;
	*)
		echo "unknown deployment $deployment" >&2
		exit 2
		;;
	esac
	config=$logs/config.json
	sed "s/127\.0\.\([2-5]\)\./127.$NET.\1./g" "examples/$deployment/config.json" >"$config"
}

fleet_free() { # Fails if another run uses the same addresses.
	if ss -ltnH | grep -q -e " $platform " -e " $vm_net\.1:808"; then
		echo "another run uses 127.$NET.x.y; set NET to another number from 1 to 255" >&2
		exit 2
	fi
}

start() { # start NAME COMMAND...: runs a process in the background with its log in a file.
	local name=$1
	shift
	"$@" >>"$logs/$name.log" 2>&1 &
	pid_of[$name]=$!
}

forget() { # forget NAME: reaps a process that has been told to end.
	wait "${pid_of[$1]}" 2>/dev/null
	local status=$?
	unset "pid_of[$1]"
	return "$status"
}

fleet_stop() { # Stops what was started, by process id.
	local pid
	for pid in "${pid_of[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill "$pid" 2>/dev/null || true
	done
	wait || true
}

await() { # await URL: waits until the URL answers with success.
	local _
	for _ in $(seq 200); do
		if curl -fsS -m 2 -o /dev/null "$1" 2>/dev/null; then
			return
		fi
		sleep 0.1
	done
	echo "$1 does not answer; see the logs in $logs" >&2
	return 1
}

centre_of() { echo "${centres[$((($1 - 1) % ${#centres[@]}))]}"; } # centre_of VM-NUMBER

start_platform() {
	local list="{" i
	for i in $(seq "$vms"); do
		list+="\"vm-$i\":{\"address\":\"$vm_net.$i:8082\",\"datacentre\":\"$(centre_of "$i")\",\"state\":\"live\"},"
	done
	start platform bin/arbutusfork-standin platform --address "$platform" --vms "${list%,}}"
	start weights bin/arbutusfork-standin weights --address "$store" --rate "$rate" --parallel 4 --config "$config"
	await "http://$platform/counts"
}

start_endpoints() { # start_endpoints [CACHE...]: each CACHE is ENGINE:MODEL=TIER.
	local i args entry
	for i in $(seq "$engines"); do
		args=(--address "$engine_net.$i:9100" --store "$store" --next 2ms)
		if [ "${unfenced#* $i }" = "$unfenced" ]; then
			args+=(--fenced --memory 48000 --slots 24)
		else
			args+=(--memory 96000 --slots 48)
		fi
		for entry in "$@"; do
			if [ "${entry%%:*}" = "$i" ]; then args+=(--cache "${entry#*:}"); fi
		done
		start "engine-$i" bin/arbutusfork-standin engine "${args[@]}"
	done
	for i in $(seq "$plain"); do
		start "plain-$i" bin/arbutusfork-standin service --address "$plain_net.$i:9200"
	done
}

start_vm() { # start_vm NUMBER [NAME]: runs the daemon of one VM as process vm-NUMBER.
	start "vm-$1" bin/arbutusfork serve --vm "${2:-vm-$1}" --centre "$(centre_of "$1")" \
		--callers "$vm_net.$1:8080" --operators "$vm_net.$1:8081" --peers "$vm_net.$1:8082" \
		--seeds "$vm_net.1:8082,$vm_net.2:8082" --platform "http://$platform" \
		--operator-token "$ARBUTUSFORK_TOKEN" --settle 1s
}

await_vms() { # await_vms PATH: waits for all VMs.
	local i
	for i in $(seq "$vms"); do
		await "http://$vm_net.$i:8081/$1"
	done
}

fleet_up() { # fleet_up [CACHE...]: starts the deployment and applies its configuration.
	fleet_free
	start_platform
	start_endpoints "$@"
	local i
	for i in $(seq "$vms"); do start_vm "$i"; done
	await_vms healthz
	bin/arbutusfork apply "$config" >"$logs/apply.log"
	echo "configuration applied: $(tail -n 1 "$logs/apply.log")"
	bin/arbutusfork sheet accept "examples/$deployment/sheet.csv" --seen 0 | tail -n 1
	await_vms readyz
	echo "$vms VMs are ready; logs are in $logs"
}

objects=/apis/arbutusfork.example/v1
declare -A name_of

list_vm() { # list_vm NUMBER NAME: puts the VM on the platform's list.
	curl -fsS -o /dev/null -X PUT -H 'Content-Type: application/json' "http://$platform$objects/vms/$2" -d \
		"{\"kind\":\"vms\",\"metadata\":{\"name\":\"$2\"},\"spec\":{\"address\":\"$vm_net.$1:8082\",\"datacentre\":\"$(centre_of "$1")\",\"state\":\"live\"}}"
}

unlist_vm() { # unlist_vm NAME: takes the VM off the platform's list.
	local version
	version=$(curl -fsS "http://$platform$objects/vms/$1" | grep -o '"resourceVersion":"[0-9]*"' | grep -o '[0-9]*')
	curl -fsS -o /dev/null -X DELETE "http://$platform$objects/vms/$1?resourceVersion=$version"
}

replace_vm() { # replace_vm NUMBER: starts a VM of another name in the place of one that has ended.
	local old=${name_of[$1]:-vm-$1}
	local next
	case $old in
	*-r*) next=${old%-r*}-r$((${old##*-r} + 1)) ;;
	*) next=$old-r1 ;;
	esac
	unlist_vm "$old"
	list_vm "$1" "$next"
	name_of[$1]=$next
	start_vm "$1" "$next"
}

kill_vm() { # kill_vm NUMBER SIGNAL: ends the daemon of a VM and reaps it.
	kill "-$2" "${pid_of[vm-$1]}"
	forget "vm-$1" || true
}

fault() { # fault ADDRESS JSON: sets the faults of a stand-in.
	curl -fsS -o /dev/null -X POST "http://$1/faults" -d "$2"
}

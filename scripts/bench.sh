#!/usr/bin/env bash
# Measures the callers' interface: starts the processes under measurement and the measuring process.
# Usage: [PROCS=3] scripts/bench.sh [flags of "arbutusfork-bench entry"]
set -euo pipefail
cd "$(dirname "$0")/.."
procs=${PROCS:-3}

speed=(address 127.0.0.1:9310 stats 127.0.0.1:9311 engine 127.0.0.1:9312)
memory=(address 127.0.0.1:9320 stats 127.0.0.1:9321 engine 127.0.0.1:9322)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT

flags=()
with() { # with PREFIX NAME VALUE...: sets flags.
	local prefix=$1
	shift
	flags=()
	while [ $# -gt 0 ]; do
		flags+=("--$prefix$1" "$2")
		shift 2
	done
}
with "" "${speed[@]}"
bin/arbutusfork-bench serve --procs "$procs" "${flags[@]}" 2>/dev/null &
pids+=($!)
with "" "${memory[@]}"
bin/arbutusfork-bench serve --procs "$procs" "${flags[@]}" 2>/dev/null &
pids+=($!)
with speed- "${speed[@]}"
all=("${flags[@]}")
with memory- "${memory[@]}"
bin/arbutusfork-bench entry --procs "$procs" "${all[@]}" "${flags[@]}" "$@"

#!/usr/bin/env bash
# Fuzzes decoders for a short time. Arguments: the time for each, such as 2s or 1m, and an extended regular expression for
# lines of package and target, which is empty for all. A failing input is stored under testdata/fuzz of its package, where
# `go test` replays it.
set -euo pipefail
cd "$(dirname "$0")/.."

time=${1:?time for each target}
pattern=${2:-}
targets=$(grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z]*' internal pkg platform | sed 's|/[^/]*:func | |' | sort | grep -E "$pattern")
while read -r package target; do
	echo "$package $target"
	# Reducing inputs that only add coverage would take most of a short time.
	"${GO:-go}" test "./$package" -run '^$' -fuzz "^$target\$" -fuzztime "$time" -fuzzminimizetime 20x -parallel "${FUZZ_PARALLEL:-2}" </dev/null | tail -n 20
done <<<"$targets"

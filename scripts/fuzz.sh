#!/usr/bin/env bash
# Fuzzes decoders. Arguments: the number of inputs for each, such as 2000x, and an extended regular expression for lines of
# package and target, which is empty for all. A failing input is stored under testdata/fuzz of its package, where `go test`
# replays it.
set -euo pipefail
cd "$(dirname "$0")/.."

# A bound in time is not used: `go test` sometimes reports the end of the time as a failure of the target.
inputs=${1:?number of inputs for each target, such as 2000x}
if [[ ! $inputs =~ ^[1-9][0-9]*x$ ]]; then
	echo "fuzz.sh: $inputs is not a number of inputs, such as 2000x" >&2
	exit 2
fi
pattern=${2:-}
targets=$(grep -rHo --include='*_test.go' '^func Fuzz[A-Za-z]*' internal pkg platform | sed 's|/[^/]*:func | |' | sort | grep -E "$pattern")
while read -r package target; do
	echo "$package $target"
	# Reducing inputs that only add coverage would take most of a short run.
	"${GO:-go}" test "./$package" -run '^$' -fuzz "^$target\$" -fuzztime "$inputs" -fuzzminimizetime 20x -parallel "${FUZZ_PARALLEL:-2}" </dev/null | tail -n 20
done <<<"$targets"
